//! Decides whether the configuration in force is recent enough to accept callers' keys.
//!
//! Answers this load: keys are withdrawn while some hosts are cut off from the store, are suspended, or
//! have just restarted. See docs/design/client-accounts.md, "Revocation".

use crate::coordination::store::StoreEra;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// How long the answers of a store that has returned from an older copy are no evidence: the operator
/// writes again meanwhile.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// The number of probes that may be open at a time; earlier ones count as lost.
const MAX_OPEN_PROBES: usize = 8;

/// What a host says of its configuration: when no later one had been confirmed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessRecord {
    /// The time that has passed since the evidence.
    pub age: Duration,
    /// The latest revision of the configuration at that time.
    pub revision: Revision,
}

/// Proof that no configuration later than `revision` was confirmed before `at`.
#[derive(Clone, Copy, Debug)]
struct RevisionEvidence {
    at: BootTime,
    revision: Revision,
}

/// Keeps the latest evidence that the configuration in force is the latest one.
#[derive(Debug, Default)]
pub struct FreshnessMonitor {
    /// The era in which the store answered last.
    era: Option<StoreEra>,
    evidence: Option<RevisionEvidence>,
    /// The highest revision that any host has named.
    highest: Revision,
    /// The revision of the configuration in force.
    in_force: Revision,
    /// The age from which the configuration is too old; `None` if it never is.
    limit: Option<Duration>,
    /// The probes that other hosts have not acknowledged, and when each was sent.
    probes: VecDeque<(u64, BootTime)>,
    /// Whether the deployment ran before this host started.
    restarted: bool,
    /// When the store was first seen in its present era, unless it cannot have returned shortly before.
    returned_at: Option<BootTime>,
}

impl FreshnessMonitor {
    /// Sets the age from which the configuration is too old; `None` if it never is.
    pub fn set_limit(&mut self, limit: Option<Duration>) {
        self.limit = limit;
    }

    /// Records that the deployment ran before this host started: a store that has ever returned from an
    /// older copy may have done so just now.
    pub fn mark_restart(&mut self) {
        self.restarted = true;
    }

    /// Returns the age from which the configuration is too old; `None` if it never is.
    pub fn limit(&self) -> Option<Duration> {
        self.limit
    }

    /// Records that the configuration of this revision is in force.
    pub fn set_in_force(&mut self, revision: Revision) {
        self.in_force = revision;
    }

    /// Records that the store has answered a call that was sent at `sent`, and that what it answered
    /// is in force.
    pub fn record_answer(&mut self, sent: BootTime, era: StoreEra) {
        if self.limit.is_none() {
            return;
        }
        let in_force = self.in_force;
        if Some(era) > self.era {
            let may_have_returned = self.restarted && era > StoreEra::default();
            self.returned_at = (self.era.is_some() || may_have_returned).then_some(sent);
            self.era = Some(era);
        }
        let settled = self.returned_at.is_none_or(|at| sent.since(at) >= RETURN_TIME);
        if settled && Some(era) == self.era && in_force >= self.highest {
            self.renew(RevisionEvidence { at: sent, revision: in_force });
        }
    }

    /// Records that a probe was sent to another host.
    pub fn record_probe(&mut self, sent: BootTime, nonce: u64) {
        if self.limit.is_none() {
            return;
        }
        if self.probes.len() == MAX_OPEN_PROBES {
            self.probes.pop_front();
        }
        self.probes.push_back((nonce, sent));
    }

    /// Records another host's acknowledgement of a probe. Its evidence counts from the time at which
    /// the probe was sent, as the acknowledgement may have been on its way for any time. It is none if
    /// it names a later revision than the one in force here: that one is on its way from the store.
    pub fn record_acknowledgement(&mut self, nonce: u64, record: Option<FreshnessRecord>) {
        let Some(index) = self.probes.iter().position(|(open, _)| *open == nonce) else { return };
        let sent = self.probes.remove(index).map(|(_, sent)| sent);
        let Some((sent, record)) = sent.zip(record) else { return };
        self.highest = self.highest.max(record.revision);
        if let Some(at) =
            sent.0.checked_sub(record.age).filter(|_| record.revision <= self.in_force)
        {
            self.renew(RevisionEvidence { at: BootTime(at), revision: record.revision });
        }
    }

    /// Returns what to tell another host; `None` without evidence.
    pub fn record(&self, now: BootTime) -> Option<FreshnessRecord> {
        let evidence = self.evidence.filter(|_| self.limit.is_some())?;
        Some(FreshnessRecord { age: now.since(evidence.at), revision: evidence.revision })
    }

    /// Returns whether the configuration in force is recent enough for callers' keys.
    ///
    /// `now` must have been read before the configuration and this monitor: a pause in between makes
    /// a request only look older than it is.
    pub fn is_fresh(&self, now: BootTime, in_force: Revision) -> bool {
        let Some(limit) = self.limit else { return true };
        let evidence = self.evidence.filter(|evidence| evidence.revision <= in_force);
        evidence.is_some_and(|evidence| now.since(evidence.at) < limit)
    }

    /// Returns the age of the evidence, or `None` without any.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.evidence.map(|evidence| now.since(evidence.at))
    }

    fn renew(&mut self, new: RevisionEvidence) {
        if self.evidence.is_none_or(|known| new.at > known.at) {
            self.evidence = Some(new);
        }
    }
}
