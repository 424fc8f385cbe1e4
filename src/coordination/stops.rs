//! What a host that stops may still take, and by when it has to answer.

use crate::prelude::*;
use std::fmt;
use std::sync::Arc;

/// The process exits by itself this long before the platform would kill it.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How long before the exit the requests are answered that have to be given up, so that the answers
/// are written and read.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// How long before the exit a request is answered whose part that decides it has not done so.
const LAST_MARGIN: Duration = Duration::from_millis(120);
/// Slow responses take up to one and a half times what is expected of an upstream.
pub const SLOWNESS: f64 = 1.5;
/// The longest time that a latency target counts for. A target may be as long as the time limit of its
/// route, and calls that would be served must not be refused while the load balancer still sends them.
const MAX_TARGET: Duration = Duration::from_secs(3);
/// The time after which the caller of a refused request may come back: it then reaches another host.
pub const STOP_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    answers_due: Instant,
    began: Instant,
    exit: Instant,
    last_answers: Instant,
}

impl StopPlan {
    /// Returns the plan of a stop that began at `now` and that the platform ends after `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let left = grace.saturating_sub(KILL_MARGIN);
        let before_exit = |margin| now + left.saturating_sub(margin);
        Self {
            answers_due: before_exit(ANSWER_MARGIN),
            began: now,
            exit: now + left,
            last_answers: before_exit(LAST_MARGIN),
        }
    }

    /// Returns when requests are answered of whose response the caller has nothing.
    pub fn answers_due(&self) -> Instant {
        self.answers_due
    }

    /// Returns when the stop began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Returns when the process exits, whatever is in flight.
    pub fn exit(&self) -> Instant {
        self.exit
    }

    /// Returns when every request that is not answered is told that it may have run.
    pub fn last_answers(&self) -> Instant {
        self.last_answers
    }

    /// Returns by when work that is expected to take this long must start to end in time, or `None` if
    /// it takes longer than the machine has been up.
    pub fn latest_start(&self, work: Duration) -> Option<Instant> {
        self.answers_due.checked_sub(work)
    }

    /// Returns whether work that is expected to take this long ends in time if it starts now.
    pub fn admits(&self, now: Instant, work: Duration) -> bool {
        self.latest_start(work).is_some_and(|latest| now < latest)
    }
}

/// Returns how long a slow request takes: somewhat longer than its route allows until the response begins,
/// and than the upstream is expected to take to write the tokens of a stream.
pub fn expected_work(latency_target: Duration, output: Tokens, token_time: Duration) -> Duration {
    (latency_target.min(MAX_TARGET) + token_time.saturating_mul(output.0)).mul_f64(SLOWNESS)
}

/// Tells how long upstreams take to write the rest of a response once it has begun.
pub trait WritingForecast: fmt::Debug + Send + Sync {
    /// Returns the longest time that `runner` is expected to take, or that most upstreams are if it is
    /// not known yet which one runs the request.
    fn writing_time(&self, now: Instant, runner: Option<&UpstreamName>) -> Duration;
}

/// A [`WritingForecast`] that is the same for all upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FixedWriting(pub Duration);

impl WritingForecast for FixedWriting {
    fn writing_time(&self, _now: Instant, _runner: Option<&UpstreamName>) -> Duration {
        self.0
    }
}

/// What a request is expected to take, by which a host that stops decides whether to run it.
#[derive(Clone, Debug)]
pub struct WorkForecast {
    /// The time from its admission until its response begins, or is complete if it is no stream.
    pub start: Duration,
    /// The time from then on.
    pub writing: Arc<dyn WritingForecast>,
}

impl Default for WorkForecast {
    fn default() -> Self {
        Self::fixed(Duration::ZERO, Duration::ZERO)
    }
}

impl WorkForecast {
    /// Returns a forecast that is the same for all upstreams.
    pub fn fixed(start: Duration, writing: Duration) -> Self {
        Self { start, writing: Arc::new(FixedWriting(writing)) }
    }

    /// Returns how long the whole request takes.
    pub fn whole(&self, now: Instant, runner: Option<&UpstreamName>) -> Duration {
        self.start.saturating_add(self.writing.writing_time(now, runner))
    }
}
