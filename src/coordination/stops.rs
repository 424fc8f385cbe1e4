//! What a host that stops may still take, and by when it has to answer.

use crate::coordination::response_times::SlowestTimes;
use crate::prelude::*;

/// The process exits by itself this long before the platform would kill it.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How long before the exit the requests are answered that have to be given up, so that the answers
/// are written and read.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// How long before the exit a request is answered whose part that decides it has not done so.
const LAST_MARGIN: Duration = Duration::from_millis(120);
/// Slow responses take up to one and a half times what is expected of an upstream.
const SLOWNESS: f64 = 1.5;
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

/// Like [`expected_work`], by the slowest responses of late, which need no margin.
pub fn measured_work(latency_target: Duration, output: Tokens, slowest: &SlowestTimes) -> Duration {
    let start = expected_work(latency_target, Tokens(0), Duration::ZERO).max(slowest.start);
    start + slowest.token.unwrap_or_default().saturating_mul(output.0)
}
