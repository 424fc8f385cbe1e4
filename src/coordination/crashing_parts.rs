//! Finds the parts of prompts that crash the upstreams that run them, whatever else the requests
//! hold.
//!
//! Requests that share such a part may differ in everything else, so that none of them ever repeats.
//! See docs/DESIGN.md, "Parts of prompts that crash upstreams".

use crate::coordination::messages::PartHistory;
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The number of upstreams that must have ended under requests with a part until it is refused.
pub const MIN_CRASHES: usize = 3;
/// The minimum time between the first and the last of these crashes. Upstreams that end together
/// have a cause of their own.
pub(super) const MIN_SPAN: Duration = Duration::from_millis(300);
/// Reports that name one upstream within this time are about the same crash.
pub(super) const SAME_CRASH: Duration = Duration::from_secs(1);
/// How long a run must have written for its parts to count as sound. A run that is lost earlier is
/// suspected of the crash.
pub const SOUND_OUTPUT_TIME: Duration = Duration::from_millis(500);
/// The time from the last crash to the first request that is let through as a trial.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// The factor by which this time grows with each trial that crashed an upstream.
const TRIAL_BACKOFF: u32 = 8;
/// The time after which a crash no longer counts.
const RETENTION: Duration = Duration::from_secs(3600);
/// The maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// The maximum number of parts that are remembered because they were refused and found sound.
const MAX_CLEARED: usize = 256;

/// The maximum number of parts in the stored record.
const MAX_SUSPECTED: usize = 256;

/// Whether a request may be sent to upstreams, by what is known of it and of the parts of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Neither the request nor a part is known to crash upstreams.
    Sound,
    /// The request or a part crashes upstreams, and this request tries whether it still does.
    Trial,
    /// The request or a part crashes upstreams, and callers are told to come back after this time.
    Refused(Duration),
}

/// An upstream that ended under requests.
#[derive(Debug)]
struct UpstreamCrash {
    at: Instant,
    upstream: UpstreamName,
}

/// Returns when something that crashed upstreams at these times, in their order, and was last tried at
/// `trial` is next tried, the first time `first` after the last crash. Each crash after a pause, as by a
/// trial, makes the next pause longer.
pub(super) fn next_trial(
    first: Duration,
    times: &[Instant],
    trial: Option<Instant>,
) -> Option<Instant> {
    let last = times.last()?;
    let pauses = times.windows(2).filter(|pair| pair[1] - pair[0] >= first);
    let factor = TRIAL_BACKOFF.saturating_pow(pauses.count() as u32);
    let delay = first.saturating_mul(factor).min(RETENTION);
    Some(trial.map_or(*last, |trial| trial.max(*last)) + delay)
}

/// What is known of a part.
#[derive(Debug, Default)]
struct PartEntry {
    /// The numbers of the crashes under requests with the part, since a run with it was sound.
    crashes: BTreeSet<u64>,
    /// The largest number of parts that came before it in a prompt.
    depth: usize,
    /// When this daemon last let a request with the part through as a trial.
    trial_at: Option<Instant>,
}

/// The parts of prompts that are suspected of crashing upstreams, and those that are refused.
#[derive(Debug, Default)]
pub struct PartLedger {
    crashes: BTreeMap<u64, UpstreamCrash>,
    /// When parts that had been refused were found sound: crashes before do not count, also if
    /// another daemon reports them again.
    cleared: BTreeMap<PromptPart, Instant>,
    next_crash: u64,
    parts: BTreeMap<PromptPart, PartEntry>,
    refused: BTreeSet<PromptPart>,
}

impl PartLedger {
    /// Records that an upstream ended under a request with these parts, which are in the order of
    /// the prompt.
    pub fn record_crash(&mut self, now: Instant, upstream: &UpstreamName, parts: &[PromptPart]) {
        self.prune(now);
        if parts.is_empty() {
            return;
        }
        let crash = self.crash_number(now, upstream);
        for (depth, part) in parts.iter().enumerate() {
            let entry = self.parts.entry(*part).or_default();
            entry.crashes.insert(crash);
            entry.depth = entry.depth.max(depth);
        }
        self.limit_size();
        self.update_refused();
    }

