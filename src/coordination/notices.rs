//! What upstreams have said about themselves in their responses to this daemon.
//!
//! Such a notice holds whatever the store says: it is newer than the upstream's record, and the
//! store may be unreachable or may have returned from an older copy. It binds this daemon only, as
//! another one may not have received it. See docs/DESIGN.md, "Notices of upstreams".

use crate::prelude::*;
use std::collections::BTreeMap;

/// The largest number of upstreams with notices. Only upstreams that have gone under a new name
/// each time leave more, and those are not addressed any more.
const MAX_NOTICES: usize = 4096;

/// What an upstream said about itself in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamNotice {
    /// The upstream is about to stop. Nothing but a new incarnation ends this.
    Leaving,
    /// The upstream has refused a request and takes none from this daemon for this long.
    Quiet(Duration),
}

/// The notices of one upstream.
#[derive(Clone, Copy, Debug)]
struct NoticeEntry {
    /// The incarnation that gave the notices. They bind it and all earlier ones.
    incarnation: Incarnation,
    is_leaving: bool,
    quiet_until: Option<Instant>,
    received_at: Instant,
}

/// The notices that are in force, by upstream.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    entries: BTreeMap<UpstreamName, NoticeEntry>,
}

impl NoticeBoard {
    /// Records a notice and returns whether it tells something new.
    pub fn record(
        &mut self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        notice: UpstreamNotice,
    ) -> bool {
        let known = self.entries.get(name).copied();
        if known.is_some_and(|entry| entry.incarnation > incarnation) {
            return false;
        }
        let known = known.filter(|entry| entry.incarnation == incarnation);
        let mut entry = known.unwrap_or(NoticeEntry {
            incarnation,
            is_leaving: false,
            quiet_until: None,
            received_at: now,
        });
        entry.received_at = now;
        let is_news = match notice {
            UpstreamNotice::Leaving => !std::mem::replace(&mut entry.is_leaving, true),
            UpstreamNotice::Quiet(time) => {
                let until = now + time;
                let was_quiet = entry.quiet_until.is_some_and(|known| now < known);
                entry.quiet_until = entry.quiet_until.max(Some(until));
                !was_quiet
            }
        };
        self.entries.insert(name.clone(), entry);
        self.limit_size();
        is_news
    }

    /// Returns whether the notices of an upstream forbid to send it requests.
    pub fn forbids(&self, now: Instant, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.is_leaving(name, incarnation) || self.quiet_until(now, name, incarnation).is_some()
    }

    /// Returns whether an upstream has said that it is about to stop.
    pub fn is_leaving(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.binding(name, incarnation).is_some_and(|entry| entry.is_leaving)
    }

    /// Returns until when an upstream takes no requests from this daemon, if it does not now.
    pub fn quiet_until(
        &self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
    ) -> Option<Instant> {
        let until = self.binding(name, incarnation).and_then(|entry| entry.quiet_until);
        until.filter(|until| now < *until)
    }

    fn binding(&self, name: &UpstreamName, incarnation: Incarnation) -> Option<&NoticeEntry> {
        self.entries.get(name).filter(|entry| incarnation <= entry.incarnation)
    }

    fn limit_size(&mut self) {
        if self.entries.len() <= MAX_NOTICES {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.received_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.entries.remove(&name);
        }
    }
}
