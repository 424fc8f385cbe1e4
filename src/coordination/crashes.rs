//! Counts the upstreams that died while they ran requests, so that a request that crashes its
//! upstreams, or that shares the cause with others, is eventually refused.

use crate::coordination::crashing_parts::PartLedger;
use crate::coordination::flow::MAX_CRASH_WEIGHT;
use crate::coordination::messages::{CrashDigest, CrashReport, RequestHistory};
use crate::prelude::*;
use std::collections::BTreeMap;

/// The time after the last crash for which a request's crashes count.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3600);
/// The maximum number of requests in the ledger; the one with the oldest last crash is evicted
/// first.
const MAX_ENTRIES: usize = 4096;

/// The crashes of one request.
#[derive(Debug)]
struct CrashEntry {
    /// The crash weight of each attempt, so that a repeated report counts once.
    attempts: BTreeMap<AttemptId, u32>,
    last_crash: Instant,
}

impl CrashEntry {
    fn weight(&self) -> u32 {
        self.attempts.values().sum()
    }
}

/// What crashed upstreams: whole requests, by fingerprint, and parts of prompts.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// The parts of prompts that requests share.
    pub parts: PartLedger,
    entries: BTreeMap<Fingerprint, CrashEntry>,
}

impl CrashLedger {
    /// Records a crash report. Repeated reports of one attempt count once.
    pub fn record(&mut self, now: Instant, report: &CrashReport) {
        self.parts.record_crash(now, &report.upstream, &report.parts);
        self.prune(now);
        self.insert(now, report.fingerprint, &report.attempt, report.weight);
    }

    /// Returns what is known of the refused requests, for another daemon.
    pub fn histories(&self, now: Instant) -> Vec<RequestHistory> {
        let refused = self.entries.iter().filter(|(_, entry)| entry.weight() >= MAX_CRASH_WEIGHT);
        let history = |(fingerprint, entry): (&Fingerprint, &CrashEntry)| RequestHistory {
            fingerprint: *fingerprint,
            attempts: entry.attempts.iter().map(|(id, weight)| (id.clone(), *weight)).collect(),
            last_crash: now.saturating_duration_since(entry.last_crash),
        };
        refused.map(history).collect()
    }

    /// Adds what another daemon knows.
    pub fn merge(&mut self, now: Instant, histories: &[RequestHistory]) {
        self.prune(now);
        for history in histories {
            let Some(last_crash) = now.checked_sub(history.last_crash) else { continue };
            for (attempt, weight) in &history.attempts {
                self.insert(last_crash, history.fingerprint, attempt, *weight);
            }
        }
    }

    /// Returns the digest of all that is refused.
    pub fn digest(&self) -> CrashDigest {
        let refused = self.entries.iter().filter(|(_, entry)| entry.weight() >= MAX_CRASH_WEIGHT);
        let bits = refused.map(|(fingerprint, _)| fingerprint.low_bits());
        let parts = self.parts.refused().iter().map(|part| part.0);
        bits.chain(parts).fold(CrashDigest::default(), CrashDigest::toggle)
    }

    fn insert(&mut self, at: Instant, fingerprint: Fingerprint, attempt: &AttemptId, weight: u32) {
        let entry = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| CrashEntry { attempts: BTreeMap::new(), last_crash: at });
        entry.last_crash = entry.last_crash.max(at);
        if entry.attempts.len() < MAX_CRASH_WEIGHT as usize {
            entry.attempts.insert(attempt.clone(), weight);
        }
    }

    /// Returns the sum of a request's crash weights, or 0 once [`CRASH_RETENTION`] has passed since
    /// its last crash.
    pub fn weight(&self, now: Instant, fingerprint: &Fingerprint) -> u32 {
        match self.entries.get(fingerprint) {
            Some(entry) if now < entry.last_crash + CRASH_RETENTION => entry.weight(),
            _ => 0,
        }
    }

    fn prune(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.last_crash + CRASH_RETENTION);
        while self.entries.len() >= MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_crash);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.entries.remove(&fingerprint);
        }
    }
}
