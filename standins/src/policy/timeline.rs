//! The order of things that happen at given times.

use std::collections::BTreeMap;

/// Events by time, those of one time in the order in which they were added.
#[derive(Debug)]
pub struct Timeline<E> {
    events: BTreeMap<(u64, u64), E>,
    sequence: u64,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), sequence: 0 }
    }
}

/// The steps of a second.
const STEPS: f64 = 1e6;

impl<E> Timeline<E> {
    /// Adds an event at a time in seconds.
    pub fn add(&mut self, at: f64, event: E) {
        self.sequence += 1;
        self.events.insert(((at * STEPS).ceil() as u64, self.sequence), event);
    }

    /// Takes the next event and its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at as f64 / STEPS, event))
    }
}