    /// Records that a run with these parts, which began to write at `began`, was not lost in
    /// [`SOUND_OUTPUT_TIME`]. Returns the parts that other daemons suspect too and must be told of.
    pub fn record_output(
        &mut self,
        now: Instant,
        began: Instant,
        parts: &[PromptPart],
    ) -> Vec<PromptPart> {
        let first_crash = |entry: &PartEntry| self.times(entry).first().copied();
        let is_suspected = |part: &&PromptPart| {
            let first = self.parts.get(part).and_then(first_crash);
            first.is_some_and(|first| first < began)
        };
        let suspected: Vec<_> = parts.iter().filter(is_suspected).copied().collect();
        // One crash refuses nothing, so that the others need not know.
        let is_shared = |part: &&PromptPart| self.parts[part].crashes.len() > 1;
        let shared = suspected.iter().filter(is_shared).copied().collect();
        self.mark_sound(now, &suspected);
        shared
    }

    /// Drops the crashes of parts with which a run was sound.
    pub fn mark_sound(&mut self, now: Instant, parts: &[PromptPart]) {
        let mut changed = false;
        for part in parts {
            changed |= self.parts.remove(part).is_some();
            if self.refused.contains(part) {
                self.clear(now, *part);
            }
        }
        if changed {
            self.update_refused();
        }
    }

    /// Returns what is known of the parts that are or were refused, for another daemon.
    pub fn histories(&self, now: Instant) -> Vec<PartHistory> {
        let known: BTreeSet<_> = self.refused.iter().chain(self.cleared.keys()).copied().collect();
        known.into_iter().map(|part| self.history(now, part)).collect()
    }

    /// Returns what is known of all parts that are suspected or were refused, those with the most crashes
    /// first, for daemons that start.
    pub fn suspected(&self, now: Instant) -> Vec<PartHistory> {
        let known: BTreeSet<_> = self.parts.keys().chain(self.cleared.keys()).copied().collect();
        let mut histories: Vec<_> = known.into_iter().map(|part| self.history(now, part)).collect();
        histories.sort_by_key(|history| Reverse(history.crashes.len()));
        histories.truncate(MAX_SUSPECTED);
        histories
    }

    fn history(&self, now: Instant, part: PromptPart) -> PartHistory {
        let entry = self.parts.get(&part);
        let crashes = entry.into_iter().flat_map(|entry| &entry.crashes);
        let age = |at: Instant| now.saturating_duration_since(at);
        PartHistory {
            part,
            crashes: crashes
                .map(|number| &self.crashes[number])
                .map(|crash| (crash.upstream.clone(), age(crash.at)))
                .collect(),
            depth: entry.map_or(0, |entry| entry.depth as u32),
            sound: self.cleared.get(&part).map(|at| age(*at)),
        }
    }

    /// Adds what another daemon knows.
    pub fn merge(&mut self, now: Instant, histories: &[PartHistory]) {
        for history in histories {
            if let Some(sound) = history.sound.and_then(|age| now.checked_sub(age)) {
                self.clear(sound, history.part);
            }
            let cleared = self.cleared.get(&history.part).copied();
            let crashes = history.crashes.iter().filter_map(|(upstream, age)| {
                Some((upstream, now.checked_sub(*age)?)).filter(|(_, at)| Some(*at) > cleared)
            });
            let numbers: Vec<_> =
                crashes.map(|(upstream, at)| self.crash_number(at, upstream)).collect();
            if !numbers.is_empty() {
                let entry = self.parts.entry(history.part).or_default();
                entry.crashes.extend(numbers);
                entry.depth = entry.depth.max(history.depth as usize);
            }
        }
        self.prune(now);
        self.limit_size();
        self.update_refused();
    }

    /// Returns whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the parts whose requests are refused.
    pub fn refused(&self) -> &BTreeSet<PromptPart> {
        &self.refused
    }

    /// Returns whether a request with these parts is refused now, for how long, and the refused
    /// parts. A time of zero means that a trial is due, see [`PartLedger::begin_trial`].
    pub fn check(&self, now: Instant, parts: &[PromptPart]) -> Option<(Duration, Vec<PromptPart>)> {
        let refused: Vec<_> =
            parts.iter().filter(|part| self.refused.contains(part)).copied().collect();
        let due = refused.iter().filter_map(|part| self.trial_due(part)).max()?;
        Some((due.saturating_duration_since(now), refused))
    }

