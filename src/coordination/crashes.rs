//! Counts the upstreams that ended while they ran requests, so that a request that crashes its
//! upstreams, or that shares the cause with others, is eventually refused.
//!
//! See docs/DESIGN.md, "Requests that crash their upstreams".

use crate::coordination::crash_record::{CrashRecord, RecordedCrash};
use crate::coordination::crashing_parts::{MIN_SPAN, PartLedger, SAME_CRASH, next_trial};
use crate::coordination::flow::MAX_CRASH_WEIGHT;
use crate::coordination::messages::{CrashDigest, CrashReport, RequestHistory};
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

/// The time after the last crash for which a request's crashes count.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3600);
/// The time from the last crash to the first trial of a request that is refused. A request that is not to
/// blame has mostly been cleared by then, and each other trial costs its upstream's other callers.
const REQUEST_TRIAL_DELAY: Duration = Duration::from_secs(16);
/// The maximum number of requests in the ledger; the one with the oldest last crash is evicted
/// first.
const MAX_ENTRIES: usize = 4096;
/// The maximum number of crashes that are kept of one request.
const MAX_CRASHES: usize = 8;
/// The maximum number of attempts that are kept of one crash, to recognize repeated reports.
const MAX_ATTEMPTS: usize = 64;
/// The maximum number of crashes in the stored record. Requests with the largest weight go first.
const MAX_RECORDED: usize = 512;

/// The end of an upstream under one or more requests with the same fingerprint.
#[derive(Clone, Debug)]
struct RequestCrash {
    at: Instant,
    /// The attempts that were lost in it.
    attempts: BTreeSet<AttemptId>,
    /// Whether a run of the request has completed since, so that the request is not to blame.
    is_cleared: bool,
    /// The upstream; unknown if another daemon has told of the crash in a history.
    upstream: Option<UpstreamName>,
    /// The largest weight of a report about it.
    weight: u32,
}

impl RequestCrash {
    /// Returns whether this and another one, of which one attempt is known, are the same crash.
    /// Upstreams that end at the same time have a cause of their own, unless one request has run at them
    /// one after the other.
    fn covers(&self, other: &Self) -> bool {
        let is_known = |attempt: &AttemptId| {
            self.attempts.iter().any(|known| known.request == attempt.request)
        };
        if other.attempts.iter().any(is_known) {
            return false;
        }
        let apart = other.at.max(self.at) - other.at.min(self.at);
        let same_upstream = self.upstream.is_some() && self.upstream == other.upstream;
        same_upstream && apart < SAME_CRASH || !self.is_cleared && apart < MIN_SPAN
    }

    fn absorb(&mut self, other: Self) {
        self.weight = self.weight.max(other.weight);
        self.is_cleared |= other.is_cleared;
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.extend(other.attempts);
        }
    }
}

/// The crashes under requests with one fingerprint.
#[derive(Debug)]
struct RequestEntry {
    /// The crashes in the order in which they became known.
    crashes: Vec<RequestCrash>,
    /// When this daemon last let such a request through as a trial.
    trial_at: Option<Instant>,
}

impl RequestEntry {
    /// Returns the sum of the weights of the crashes that the request is still suspected of.
    fn weight(&self) -> u32 {
        self.suspected().map(|crash| crash.weight).sum()
    }

    fn suspected(&self) -> impl Iterator<Item = &RequestCrash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    fn crash_of(&mut self, attempt: &AttemptId) -> Option<&mut RequestCrash> {
        self.crashes.iter_mut().find(|crash| crash.attempts.contains(attempt))
    }

    /// Adds a crash of which one attempt is known, unless it is known already.
    fn report(&mut self, crash: RequestCrash) {
        let is_known = |known: &&mut RequestCrash| !known.attempts.is_disjoint(&crash.attempts);
        if let Some(known) = self.crashes.iter_mut().find(is_known) {
            known.weight = known.weight.max(crash.weight);
            known.is_cleared |= crash.is_cleared;
        } else if let Some(known) = self.crashes.iter_mut().find(|known| known.covers(&crash)) {
            known.absorb(crash);
        } else {
            self.push(crash);
        }
    }

    fn push(&mut self, crash: RequestCrash) {
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at));
            if let Some((index, _)) = oldest {
                self.crashes.remove(index);
            }
        }
    }

    /// Returns when the request, which is refused, is next let through as a trial.
    fn trial_due(&self) -> Option<Instant> {
        let mut times: Vec<_> = self.suspected().map(|crash| crash.at).collect();
        times.sort_unstable();
        next_trial(REQUEST_TRIAL_DELAY, &times, self.trial_at)
    }
}

/// How urgent it is to write the record of crashes to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RecordNeed {
    /// A request that the record blames has been cleared.
    Cleared,
    /// The record lacks a crash.
    Missing,
}

