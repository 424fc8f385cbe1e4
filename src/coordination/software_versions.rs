//! Remembers which software versions have served, so that a stream of unknown origin goes on where
//! only one version can have begun it. See docs/DESIGN.md, "Software versions".

use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The software versions of each service that this daemon has seen.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Since when every version is known; `None` while the records of upstreams cannot be read.
    complete_since: Option<Instant>,
    /// Whether no stream can be older than this daemon, as the whole deployment has just started.
    first_start: bool,
    /// When the call was sent that last brought the records of upstreams.
    read_at: Option<BootTime>,
    /// The versions, each with the time at which its last upstream had gone.
    versions: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Option<Instant>>>,
}

impl VersionHistory {
    /// Records that the whole deployment starts for the first time.
    pub fn mark_first_start(&mut self) {
        self.first_start = true;
    }

    /// Records the versions of a service's upstreams.
    pub fn observe<'a>(
        &mut self,
        now: Instant,
        service: &ServiceName,
        present: impl Iterator<Item = &'a SoftwareVersion>,
    ) {
        let present: BTreeSet<_> = present.collect();
        let versions = self.versions.entry(service.clone()).or_default();
        for (version, gone_at) in versions.iter_mut() {
            let gone = !present.contains(version);
            *gone_at = if gone { gone_at.or(Some(now)) } else { None };
        }
        for version in present {
            versions.entry(version.clone()).or_default();
        }
    }

    /// Records whether the records of upstreams can be read. Versions may come and go unseen while
    /// they cannot.
    pub fn set_readable(&mut self, now: Instant, readable: bool) {
        match readable {
            true => drop(self.complete_since.get_or_insert(now)),
            false => (self.complete_since, self.first_start) = (None, false),
        }
    }

    /// Records that a call sent at `sent` has brought all records of upstreams up to then.
    pub fn record_read(&mut self, sent: BootTime) {
        self.read_at = self.read_at.max(Some(sent));
    }

    /// Returns whether the records of upstreams can be read.
    pub fn is_readable(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Returns whether the records of upstreams are known as they were at `time` or later.
    pub fn is_read_since(&self, time: BootTime) -> bool {
        self.is_readable() && self.read_at.is_some_and(|read_at| read_at >= time)
    }

    /// Returns whether this daemon has seen no other version of the service in the last `window`.
    pub fn has_seen_only(
        &self,
        now: Instant,
        service: &ServiceName,
        window: Duration,
        version: &SoftwareVersion,
    ) -> bool {
        let versions = self.versions.get(service).into_iter().flatten();
        let mut recent = versions.filter(|(_, gone_at)| is_recent(now, **gone_at, window));
        recent.all(|(seen, _)| seen == version)
    }

    /// Returns how long it takes until [`VersionHistory::sole_version`] can name a version, if none comes
    /// or goes meanwhile; `window` while several serve, as none of them need leave.
    pub fn time_to_sole_version(
        &self,
        now: Instant,
        service: &ServiceName,
        window: Duration,
    ) -> Duration {
        let Some(since) = self.complete_since else { return window };
        let complete_at = if self.first_start { now } else { since + window };
        let versions = self.versions.get(service).into_iter().flatten();
        let serving = versions.clone().filter(|(_, gone_at)| gone_at.is_none()).count();
        if serving > 1 {
            return window;
        }
        let ends = versions.filter_map(|(_, gone_at)| Some((*gone_at)? + window));
        let last = ends.chain([complete_at]).max().unwrap_or(now);
        last.saturating_duration_since(now)
    }

    /// Returns the only software version that any stream of the service can have begun at within
    /// the last `window`; `None` if there were several, or if this daemon cannot know.
    pub fn sole_version(
        &self,
        now: Instant,
        service: &ServiceName,
        window: Duration,
    ) -> Option<SoftwareVersion> {
        let since = self.complete_since?;
        if !self.first_start && now < since + window {
            return None;
        }
        let versions = self.versions.get(service)?.iter();
        let mut recent = versions.filter(|(_, gone_at)| is_recent(now, **gone_at, window));
        let (sole, _) = recent.next()?;
        recent.next().is_none().then(|| sole.clone())
    }
}

/// Returns whether a version serves, or has served in the last `window`.
fn is_recent(now: Instant, gone_at: Option<Instant>, window: Duration) -> bool {
    gone_at.is_none_or(|gone_at| now < gone_at + window)
}
