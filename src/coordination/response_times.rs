//! How long the requests of each service have lately taken at this host.
//!
//! A host that stops decides by it which requests still end in time. Latency targets and data sheets are
//! met by an idle upstream; under load a response takes several times as long. See docs/DESIGN.md,
//! "Planned stop".

use crate::prelude::*;
use std::collections::BTreeMap;

/// The time after which the slowest response of a period is forgotten, twice.
const PERIOD: Duration = Duration::from_secs(30);
/// Shorter streams say little about the time of a token.
const MIN_PACED_EVENTS: u32 = 8;

/// The times of one complete response, whose caller read it as it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseSample {
    /// The number of its events; 0 unless it is a stream.
    pub events: u32,
    /// The time from the acceptance of its request to its first event, or to its end.
    pub start: Duration,
    /// The number of its tokens, at most as many as its request allowed: an upstream that writes more
    /// takes so much longer for each that was allowed.
    pub tokens: Tokens,
    /// The time from its first event to its last.
    pub writing: Duration,
}

/// The slowest of several responses, part by part.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlowestTimes {
    /// The time from the acceptance of a request to its first event, or to the end of the response.
    pub start: Duration,
    /// The time of a token; `None` if no stream has been long enough to tell.
    pub token: Option<Duration>,
}

impl SlowestTimes {
    fn add(&mut self, sample: &ResponseSample) {
        if sample.events < MIN_PACED_EVENTS {
            self.start = self.start.max(sample.start + sample.writing);
            return;
        }
        self.start = self.start.max(sample.start);
        self.token = self.token.max(Some(sample.writing / sample.tokens.0.max(1)));
    }

    fn join(self, other: Self) -> Self {
        Self { start: self.start.max(other.start), token: self.token.max(other.token) }
    }
}

/// The slowest responses of the current period and the one before it.
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

/// The times of the responses of each service.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    services: BTreeMap<ServiceName, ServiceTimes>,
}

impl ResponseTimes {
    /// Records a complete response.
    pub fn record(&mut self, now: Instant, service: &ServiceName, sample: &ResponseSample) {
        let none = SlowestTimes::default();
        let times = ServiceTimes { began: now, current: none, previous: none };
        let times = self.services.entry(service.clone()).or_insert(times);
        times.advance(now);
        times.current.add(sample);
    }

    /// Returns the slowest times of the last 30 to 60 s, or `None` if there was no response.
    pub fn slowest(&self, now: Instant, service: &ServiceName) -> Option<SlowestTimes> {
        let mut times = *self.services.get(service)?;
        times.advance(now);
        let slowest = times.current.join(times.previous);
        (slowest != SlowestTimes::default()).then_some(slowest)
    }
}