/// What crashed upstreams: whole requests, by fingerprint, and parts of prompts.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// The parts of prompts that requests share.
    pub parts: PartLedger,
    entries: BTreeMap<Fingerprint, RequestEntry>,
    /// The attempts in the stored record, and whether they are cleared there.
    recorded: BTreeMap<AttemptId, bool>,
    refused: BTreeSet<Fingerprint>,
}

impl CrashLedger {
    /// Records a crash report. However many attempts were lost in one crash, it counts once.
    pub fn record(&mut self, now: Instant, report: &CrashReport) {
        self.parts.record_crash(now, &report.upstream, &report.parts);
        self.prune(now);
        self.entry(report.fingerprint).report(RequestCrash {
            at: now,
            attempts: [report.attempt.clone()].into(),
            is_cleared: false,
            upstream: Some(report.upstream.clone()),
            weight: report.weight,
        });
        self.update_refused(&report.fingerprint);
    }

    /// Records that a run of a request has completed: it does not crash the upstreams that run it.
    pub fn clear(&mut self, fingerprint: &Fingerprint) {
        if let Some(entry) = self.entries.get_mut(fingerprint) {
            entry.crashes.iter_mut().for_each(|crash| crash.is_cleared = true);
        }
        self.update_refused(fingerprint);
    }

    /// Records that another daemon has found these parts, or the requests that they stand for, to be
    /// sound.
    pub fn mark_sound(&mut self, now: Instant, parts: &[PromptPart]) {
        self.parts.mark_sound(now, parts);
        for part in parts {
            let known = self.entries.range(Fingerprint::range_of(*part));
            let known: Vec<_> = known.map(|(fingerprint, _)| *fingerprint).collect();
            known.iter().for_each(|fingerprint| self.clear(fingerprint));
        }
    }

    /// Returns what is known of the refused requests, for another daemon: one attempt of each crash.
    pub fn histories(&self, now: Instant) -> Vec<RequestHistory> {
        let history = |fingerprint: &Fingerprint| {
            let entry = self.entries.get(fingerprint)?;
            let attempts = entry.suspected();
            let attempts = attempts.filter_map(|crash| Some((crash.attempts.first()?, crash)));
            Some(RequestHistory {
                fingerprint: *fingerprint,
                attempts: attempts.map(|(id, crash)| (id.clone(), crash.weight)).collect(),
                last_crash: now.saturating_duration_since(entry.last_crash()?),
            })
        };
        self.refused.iter().filter_map(history).collect()
    }

    /// Adds what another daemon knows.
    pub fn merge(&mut self, now: Instant, histories: &[RequestHistory]) {
        self.prune(now);
        for history in histories {
            let Some(last_crash) = now.checked_sub(history.last_crash) else { continue };
            let entry = self.entry(history.fingerprint);
            for (attempt, weight) in &history.attempts {
                if let Some(crash) = entry.crash_of(attempt) {
                    crash.weight = crash.weight.max(*weight);
                    continue;
                }
                entry.push(RequestCrash {
                    at: last_crash,
                    attempts: [attempt.clone()].into(),
                    is_cleared: false,
                    upstream: None,
                    weight: *weight,
                });
            }
            self.update_refused(&history.fingerprint);
        }
    }

    /// Returns the record of what is known, for the store: of all requests that are suspected, also of
    /// one crash, since they come again after all daemons have ended.
    pub fn to_record(&self, now: Instant, written: SystemTime) -> CrashRecord {
        let row = |crash: &RequestCrash| {
            let recorded = crash.attempts.iter().find(|id| self.recorded.contains_key(id));
            // Without its row, a daemon that missed that it was cleared would record it again.
            let is_useful = !crash.is_cleared || recorded.is_some();
            let attempt = recorded.or(crash.attempts.first())?;
            is_useful.then(|| RecordedCrash {
                age: now.saturating_duration_since(crash.at),
                attempt: attempt.clone(),
                is_cleared: crash.is_cleared,
                upstream: crash.upstream.clone(),
                weight: crash.weight,
            })
        };
        let recent = self.entries.keys().filter_map(|key| Some((key, self.current(now, key)?)));
        let mut entries: Vec<_> = recent.collect();
        entries.sort_by_key(|(_, entry)| Reverse((entry.weight(), entry.last_crash())));
        let mut requests = BTreeMap::new();
        let mut rows = 0;
        for (fingerprint, entry) in entries {
            let crashes: Vec<_> = entry.crashes.iter().filter_map(row).collect();
            rows += crashes.len();
            if rows > MAX_RECORDED {
                break;
            }
            if !crashes.is_empty() {
                requests.insert(*fingerprint, crashes);
            }
        }
        CrashRecord::new(written, self.parts.suspected(now), requests)
    }

