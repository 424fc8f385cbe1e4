//! Weighs the upstreams that died while they ran a request body, so that it is not tried without end.

use crate::coordination::flow::MAX_CRASH_WEIGHT;
use crate::coordination::messages::CrashReport;
use crate::prelude::*;
use std::collections::BTreeMap;

/// How long a lost upstream counts against a body.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3600);
/// How many bodies are remembered; the oldest go first.
const MAX_BODIES: usize = 4096;

#[derive(Debug)]
struct CrashEntry {
    attempts: BTreeMap<AttemptId, u32>,
    last: Instant,
}

/// The bodies during which upstreams were lost.
#[derive(Debug, Default)]
pub struct CrashLedger {
    bodies: BTreeMap<Fingerprint, CrashEntry>,
}

impl CrashLedger {
    /// Takes a report in, which may come more than once.
    pub fn record(&mut self, now: Instant, report: CrashReport) {
        self.prune(now);
        let entry = self
            .bodies
            .entry(report.fingerprint)
            .or_insert_with(|| CrashEntry { attempts: BTreeMap::new(), last: now });
        entry.last = now;
        if entry.attempts.len() < MAX_CRASH_WEIGHT as usize {
            entry.attempts.insert(report.attempt, report.weight);
        }
    }

    /// Returns the weight of the upstreams that died lately while they ran a body.
    pub fn weight(&self, now: Instant, fingerprint: &Fingerprint) -> u32 {
        match self.bodies.get(fingerprint) {
            Some(entry) if now < entry.last + CRASH_RETENTION => entry.attempts.values().sum(),
            _ => 0,
        }
    }

    fn prune(&mut self, now: Instant) {
        self.bodies.retain(|_, entry| now < entry.last + CRASH_RETENTION);
        while self.bodies.len() >= MAX_BODIES {
            let oldest = self.bodies.iter().min_by_key(|(_, entry)| entry.last);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.bodies.remove(&fingerprint);
        }
    }
}
