//! The clock that every timed component receives, so that tests can advance the time themselves.

use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// The time since the machine started, with the time that it was suspended. It never goes back and is
/// comparable only on one machine.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Returns the time that has passed since `earlier`; zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// A source of time; decisions never read the system clock directly.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;
    /// Returns the time since the machine started. Unlike [`Clock::now`], it goes on while the machine
    /// is suspended.
    fn boot(&self) -> BootTime;
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

    fn boot(&self) -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        BootTime(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
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
    suspended: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
            suspended: Mutex::new(Duration::ZERO),
        }
    }
}

impl ManualClock {
    /// Moves both times forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    /// Suspends the machine for a while: only the time since it started moves forward.
    pub fn suspend(&self, duration: Duration) {
        *self.suspended.lock().unwrap_or_else(PoisonError::into_inner) += duration;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.started + self.elapsed()
    }

    fn boot(&self) -> BootTime {
        let suspended = *self.suspended.lock().unwrap_or_else(PoisonError::into_inner);
        BootTime(self.elapsed() + suspended)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
