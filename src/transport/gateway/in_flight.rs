//! The requests of callers that are being served, and how far each of them has come.
//!
//! A stream that has begun can only end early by being cut off. The log then has to tell whether its
//! upstream was silent, its caller did not read, or the host ended first. See docs/OPERATIONS.md, "Logs".

use crate::prelude::*;
use crate::transport::node::lock;
use metrics::gauge;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// How far a request has come.
#[derive(Clone, Debug, Default)]
struct ProgressState {
    /// When its upstream last sent an event.
    last_event: Option<Instant>,
    /// The number of events that its upstream has sent.
    received: u32,
    request_id: String,
    /// The number of events that the caller's connection has taken.
    sent: u32,
    /// Whether its upstream has sent the whole response.
    upstream_done: bool,
}

/// The progress of one request, which its tasks share.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress(Arc<Mutex<ProgressState>>);

/// Where a request stood at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressReport {
    /// The caller's id of the request.
    pub request_id: String,
    /// The number of events that its upstream had sent.
    pub received: u32,
    /// The number of events that the caller's connection had taken.
    pub sent: u32,
    /// For how long its upstream had sent no event; `None` if it never sent one.
    pub silence: Option<Duration>,
    /// Whether its upstream had sent the whole response.
    pub upstream_done: bool,
}

impl ProgressReport {
    /// Returns the milliseconds of silence for the log, or -1 without an event.
    pub fn silent_ms(&self) -> i64 {
        self.silence.map_or(-1, |silence| silence.as_millis() as i64)
    }
}

impl RequestProgress {
    /// Records the caller's id of the request.
    pub fn record_id(&self, request_id: &str) {
        lock(&self.0).request_id = request_id.to_owned();
    }

    /// Records that the upstream has sent an event.
    pub fn record_event(&self, now: Instant) {
        let mut state = lock(&self.0);
        state.last_event = Some(now);
        state.received += 1;
    }

    /// Records that the upstream has sent the whole response.
    pub fn record_upstream_end(&self) {
        lock(&self.0).upstream_done = true;
    }

    /// Records that the caller's connection has taken an event.
    pub fn record_sent(&self) {
        lock(&self.0).sent += 1;
    }

    /// Returns whether the caller has been sent a part of a stream.
    pub fn has_begun(&self) -> bool {
        lock(&self.0).sent > 0
    }

    /// Returns where the request stands.
    pub fn report(&self, now: Instant) -> ProgressReport {
        let state = lock(&self.0);
        ProgressReport {
            request_id: state.request_id.clone(),
            received: state.received,
            sent: state.sent,
            silence: state.last_event.map(|last| now.saturating_duration_since(last)),
            upstream_done: state.upstream_done,
        }
    }
}

/// The requests whose responses are not complete.
#[derive(Debug, Default)]
pub struct InFlightTable(Mutex<TableState>);

#[derive(Debug, Default)]
struct TableState {
    last_key: u64,
    requests: BTreeMap<u64, RequestProgress>,
}

impl InFlightTable {
    /// Counts a request as in flight until the guard is dropped.
    pub fn track(self: &Arc<Self>) -> InFlightGuard {
        let mut state = lock(&self.0);
        state.last_key += 1;
        let (key, progress) = (state.last_key, RequestProgress::default());
        state.requests.insert(key, progress.clone());
        InFlightGuard { key, progress, table: self.clone() }
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        lock(&self.0).requests.len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns where the requests in flight stand, in the order in which they came.
    pub fn reports(&self, now: Instant) -> Vec<ProgressReport> {
        lock(&self.0).requests.values().map(|progress| progress.report(now)).collect()
    }
}

/// Keeps a request in the table of those in flight.
#[derive(Debug)]
pub struct InFlightGuard {
    key: u64,
    progress: RequestProgress,
    table: Arc<InFlightTable>,
}

impl InFlightGuard {
    /// Returns the progress of the request.
    pub fn progress(&self) -> &RequestProgress {
        &self.progress
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.table.0);
        state.requests.remove(&self.key);
        gauge!("apricotrun_requests_in_flight").set(state.requests.len() as f64);
    }
}
