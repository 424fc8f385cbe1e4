//! What became of the arrivals.

use crate::policy::mix::{ACCOUNTS, Arrival, DURATION, TrafficMix, WARM_UP};
use std::fmt;

/// How one request went.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// The request.
    pub arrival: Arrival,
    /// When its last token came.
    pub finished: Option<f64>,
    /// When its first token came.
    pub first_token: Option<f64>,
    /// When it was refused for good.
    pub refused: Option<f64>,
    /// Whether it came back at a time that it was given, and whether it was then admitted.
    pub returned: Option<bool>,
}

impl RequestRecord {
    /// Returns the record of a request that has just arrived.
    pub fn new(arrival: Arrival) -> Self {
        Self { arrival, finished: None, first_token: None, refused: None, returned: None }
    }

    /// Returns whether it met both latency targets.
    pub fn is_good(&self, mix: &TrafficMix) -> bool {
        let (Some(first), Some(end)) = (self.first_token, self.finished) else { return false };
        let between = (end - first) / f64::from(self.arrival.answer.max(2) - 1);
        first - self.arrival.at <= mix.first_target && between <= mix.between_target
    }
}

/// The counts of one run.
#[derive(Clone, Debug, Default)]
pub struct PolicyReport {
    /// The arrivals of each account that count.
    pub offered: [u64; ACCOUNTS],
    /// Those that met both targets.
    pub good: [u64; ACCOUNTS],
    /// Those that finished.
    pub finished: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that came back as told.
    pub returned: u64,
    /// Those of them that were admitted.
    pub readmitted: u64,
    /// The prompt tokens that were computed.
    pub prefilled: f64,
    /// Those of them whose result was thrown away.
    pub wasted: f64,
    capacity: f64,
}

impl PolicyReport {
    /// Counts the records.
    pub fn of(mix: &TrafficMix, records: &[RequestRecord], prefilled: f64, wasted: f64) -> Self {
        let mut report = Self { prefilled, wasted, capacity: mix.capacity(), ..Self::default() };
        let counted = |at: f64| (WARM_UP..DURATION).contains(&at);
        for record in records.iter().filter(|record| counted(record.arrival.at)) {
            let account = record.arrival.account;
            report.offered[account] += 1;
            report.good[account] += u64::from(record.is_good(mix));
            report.finished += u64::from(record.finished.is_some());
            report.refused += u64::from(record.refused.is_some());
            report.returned += u64::from(record.returned.is_some());
            report.readmitted += u64::from(record.returned == Some(true));
        }
        report
    }

    /// Returns the part of the arrivals that met both targets, in percent.
    pub fn goodput(&self) -> f64 {
        percent(self.good.iter().sum(), self.offered.iter().sum())
    }

    /// Returns the part of one account's arrivals that met both targets, in percent.
    pub fn goodput_of(&self, account: usize) -> f64 {
        percent(self.good[account], self.offered[account])
    }

    /// Returns the good requests as a part of what the capacity allows, in percent.
    pub fn capacity_used(&self) -> f64 {
        let allowed = self.capacity * (DURATION - WARM_UP);
        100.0 * self.good.iter().sum::<u64>() as f64 / allowed
    }

    /// Returns the wasted part of the prefill work, in percent.
    pub fn wasted_part(&self) -> f64 {
        if self.prefilled == 0.0 { 0.0 } else { 100.0 * self.wasted / self.prefilled }
    }

    /// Returns the part of those that came back as told that were admitted, in percent.
    pub fn readmitted_part(&self) -> f64 {
        percent(self.readmitted, self.returned)
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { 100.0 * part as f64 / whole as f64 }
}

impl fmt::Display for PolicyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {:5} good {:5.1}% of capacity {:5.1}% finished {:5} refused {:5} wasted {:4.1}%",
            self.offered.iter().sum::<u64>(),
            self.goodput(),
            self.capacity_used(),
            self.finished,
            self.refused,
            self.wasted_part(),
        )
    }
}
