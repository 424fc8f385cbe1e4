//! The results of a simulation, per request and in total.

use crate::policy::mix::{ACCOUNTS, Arrival, DURATION, TrafficMix, WARM_UP};
use std::fmt;

/// The outcome of one request. Times are in seconds of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// The request; its arrival time is that of the retry if the caller has retried.
    pub arrival: Arrival,
    /// When the last token was generated, or `None` if the request did not complete.
    pub finished: Option<f64>,
    /// When the first token was generated.
    pub first_token: Option<f64>,
    /// When the request was refused or timed out, unless its caller retries it afterwards.
    pub refused: Option<f64>,
    /// Whether the request completed after a retry at the time given with its refusal; `None`
    /// without such a retry.
    pub returned: Option<bool>,
}

impl RequestRecord {
    /// Returns the record of a request that has just arrived.
    pub fn new(arrival: Arrival) -> Self {
        Self { arrival, finished: None, first_token: None, refused: None, returned: None }
    }

    /// Returns whether the request completed and met both latency targets.
    pub fn is_good(&self, mix: &TrafficMix) -> bool {
        let (Some(first), Some(end)) = (self.first_token, self.finished) else { return false };
        let inter_token = (end - first) / f64::from(self.arrival.output.max(2) - 1);
        first - self.arrival.at <= mix.first_token_target && inter_token <= mix.inter_token_target
    }
}

/// The results of one run; requests that arrive during the warm-up are excluded from all counts of
/// requests.
#[derive(Clone, Debug, Default)]
pub struct PolicyReport {
    /// The number of arrivals of each account.
    pub offered: [u64; ACCOUNTS],
    /// The number of requests of each account that met both latency targets.
    pub good: [u64; ACCOUNTS],
    /// The number of completed requests.
    pub finished: u64,
    /// The number of refused requests.
    pub refused: u64,
    /// The number of retries at the time given with a refusal.
    pub returned: u64,
    /// The number of those retries that were admitted and completed.
    pub readmitted: u64,
    /// The number of prompt tokens that were prefilled, including those of the warm-up.
    pub prefilled: f64,
    /// The number of those tokens whose prefill result was discarded.
    pub wasted: f64,
    /// The capacity of the engines, in requests per second.
    capacity: f64,
}

impl PolicyReport {
    /// Counts the outcomes of the recorded requests.
    pub fn from_records(
        mix: &TrafficMix,
        records: &[RequestRecord],
        prefilled: f64,
        wasted: f64,
    ) -> Self {
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

    /// Returns the percentage of the arrivals that met both latency targets.
    pub fn goodput(&self) -> f64 {
        percent(self.good.iter().sum(), self.offered.iter().sum())
    }

    /// Returns the percentage of one account's arrivals that met both latency targets.
    pub fn goodput_of(&self, account: usize) -> f64 {
        percent(self.good[account], self.offered[account])
    }

    /// Returns the requests that met both latency targets as a percentage of those that the engines
    /// have the capacity for.
    pub fn capacity_used(&self) -> f64 {
        let allowed = self.capacity * (DURATION - WARM_UP);
        100.0 * self.good.iter().sum::<u64>() as f64 / allowed
    }

    /// Returns the percentage of prefilled tokens that were wasted.
    pub fn wasted_percent(&self) -> f64 {
        if self.prefilled == 0.0 { 0.0 } else { 100.0 * self.wasted / self.prefilled }
    }

    /// Returns the percentage of retries at the given time that completed.
    pub fn readmitted_percent(&self) -> f64 {
        percent(self.readmitted, self.returned)
    }
}

fn percent(count: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { 100.0 * count as f64 / total as f64 }
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
            self.wasted_percent(),
        )
    }
}