    /// Lets one request with these parts through as a trial.
    pub fn begin_trial(&mut self, now: Instant, parts: &[PromptPart]) {
        for part in parts {
            if let Some(entry) = self.parts.get_mut(part) {
                entry.trial_at = Some(now);
            }
        }
    }

    /// Drops the crashes of a part up to the time at which it was found sound.
    fn clear(&mut self, sound: Instant, part: PromptPart) {
        let sound = self.cleared.get(&part).map_or(sound, |known| sound.max(*known));
        self.cleared.insert(part, sound);
        if let Some(entry) = self.parts.get_mut(&part) {
            entry.crashes.retain(|number| self.crashes[number].at > sound);
        }
        self.parts.retain(|_, entry| !entry.crashes.is_empty());
        if self.cleared.len() > MAX_CLEARED {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.cleared.remove(&oldest);
            }
        }
    }

    /// Returns the times of a part's crashes in their order.
    fn times(&self, entry: &PartEntry) -> Vec<Instant> {
        self.sorted_times(entry.crashes.iter())
    }

    fn sorted_times<'a>(&self, numbers: impl Iterator<Item = &'a u64>) -> Vec<Instant> {
        let mut times: Vec<_> = numbers.map(|number| self.crashes[number].at).collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of a crash, which is new unless it was reported already.
    fn crash_number(&mut self, at: Instant, upstream: &UpstreamName) -> u64 {
        let apart = |crash: &UpstreamCrash| at.max(crash.at) - at.min(crash.at);
        let mut recent = self.crashes.iter().rev();
        let known =
            recent.find(|(_, crash)| crash.upstream == *upstream && apart(crash) < SAME_CRASH);
        if let Some((number, _)) = known {
            return *number;
        }
        self.next_crash += 1;
        let crash = UpstreamCrash { at, upstream: upstream.clone() };
        self.crashes.insert(self.next_crash, crash);
        self.next_crash
    }

    /// Returns when a refused part is next tried.
    fn trial_due(&self, part: &PromptPart) -> Option<Instant> {
        let entry = self.parts.get(part)?;
        next_trial(FIRST_TRIAL_DELAY, &self.times(entry), entry.trial_at)
    }

    /// Determines the refused parts. A crash is put down to the part that is deepest in the prompt
    /// and has enough crashes: the parts before it are shared with more requests, and are refused
    /// only for further crashes.
    fn update_refused(&mut self) {
        let mut candidates: Vec<_> =
            self.parts.iter().filter(|(_, entry)| entry.crashes.len() >= MIN_CRASHES).collect();
        candidates.sort_by_key(|(part, entry)| (Reverse(entry.depth), **part));
        let mut explained = BTreeSet::new();
        let mut refused = BTreeSet::new();
        for (part, entry) in candidates {
            let times = self.sorted_times(entry.crashes.difference(&explained));
            let span = times.last().zip(times.first()).map(|(last, first)| *last - *first);
            if times.len() >= MIN_CRASHES && span >= Some(MIN_SPAN) {
                refused.insert(*part);
                explained.extend(entry.crashes.iter().copied());
            }
        }
        self.refused = refused;
    }

    fn prune(&mut self, now: Instant) {
        self.cleared.retain(|_, at| now < *at + RETENTION);
        let old = self.crashes.iter().filter(|(_, crash)| now >= crash.at + RETENTION);
        let old: Vec<_> = old.map(|(number, _)| *number).collect();
        old.into_iter().for_each(|number| self.drop_crash(number));
    }

    /// Drops the oldest crashes, first those that no refused part has.
    fn limit_size(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let refused = self.refused.iter().filter_map(|part| self.parts.get(part));
            let needed: BTreeSet<_> = refused.flat_map(|entry| &entry.crashes).copied().collect();
            let mut numbers = self.crashes.keys();
            let oldest =
                numbers.find(|number| !needed.contains(number)).or(self.crashes.keys().next());
            let Some(oldest) = oldest.copied() else { return };
            self.drop_crash(oldest);
        }
    }

    fn drop_crash(&mut self, number: u64) {
        self.crashes.remove(&number);
        self.parts.retain(|_, entry| {
            entry.crashes.remove(&number);
            !entry.crashes.is_empty()
        });
        self.update_refused();
    }
}
