//! Counts the upstreams that died while they ran requests, so that a request that crashes its
//! upstreams, or that shares the cause with others, is eventually refused.

use crate::coordination::crashing_parts::PartLedger;
use crate::coordination::flow::MAX_CRASH_WEIGHT;
use crate::coordination::messages::CrashReport;
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
        let entry = self
            .entries
            .entry(report.fingerprint)
            .or_insert_with(|| CrashEntry { attempts: BTreeMap::new(), last_crash: now });
        entry.last_crash = now;
        if entry.attempts.len() < MAX_CRASH_WEIGHT as usize {
            entry.attempts.insert(report.attempt.clone(), report.weight);
        }
    }

    /// Returns the sum of a request's crash weights, or 0 once [`CRASH_RETENTION`] has passed since
    /// its last crash.
    pub fn weight(&self, now: Instant, fingerprint: &Fingerprint) -> u32 {
        match self.entries.get(fingerprint) {
            Some(entry) if now < entry.last_crash + CRASH_RETENTION => {
                entry.attempts.values().sum()
            }
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