    /// Adds what the stored record says of requests, and remembers what it says.
    pub fn merge_record(&mut self, now: Instant, wall: SystemTime, record: &CrashRecord) {
        self.prune(now);
        self.note_recorded(record);
        let since_written = record.age(wall);
        for (fingerprint, crashes) in &record.requests {
            for crash in crashes {
                let Some(at) = now.checked_sub(crash.age + since_written) else { continue };
                self.entry(*fingerprint).report(RequestCrash {
                    at,
                    attempts: [crash.attempt.clone()].into(),
                    is_cleared: crash.is_cleared,
                    upstream: crash.upstream.clone(),
                    weight: crash.weight,
                });
            }
            self.update_refused(fingerprint);
        }
    }

    /// Adds what the stored record says of parts of prompts, for a daemon that starts. One that runs has
    /// been told by the others, with times that do not depend on clocks.
    pub fn merge_recorded_parts(&mut self, now: Instant, wall: SystemTime, record: &CrashRecord) {
        self.parts.merge(now, &record.aged_parts(wall));
    }

    /// Remembers what the stored record says, which is what this daemon has written.
    pub fn note_recorded(&mut self, record: &CrashRecord) {
        let crashes = record.requests.values().flatten();
        self.recorded = crashes.map(|crash| (crash.attempt.clone(), crash.is_cleared)).collect();
    }

    /// Returns whether the stored record has to be written again.
    pub fn record_need(&self, now: Instant) -> Option<RecordNeed> {
        let is_full = self.recorded.len() + MAX_CRASHES > MAX_RECORDED;
        let need = |entry: &RequestEntry, crash: &RequestCrash| {
            let mut recorded = crash.attempts.iter().filter_map(|id| self.recorded.get(id));
            if crash.is_cleared {
                let is_blamed = recorded.any(|is_cleared| !is_cleared);
                return is_blamed.then_some(RecordNeed::Cleared);
            }
            let has_room = !is_full || entry.weight() > 1;
            (has_room && recorded.next().is_none()).then_some(RecordNeed::Missing)
        };
        let recent = self.entries.keys().filter_map(|key| self.current(now, key));
        let needs = recent
            .flat_map(|entry| entry.crashes.iter().filter_map(move |crash| need(entry, crash)));
        needs.max()
    }

    /// Returns the digest of all that is refused.
    pub fn digest(&self) -> CrashDigest {
        let bits = self.refused.iter().map(Fingerprint::low_bits);
        let parts = self.parts.refused().iter().map(|part| part.0);
        bits.chain(parts).fold(CrashDigest::default(), CrashDigest::toggle)
    }

    /// Returns the requests that are refused.
    pub fn refused(&self) -> &BTreeSet<Fingerprint> {
        &self.refused
    }

    /// Returns the sum of a request's crash weights, or 0 once [`CRASH_RETENTION`] has passed since
    /// its last crash.
    pub fn weight(&self, now: Instant, fingerprint: &Fingerprint) -> u32 {
        self.current(now, fingerprint).map_or(0, RequestEntry::weight)
    }

    /// Returns how long a request is still refused; zero means that a trial is due, see
    /// [`CrashLedger::begin_trial`]. Returns `None` if it is not refused.
    pub fn check(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Duration> {
        let entry =
            self.current(now, fingerprint).filter(|_| self.refused.contains(fingerprint))?;
        Some(entry.trial_due()?.saturating_duration_since(now))
    }

    /// Lets one request through as a trial.
    pub fn begin_trial(&mut self, now: Instant, fingerprint: &Fingerprint) {
        if let Some(entry) = self.entries.get_mut(fingerprint) {
            entry.trial_at = Some(now);
        }
    }

    fn current(&self, now: Instant, fingerprint: &Fingerprint) -> Option<&RequestEntry> {
        let entry = self.entries.get(fingerprint)?;
        entry.last_crash().filter(|last| now < *last + CRASH_RETENTION).map(|_| entry)
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut RequestEntry {
        let new = || RequestEntry { crashes: Vec::new(), trial_at: None };
        self.entries.entry(fingerprint).or_insert_with(new)
    }

    fn update_refused(&mut self, fingerprint: &Fingerprint) {
        let weight = self.entries.get(fingerprint).map_or(0, RequestEntry::weight);
        match weight >= MAX_CRASH_WEIGHT {
            true => self.refused.insert(*fingerprint),
            false => self.refused.remove(fingerprint),
        };
    }

    fn prune(&mut self, now: Instant) {
        let is_recent = |last: Option<Instant>| last.is_some_and(|at| now < at + CRASH_RETENTION);
        self.entries.retain(|_, entry| is_recent(entry.last_crash()));
        while self.entries.len() >= MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_crash());
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.entries.remove(&fingerprint);
        }
        self.refused.retain(|fingerprint| self.entries.contains_key(fingerprint));
    }
}
