//! Remembers which software version began each stream, so that it goes on at that version only,
//! whichever daemon its caller takes it up at.
//!
//! A stream may outlive its entry daemon, and its caller names no version. A few daemons therefore
//! keep the origin of each stream; their number does not depend on the size of the deployment. See
//! docs/DESIGN.md, "Software versions".

use crate::coordination::messages::StreamOrigin;
use crate::coordination::ownership::{origin_key, rank_daemons};
use crate::coordination::upstream_lifetimes::{LifetimeReport, StreamBeginning};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

/// How many daemons keep an origin in the failure domain of the entry daemon, and how many among
/// all daemons.
const HOLDERS: usize = 2;
/// How many of each are asked for an origin. One more than keep it, as those that ask do not know
/// which daemon was the entry, which is not among the holders.
const ASKED: usize = HOLDERS + 1;
/// The maximum number of origins that a daemon keeps.
const MAX_ORIGINS: usize = 50_000;

/// The failure domains of the daemons that do not leave.
pub type DaemonDomains = BTreeMap<DaemonId, DomainName>;

/// An origin to send to a daemon that should keep it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OriginCopy {
    /// How long it is kept from now on.
    pub lifetime: Duration,
    /// The origin itself.
    pub origin: StreamOrigin,
    /// The caller's id of the request that began the stream.
    pub request: String,
    /// The daemon that should keep it.
    pub to: DaemonId,
}

/// The upstream at which this daemon began a stream.
#[derive(Clone, Debug)]
pub struct OriginWriter {
    /// When the head of its response arrived.
    pub answered_at: BootTime,
    /// What was known of it then.
    pub beginning: StreamBeginning,
    /// Its name.
    pub upstream: UpstreamName,
}

impl OriginWriter {
    /// Returns whether another version than the one for which the run was placed wrote the stream, by
    /// what the upstream says. `boot` and `wall` are the present time.
    pub fn is_refuted(&self, boot: BootTime, wall: SystemTime, said: LifetimeReport) -> bool {
        self.beginning.is_refuted(self.answered(boot, wall), said)
    }

    /// Returns whether the version for which the run was placed can no longer be named as the one that
    /// wrote the stream; `said` is of an incarnation with the version `software`. Which other version wrote it
    /// is not concluded: that would rest on the clocks of two machines.
    pub fn is_corrected(
        &self,
        boot: BootTime,
        wall: SystemTime,
        said: LifetimeReport,
        software: &SoftwareVersion,
    ) -> bool {
        let has_placed_version = *software == self.beginning.software;
        !has_placed_version && self.is_refuted(boot, wall, said)
    }

    fn answered(&self, boot: BootTime, wall: SystemTime) -> SystemTime {
        wall.checked_sub(boot.since(self.answered_at)).unwrap_or(SystemTime::UNIX_EPOCH)
    }
}

#[derive(Debug)]
struct OriginEntry {
    expires_at: Instant,
    /// The daemons that should keep it, by the members that this daemon knew last.
    holders: BTreeSet<DaemonId>,
    origin: StreamOrigin,
    /// Which upstream began it, if this daemon sent it the run.
    writer: Option<OriginWriter>,
}

/// The origins of streams that this daemon keeps, by the caller's id of the request.
#[derive(Debug, Default)]
pub struct OriginBoard {
    daemons: DaemonDomains,
    entries: BTreeMap<String, OriginEntry>,
    expiry: BTreeSet<(Instant, String)>,
    /// The streams of unknown version.
    unknown: BTreeSet<String>,
}

impl OriginBoard {
    /// Records the origin of a stream that begins at this daemon, and returns the copies to send.
    pub fn record(
        &mut self,
        now: Instant,
        request: &str,
        origin: StreamOrigin,
        lifetime: Duration,
    ) -> Vec<OriginCopy> {
        let known = self.entries.get(request);
        if known.is_some_and(|known| known.origin == origin) {
            return Vec::new();
        }
        self.learn(now, request, origin.clone(), lifetime);
        let holders = self.entries.get(request).map(|entry| entry.holders.clone());
        let copies = holders.unwrap_or_default().into_iter().map(|to| OriginCopy {
            lifetime,
            origin: origin.clone(),
            request: request.to_owned(),
            to,
        });
        copies.collect()
    }

    /// Records an origin that another daemon has sent.
    pub fn learn(&mut self, now: Instant, request: &str, origin: StreamOrigin, lifetime: Duration) {
        self.expire(now);
        let holders = holders_of(request, &origin, &self.daemons);
        let expires_at = now + lifetime;
        self.note_version(request, &origin.software);
        let entry = OriginEntry { expires_at, holders, origin, writer: None };
        if let Some(old) = self.entries.insert(request.to_owned(), entry) {
            self.expiry.remove(&(old.expires_at, request.to_owned()));
        }
        self.expiry.insert((expires_at, request.to_owned()));
        while self.entries.len() > MAX_ORIGINS {
            self.drop_first();
        }
    }

    /// Records which upstream began a stream at this daemon.
    pub fn name_writer(&mut self, request: &str, writer: OriginWriter) {
        if let Some(entry) = self.entries.get_mut(request) {
            entry.writer = Some(writer);
        }
    }

