//! How long upstreams take to write a stream, for a host that stops.

use crate::coordination::response_times::ResponseTimes;
use crate::coordination::stops::{SLOWNESS, WritingForecast};
use crate::prelude::*;
use crate::transport::node::lock;
use std::sync::{Arc, Mutex};

/// How long the tokens of one stream take, by the streams that this host has lately relayed. An upstream
/// of which it has relayed none may be as slow as the route allows. See docs/DESIGN.md, "Planned stop".
#[derive(Debug)]
pub struct StreamPace {
    /// The longest time that the route allows for all tokens.
    pub longest: Duration,
    /// The service that runs the stream.
    pub service: ServiceName,
    /// What this host has measured.
    pub times: Arc<Mutex<ResponseTimes>>,
    /// The largest number of tokens of the stream.
    pub tokens: Tokens,
}

impl WritingForecast for StreamPace {
    fn writing_time(&self, now: Instant, runner: Option<&UpstreamName>) -> Duration {
        let times = lock(&self.times);
        let slowest = times.slowest(now, &self.service).and_then(|slowest| slowest.token);
        let measured = match runner {
            Some(runner) => {
                let own = times.slowest_token_at(now, &self.service, runner);
                // It may since have got as many requests as the slowest had.
                own.map(|own| own.mul_f64(SLOWNESS).max(slowest.unwrap_or_default()))
            }
            None => slowest,
        };
        measured.map_or(self.longest, |token_time| token_time.saturating_mul(self.tokens.0))
    }
}
