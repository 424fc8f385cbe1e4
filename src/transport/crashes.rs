//! Reports crashes of upstreams to the other daemons, and ends requests that would cause more.

use crate::coordination::crashes::CrashLedger;
use crate::coordination::crashing_parts::{CrashVerdict, FIRST_TRIAL_DELAY};
use crate::coordination::flow::{FlowEvent, MAX_CRASH_WEIGHT};
use crate::coordination::membership::MemberEvent;
use crate::coordination::messages::{CrashReport, PartHistory, PeerMessage, RequestHistory};
use crate::coordination::ownership::{part_key, rank_daemons};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use metrics::{counter, gauge};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a daemon collects what it has found sound before it tells the others.
const SOUND_PERIOD: Duration = Duration::from_millis(100);

impl DaemonNode {
    /// Records a crash under a request of this entry, and reports it to all daemons.
    pub fn report_crash(self: &Arc<Self>, report: CrashReport) {
        self.record_crash(&report);
        self.broadcast(None, &PeerMessage::Crash(report));
    }

    /// Records a crash that this or another daemon has reported.
    pub fn record_crash(&self, report: &CrashReport) {
        let now = self.clock.now();
        self.change_refusals(|node| lock(&node.crashes).record(now, report));
    }

    /// Records that a run of the request with these parts, which began to write at `began`, goes on.
    pub fn record_output(
        self: &Arc<Self>,
        began: Instant,
        fingerprint: &Fingerprint,
        parts: &[PromptPart],
    ) {
        self.record_sound_request(fingerprint);
        if lock(&self.crashes).parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut shared = Vec::new();
        self.change_refusals(|node| {
            shared = lock(&node.crashes).parts.record_output(now, began, parts);
        });
        self.tell_sound(&shared);
    }

    /// Records that an upstream has run the request and not ended.
    pub fn record_sound_request(self: &Arc<Self>, fingerprint: &Fingerprint) {
        let now = self.clock.now();
        if lock(&self.crashes).weight(now, fingerprint) == 0 {
            return;
        }
        self.change_refusals(|node| lock(&node.crashes).clear(fingerprint));
        self.tell_sound(&[fingerprint.as_part()]);
    }

    /// Records that another daemon has found these parts, or the requests that they stand for, sound.
    pub fn mark_sound(&self, parts: &[PromptPart]) {
        let now = self.clock.now();
        self.change_refusals(|node| lock(&node.crashes).mark_sound(now, parts));
    }