    /// Returns the streams that this daemon began at an upstream, with what is known of it.
    pub fn begun_at(&self, upstream: &UpstreamName) -> impl Iterator<Item = (&str, &OriginWriter)> {
        let writers = self
            .entries
            .iter()
            .filter_map(|(request, entry)| Some((request.as_str(), entry.writer.as_ref()?)));
        writers.filter(move |(_, writer)| writer.upstream == *upstream)
    }

    /// Replaces the software version that began a stream at this daemon, and returns the copies to send.
    pub fn correct(
        &mut self,
        now: Instant,
        request: &str,
        software: &SoftwareVersion,
    ) -> Vec<OriginCopy> {
        let is_settled =
            |entry: &OriginEntry| entry.origin.software == *software || entry.writer.is_none();
        if self.entries.get(request).is_none_or(is_settled) {
            return Vec::new();
        }
        self.note_version(request, software);
        let Some(entry) = self.entries.get_mut(request) else { return Vec::new() };
        entry.origin.software = software.clone();
        let copies = entry.holders.iter().map(|to| OriginCopy {
            lifetime: entry.expires_at.saturating_duration_since(now),
            origin: entry.origin.clone(),
            request: request.to_owned(),
            to: to.clone(),
        });
        copies.collect()
    }

    /// Returns the origin of the stream that a request began.
    pub fn find(&self, now: Instant, request: &str) -> Option<&StreamOrigin> {
        let entry = self.entries.get(request).filter(|entry| now < entry.expires_at)?;
        Some(&entry.origin)
    }

    /// Returns an origin and for how long it is kept.
    pub fn copy(&self, now: Instant, request: &str) -> Option<(StreamOrigin, Duration)> {
        let entry = self.entries.get(request).filter(|entry| now < entry.expires_at)?;
        Some((entry.origin.clone(), entry.expires_at.saturating_duration_since(now)))
    }

    /// Returns whether a stream of the service began at a version that nobody has named yet.
    pub fn has_unknown(&self, now: Instant, service: &ServiceName) -> bool {
        let mut unknown = self.unknown.iter().filter_map(|request| self.find(now, request));
        unknown.any(|origin| origin.service == *service)
    }

    /// Returns the daemons to ask for an origin that this daemon, in the failure domain `domain`,
    /// does not keep.
    pub fn daemons_to_ask(&self, request: &str, domain: &DomainName) -> BTreeSet<DaemonId> {
        choose_daemons(request, domain, self.daemons.iter(), ASKED)
    }

    /// Applies a change of the membership, and returns the copies for daemons that should keep an
    /// origin from now on.
    pub fn change_daemons(&mut self, now: Instant, daemons: DaemonDomains) -> Vec<OriginCopy> {
        self.expire(now);
        let joined: BTreeSet<_> =
            daemons.keys().filter(|daemon| !self.daemons.contains_key(daemon)).cloned().collect();
        self.daemons = daemons;
        let mut copies = Vec::new();
        for (request, entry) in &mut self.entries {
            let complete = entry.holders.iter().all(|holder| self.daemons.contains_key(holder));
            let holders = match (complete, joined.is_empty()) {
                (true, true) => continue,
                // The other daemons rank after the holders, as they did before.
                (true, false) => {
                    let candidates = self.daemons.iter().filter(|(daemon, _)| {
                        entry.holders.contains(daemon) || joined.contains(daemon)
                    });
                    let candidates = candidates.map(|(id, domain)| (id.clone(), domain.clone()));
                    holders_of(request, &entry.origin, &candidates.collect())
                }
                (false, _) => holders_of(request, &entry.origin, &self.daemons),
            };
            let added = holders.difference(&entry.holders).cloned();
            copies.extend(added.map(|to| OriginCopy {
                lifetime: entry.expires_at.saturating_duration_since(now),
                origin: entry.origin.clone(),
                request: request.clone(),
                to,
            }));
            entry.holders = holders;
        }
        copies
    }

    /// Returns the number of origins that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while self.expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, request)) = self.expiry.pop_first() {
            self.entries.remove(&request);
            self.unknown.remove(&request);
        }
    }

    fn note_version(&mut self, request: &str, software: &SoftwareVersion) {
        match *software == SoftwareVersion::unknown() {
            true => self.unknown.insert(request.to_owned()),
            false => self.unknown.remove(request),
        };
    }
}

/// Returns the daemons that should keep an origin besides the entry daemon.
fn holders_of(request: &str, origin: &StreamOrigin, daemons: &DaemonDomains) -> BTreeSet<DaemonId> {
    let others = daemons.iter().filter(|(daemon, _)| **daemon != origin.entry);
    choose_daemons(request, &origin.domain, others, HOLDERS)
}

/// Returns the first `count` daemons of a failure domain and the first `count` of all, ranked for
/// a request.
fn choose_daemons<'a>(
    request: &str,
    domain: &DomainName,
    daemons: impl Iterator<Item = (&'a DaemonId, &'a DomainName)>,
    count: usize,
) -> BTreeSet<DaemonId> {
    let domains: BTreeMap<_, _> = daemons.collect();
    let ranked = rank_daemons(&origin_key(request), domains.keys().copied());
    let local = ranked.iter().filter(|daemon| domains[*daemon] == domain).take(count);
    local.chain(ranked.iter().take(count)).map(|daemon| (*daemon).clone()).collect()
}
