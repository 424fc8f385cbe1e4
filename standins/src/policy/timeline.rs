//! The event queue of the discrete-event simulations.

use std::collections::BTreeMap;

/// Events in order of time; events of the same time keep the order in which they were added.
#[derive(Debug)]
pub struct Timeline<E> {
    /// The events by time in ticks and insertion number.
    events: BTreeMap<(u64, u64), E>,
    sequence: u64,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), sequence: 0 }
    }
}

/// The resolution of the simulated time.
const TICKS_PER_SECOND: f64 = 1e6;

impl<E> Timeline<E> {
    /// Adds an event at a time in seconds, which is rounded up to whole ticks.
    pub fn add(&mut self, at: f64, event: E) {
        self.sequence += 1;
        self.events.insert(((at * TICKS_PER_SECOND).ceil() as u64, self.sequence), event);
    }

    /// Removes the next event and returns it with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at as f64 / TICKS_PER_SECOND, event))
    }
}
