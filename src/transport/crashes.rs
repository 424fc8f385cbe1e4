//! Reports crashes of upstreams to the other daemons, and ends requests that would cause more.

use crate::coordination::crashing_parts::{FIRST_TRIAL_DELAY, PartVerdict};
use crate::coordination::flow::FlowEvent;
use crate::coordination::membership::MemberEvent;
use crate::coordination::messages::{CrashReport, PartHistory, PeerMessage, RequestHistory};
use crate::coordination::ownership::{part_key, rank_daemons};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use metrics::{counter, gauge};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

impl DaemonNode {
    /// Records a crash under a request of this entry, and reports it to all daemons.
    pub fn report_crash(self: &Arc<Self>, report: CrashReport) {
        self.record_crash(&report);
        self.broadcast(None, &PeerMessage::Crash(report));
    }

    /// Records a crash that this or another daemon has reported.
    pub fn record_crash(&self, report: &CrashReport) {
        let now = self.clock.now();
        self.change_refused_parts(|node| lock(&node.crashes).record(now, report));
    }

    /// Records that a run with these parts, which began to write at `began`, goes on.
    pub fn record_output(self: &Arc<Self>, began: Instant, parts: &[PromptPart]) {
        if lock(&self.crashes).parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut shared = Vec::new();
        self.change_refused_parts(|node| {
            shared = lock(&node.crashes).parts.record_output(now, began, parts);
        });
        if !shared.is_empty() {
            self.broadcast(None, &PeerMessage::SoundParts(shared));
        }
    }

    /// Records that another daemon has found these parts sound.
    pub fn mark_sound(&self, parts: &[PromptPart]) {
        let now = self.clock.now();
        self.change_refused_parts(|node| lock(&node.crashes).parts.mark_sound(now, parts));
    }

    /// Sends all that this daemon refuses to a member that refuses something else.
    pub fn send_crash_history(self: &Arc<Self>, address: SocketAddr) {
        let now = self.clock.now();
        let (parts, requests) = {
            let crashes = lock(&self.crashes);
            (crashes.parts.histories(now), crashes.histories(now))
        };
        if parts.is_empty() && requests.is_empty() {
            return;
        }
        if let Some(record) = self.find_peer(address) {
            log::debug!("member: sends the crash history to {}", record.daemon);
            self.send_to(&record, PeerMessage::CrashHistory { parts, requests });
        }
    }

    /// Adds what another daemon knows of crashes.
    pub fn merge_crash_history(&self, parts: &[PartHistory], requests: &[RequestHistory]) {
        let now = self.clock.now();
        self.change_refused_parts(|node| {
            let mut crashes = lock(&node.crashes);
            crashes.merge(now, requests);
            crashes.parts.merge(now, parts);
        });
    }

    /// Returns whether a request with these parts may be sent to upstreams. Trials are due at one
    /// daemon only, so that they do not multiply with the daemons.
    pub fn check_parts(&self, now: Instant, parts: &[PromptPart]) -> PartVerdict {
        let checked = lock(&self.crashes).parts.check(now, parts);
        let Some((wait, refused)) = checked else { return PartVerdict::Sound };
        if !wait.is_zero() || !refused.iter().all(|part| self.tries_part(part)) {
            return PartVerdict::Refused(wait.max(FIRST_TRIAL_DELAY));
        }
        lock(&self.crashes).parts.begin_trial(now, &refused);
        log::info!(parts = join_parts(&refused).as_str(); "entry: tries a part that crashed upstreams");
        PartVerdict::Trial
    }

    fn tries_part(&self, part: &PromptPart) -> bool {
        let members = lock(&self.members);
        let running = members.running().map(|record| &record.daemon);
        rank_daemons(&part_key(part), running).first() == Some(&&self.me)
    }

    /// Applies a change to the crash ledger and ends the requests of this entry that have a part
    /// which is refused from now on.
    fn change_refused_parts(&self, change: impl FnOnce(&Self)) {
        let before = lock(&self.crashes).parts.refused().clone();
        change(self);
        let (after, digest) = {
            let crashes = lock(&self.crashes);
            (crashes.parts.refused().clone(), crashes.digest())
        };
        let now = self.clock.now();
        lock(&self.members).handle(now, MemberEvent::Crashes(digest));
        if after == before {
            return;
        }
        gauge!("apricotrun_crashing_parts").set(after.len() as f64);
        let added: BTreeSet<_> = after.difference(&before).copied().collect();
        let removed: Vec<_> = before.difference(&after).copied().collect();
        log::info!(
            refused = join_parts(&added).as_str(), allowed = join_parts(&removed).as_str();
            "entry: the parts that crash upstreams have changed"
        );
        if added.is_empty() {
            return;
        }
        counter!("apricotrun_crashing_parts_total").increment(added.len() as u64);
        let added = Arc::new(added);
        for sender in lock(&self.flows).values() {
            // A request that has just ended has no receiver any more.
            let _ = sender.send(FlowEvent::PartsRefused(added.clone()));
        }
    }
}

/// Returns parts as text for log lines.
pub fn join_parts<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> String {
    parts.into_iter().map(PromptPart::to_string).collect::<Vec<_>>().join(",")
}
