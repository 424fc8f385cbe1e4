//! How long the requests of each service have lately taken at this host.
//!
//! A host that stops decides by it which requests still end in time. Latency targets and data sheets are
//! met by an idle upstream; under load a response takes several times as long. The upstreams of a service
//! differ in speed, so what a stream takes is kept for each of them. See docs/DESIGN.md, "Planned stop".

use crate::prelude::*;
use std::collections::BTreeMap;

/// The time after which the slowest response of a period is forgotten, twice.
const PERIOD: Duration = Duration::from_secs(30);
/// Shorter streams say little about the time of a token.
const MIN_PACED_EVENTS: u32 = 8;

/// The times of one complete response, whose caller read it as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseSample {
    /// The number of its events; 0 unless it is a stream.
    pub events: u32,
    /// The time from the acceptance of its request to its first event, or to its end.
    pub start: Duration,
    /// The number of its tokens, at most as many as its request allowed: an upstream that writes more
    /// takes so much longer for each that was allowed.
    pub tokens: Tokens,
    /// The upstream that wrote all of it; `None` if there were several.
    pub upstream: Option<UpstreamName>,
    /// The time from its first event to its last.
    pub writing: Duration,
}

impl ResponseSample {
    /// Returns the mean time of a token; `None` if the stream is too short to tell.
    fn token_time(&self) -> Option<Duration> {
        (self.events >= MIN_PACED_EVENTS).then(|| self.writing / self.tokens.0.max(1))
    }
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
        self.token = self.token.max(sample.token_time());
    }

    fn join(self, other: Self) -> Self {
        Self { start: self.start.max(other.start), token: self.token.max(other.token) }
    }
}

/// The slowest responses of one period.
#[derive(Clone, Debug, Default)]
struct PeriodTimes {
    /// Of all upstreams.
    slowest: SlowestTimes,
    /// The slowest time of a token at each upstream.
    tokens: BTreeMap<UpstreamName, Duration>,
}

impl PeriodTimes {
    fn add(&mut self, sample: &ResponseSample) {
        self.slowest.add(sample);
        if let (Some(upstream), Some(time)) = (&sample.upstream, sample.token_time()) {
            let slowest = self.tokens.entry(upstream.clone()).or_default();
            *slowest = time.max(*slowest);
        }
    }
}

/// The slowest responses of the current period and the one before it.
#[derive(Clone, Debug)]
struct ServiceTimes {
    began: Instant,
    current: PeriodTimes,
    previous: PeriodTimes,
}

impl ServiceTimes {
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age >= PERIOD {
            let ended = std::mem::take(&mut self.current);
            self.previous = if age < PERIOD * 2 { ended } else { PeriodTimes::default() };
            self.began = now;
        }
    }

    /// Returns the periods that are not over for too long.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &PeriodTimes> {
        let age = now.saturating_duration_since(self.began);
        let current = (age < PERIOD * 2).then_some(&self.current);
        current.into_iter().chain((age < PERIOD).then_some(&self.previous))
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
        let (current, previous) = (PeriodTimes::default(), PeriodTimes::default());
        let times = ServiceTimes { began: now, current, previous };
        let times = self.services.entry(service.clone()).or_insert(times);
        times.advance(now);
        times.current.add(sample);
    }

    /// Forgets what an upstream has taken, as another process has its name.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        for times in self.services.values_mut() {
            times.current.tokens.remove(upstream);
            times.previous.tokens.remove(upstream);
        }
    }

    /// Returns the slowest times of the last 30 to 60 s, or `None` if there was no response.
    pub fn slowest(&self, now: Instant, service: &ServiceName) -> Option<SlowestTimes> {
        let recent = self.services.get(service)?.recent(now);
        let slowest = recent.map(|period| period.slowest);
        let slowest = slowest.reduce(SlowestTimes::join)?;
        (slowest != SlowestTimes::default()).then_some(slowest)
    }

    /// Returns the slowest time of a token at one upstream in the last 30 to 60 s, or `None` if it has
    /// written no stream.
    pub fn slowest_token_at(
        &self,
        now: Instant,
        service: &ServiceName,
        upstream: &UpstreamName,
    ) -> Option<Duration> {
        let recent = self.services.get(service)?.recent(now);
        recent.filter_map(|period| period.tokens.get(upstream).copied()).max()
    }
}
