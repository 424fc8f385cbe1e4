//! How long the streams of each service have lately taken at this host.
//!
//! A host that stops decides by it which streams still end in time. Data sheets give the pace of an idle
//! engine; under load a token takes several times as long. See docs/DESIGN.md, "Planned stop".

use crate::prelude::*;
use std::collections::BTreeMap;

/// The time after which the slowest stream of a period is forgotten, twice.
const PERIOD: Duration = Duration::from_secs(30);
/// Shorter streams say little about the time of a token.
const MIN_PACED_EVENTS: u32 = 8;

/// The times of one complete stream, whose caller read it as it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamSample {
    /// The number of its events.
    pub events: u32,
    /// The time from the acceptance of its request to its first event.
    pub start: Duration,
    /// The number of its tokens, at most as many as its request allowed: an upstream that writes more
    /// takes so much longer for each that was allowed.
    pub tokens: Tokens,
    /// The time from its first event to its last.
    pub writing: Duration,
}

/// The slowest of several streams, part by part.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlowestTimes {
    /// The time from the acceptance of a request to its first event.
    pub start: Duration,
    /// The time of a token.
    pub token: Duration,
}

impl SlowestTimes {
    fn add(&mut self, sample: &StreamSample) {
        if sample.events < MIN_PACED_EVENTS {
            self.start = self.start.max(sample.start + sample.writing);
            return;
        }
        self.start = self.start.max(sample.start);
        self.token = self.token.max(sample.writing / sample.tokens.0.max(1));
    }

    fn join(self, other: Self) -> Self {
        Self { start: self.start.max(other.start), token: self.token.max(other.token) }
    }
}

/// The slowest streams of the current period and the one before it.
#[derive(Clone, Copy, Debug)]
struct ServiceTimes {
    began: Instant,
    current: SlowestTimes,
    previous: SlowestTimes,
}

impl ServiceTimes {
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age >= PERIOD {
            self.previous = if age < PERIOD * 2 { self.current } else { SlowestTimes::default() };
            (self.began, self.current) = (now, SlowestTimes::default());
        }
    }
}

/// The times of the streams of each service.
#[derive(Debug, Default)]
pub struct StreamTimes {
    services: BTreeMap<ServiceName, ServiceTimes>,
}

impl StreamTimes {
    /// Records a complete stream.
    pub fn record(&mut self, now: Instant, service: &ServiceName, sample: &StreamSample) {
        let none = SlowestTimes::default();
        let times = ServiceTimes { began: now, current: none, previous: none };
        let times = self.services.entry(service.clone()).or_insert(times);
        times.advance(now);
        times.current.add(sample);
    }

    /// Returns the slowest times of the last 30 to 60 s, or `None` if no stream has been long enough to
    /// tell.
    pub fn slowest(&self, now: Instant, service: &ServiceName) -> Option<SlowestTimes> {
        let mut times = *self.services.get(service)?;
        times.advance(now);
        let slowest = times.current.join(times.previous);
        (!slowest.token.is_zero()).then_some(slowest)
    }
}