    /// Tells the other daemons that parts are sound. One message covers all that are found so within
    /// [`SOUND_PERIOD`].
    fn tell_sound(self: &Arc<Self>, parts: &[PromptPart]) {
        let mut untold = lock(&self.untold_sound);
        let is_due = untold.is_empty() && !parts.is_empty();
        untold.extend(parts);
        drop(untold);
        if !is_due {
            return;
        }
        let node = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(SOUND_PERIOD).await;
            let parts = std::mem::take(&mut *lock(&node.untold_sound));
            node.broadcast(None, &PeerMessage::SoundParts(parts.into_iter().collect()));
        });
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
        self.change_refusals(|node| {
            let mut crashes = lock(&node.crashes);
            crashes.merge(now, requests);
            crashes.parts.merge(now, parts);
        });
    }

    /// Returns whether a request may be sent to upstreams, and its crash weight. Trials are due at one
    /// daemon only, so that they do not multiply with the daemons or the parts of a fleet that is cut.
    pub fn check_crashes(
        &self,
        now: Instant,
        fingerprint: &Fingerprint,
        parts: &[PromptPart],
    ) -> (CrashVerdict, u32) {
        let (weight, request_wait, checked) = {
            let crashes = lock(&self.crashes);
            let weight = crashes.weight(now, fingerprint);
            (weight, crashes.check(now, fingerprint), crashes.parts.check(now, parts))
        };
        let part_wait = checked.as_ref().map(|(wait, _)| *wait);
        let Some(wait) = request_wait.max(part_wait) else { return (CrashVerdict::Sound, weight) };
        let mut refused = checked.map(|(_, refused)| refused).unwrap_or_default();
        refused.extend(request_wait.map(|_| fingerprint.as_part()));
        if !wait.is_zero() || !refused.iter().all(|part| self.tries_part(part)) {
            return (CrashVerdict::Refused(wait.max(FIRST_TRIAL_DELAY)), weight);
        }
        {
            let mut crashes = lock(&self.crashes);
            crashes.parts.begin_trial(now, &refused);
            crashes.begin_trial(now, fingerprint);
        }
        log::info!(
            parts = join_parts(&refused).as_str(), fingerprint:%;
            "entry: tries a request that crashed upstreams"
        );
        // The next crash ends the trial.
        (CrashVerdict::Trial, weight.min(MAX_CRASH_WEIGHT - 1))
    }

    fn tries_part(&self, part: &PromptPart) -> bool {
        let members = lock(&self.members);
        let serving = members.serving(self.clock.now()).map(|record| &record.daemon);
        rank_daemons(&part_key(part), serving).first() == Some(&&self.me)
    }

    /// Applies a change to the crash ledger and ends the requests of this entry that are refused from
    /// now on, by themselves or for a part.
    pub(super) fn change_refusals(&self, change: impl FnOnce(&Self)) {
        let before = Refusals::of(&lock(&self.crashes));
        change(self);
        let (after, digest) = {
            let crashes = lock(&self.crashes);
            (Refusals::of(&crashes), crashes.digest())
        };
        self.crashes_changed.notify_one();
        let now = self.clock.now();
        lock(&self.members).handle(now, MemberEvent::Crashes(digest));
        if after == before {
            return;
        }
        gauge!("apricotrun_crashing_parts").set(after.parts.len() as f64);
        gauge!("apricotrun_crashing_requests").set(after.requests.len() as f64);
        let added: BTreeSet<_> = after.parts.difference(&before.parts).copied().collect();
        let removed: Vec<_> = before.parts.difference(&after.parts).copied().collect();
        if !added.is_empty() || !removed.is_empty() {
            log::info!(
                refused = join_parts(&added).as_str(), allowed = join_parts(&removed).as_str();
                "entry: the parts that crash upstreams have changed"
            );
        }
        counter!("apricotrun_crashing_parts_total").increment(added.len() as u64);
        let requests: Vec<_> = after.requests.difference(&before.requests).collect();
        let allowed: Vec<_> = before.requests.difference(&after.requests).collect();
        if !requests.is_empty() || !allowed.is_empty() {
            log::info!(
                refused = join_texts(&requests).as_str(), allowed = join_texts(&allowed).as_str();
                "entry: the requests that crash upstreams have changed"
            );
        }
        counter!("apricotrun_crashing_requests_total").increment(requests.len() as u64);
        let refused: BTreeSet<_> =
            requests.iter().map(|request| request.as_part()).chain(added).collect();
        if refused.is_empty() {
            return;
        }
        let refused = Arc::new(refused);
        for sender in lock(&self.flows).values() {
            // A request that has just ended has no receiver any more.
            let _ = sender.send(FlowEvent::PartsRefused(refused.clone()));
        }
    }
}

/// What a daemon refuses because it crashes upstreams.
#[derive(Eq, PartialEq)]
struct Refusals {
    parts: BTreeSet<PromptPart>,
    requests: BTreeSet<Fingerprint>,
}

impl Refusals {
    fn of(ledger: &CrashLedger) -> Self {
        Self { parts: ledger.parts.refused().clone(), requests: ledger.refused().clone() }
    }
}

/// Returns parts as text for log lines.
pub fn join_parts<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> String {
    join_texts(parts)
}

fn join_texts(values: impl IntoIterator<Item = impl ToString>) -> String {
    values.into_iter().map(|value| value.to_string()).collect::<Vec<_>>().join(",")
}
