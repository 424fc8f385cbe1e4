//! The clock that every timed component receives, so that tests can advance the time themselves.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of time; decisions never read the system clock directly.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;
    /// Returns the calendar time, for timestamps that other processes read.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that moves only when it is advanced.
#[derive(Debug)]
pub struct ManualClock {
    started: Instant,
    elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self { started: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }
}

impl ManualClock {
    /// Moves both times forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.started + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
