//! Bounds what a host holds of a stream that its upstream sends faster than its caller reads. See
//! docs/design/backpressure.md.

use crate::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Semaphore;

/// The interval at which a request is told that its caller is behind.
const BEHIND_PERIOD: Duration = Duration::from_millis(400);
/// The least that an event counts as, in bytes. The memory of a queued event exceeds its text by some
/// hundred bytes, so that events without content must count too.
const MIN_EVENT_BYTES: usize = 64;
/// The window of a stream unless the settings name another one, in bytes: a few hundred slow callers
/// fit into a host of 88 MB.
pub const DEFAULT_WINDOW_BYTES: usize = 64 * 1024;

/// The bytes of one stream that have been read from its upstream and not yet been handed to the
/// caller's connection.
#[derive(Debug)]
pub struct StreamWindow {
    free: Semaphore,
    longest_wait_ms: AtomicU64,
    size: usize,
}

impl StreamWindow {
    /// Returns an empty window of this many bytes.
    pub fn new(size: usize) -> Self {
        Self { free: Semaphore::new(size), longest_wait_ms: AtomicU64::new(0), size }
    }

    /// Takes the place of one event, and waits until the caller has read enough. `on_wait` is called
    /// now and then meanwhile. An event larger than the window takes all of it.
    pub async fn acquire(&self, clock: &dyn Clock, bytes: usize, on_wait: impl Fn()) {
        let units = self.cost(bytes) as u32;
        let started = clock.now();
        let mut acquired = std::pin::pin!(self.free.acquire_many(units));
        loop {
            match tokio::time::timeout(BEHIND_PERIOD, acquired.as_mut()).await {
                Ok(permit) => {
                    permit.into_iter().for_each(|permit| permit.forget());
                    return;
                }
                Err(_) => {
                    let waited = clock.now().saturating_duration_since(started);
                    self.longest_wait_ms.fetch_max(waited.as_millis() as u64, Ordering::Relaxed);
                    on_wait();
                }
            }
        }
    }

    /// Gives back the place of an event that the caller's connection has taken.
    pub fn release(&self, bytes: usize) {
        let used = self.size.saturating_sub(self.free.available_permits());
        self.free.add_permits(self.cost(bytes).min(used));
    }

    /// Returns what an event with a text of this many bytes takes of the window.
    fn cost(&self, bytes: usize) -> usize {
        bytes.max(MIN_EVENT_BYTES).min(self.size)
    }

    /// Returns the longest time for which the upstream had to wait for the caller.
    pub fn longest_wait(&self) -> Duration {
        Duration::from_millis(self.longest_wait_ms.load(Ordering::Relaxed))
    }

    /// Empties the window for a further attempt, whose predecessor's last events may have been
    /// dropped.
    pub fn reset(&self) {
        self.release(self.size);
        self.longest_wait_ms.store(0, Ordering::Relaxed);
    }
}
