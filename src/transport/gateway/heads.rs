//! Detects callers that send the head of a request too slowly.
//!
//! Hyper has a single timeout for idle connections and for connections on which a head has begun.
//! Idle connections may stay open for many seconds between requests; a head must be complete
//! sooner.

use crate::prelude::*;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tokio::sync::watch;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadState {
    /// The first byte of the next request.
    Idle,
    /// The rest of a head whose first byte arrived at this time.
    ReadingHead(Instant),
    /// The response to the last request.
    Responding,
}

/// Measures how long the current request head on one connection has been incomplete.
#[derive(Clone, Debug)]
pub struct HeadTimer {
    clock: Arc<dyn Clock>,
    has_head: Arc<AtomicBool>,
    state: watch::Sender<HeadState>,
}

impl HeadTimer {
    /// Returns the timer of a connection on which nothing has been received.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let has_head = Arc::new(AtomicBool::new(false));
        Self { clock, has_head, state: watch::Sender::new(HeadState::Idle) }
    }

    /// Records that bytes were received.
    fn record_bytes(&self) {
        let now = self.clock.now();
        self.state.send_if_modified(|state| {
            let starts = *state == HeadState::Idle;
            if starts {
                *state = HeadState::ReadingHead(now);
            }
            starts
        });
    }

    /// Records that a head is complete.
    pub fn record_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
        self.state.send_replace(HeadState::Responding);
    }

    /// Returns whether a whole head has been received on the connection.
    pub fn has_head(&self) -> bool {
        self.has_head.load(Ordering::Relaxed)
    }

    /// Records that the response to a request has begun.
    pub fn record_response_start(&self) {
        self.state.send_replace(HeadState::Idle);
    }

    /// Waits until a head has been incomplete for longer than `limit`.
    pub async fn expired(&self, limit: Duration) {
        let mut states = self.state.subscribe();
        loop {
            let state = *states.borrow_and_update();
            let HeadState::ReadingHead(since) = state else {
                // The sender is owned by this timer, so waiting cannot fail.
                if states.changed().await.is_err() {
                    return std::future::pending().await;
                }
                continue;
            };
            let remaining = (since + limit).saturating_duration_since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(remaining) => return,
                changed = states.changed() => if changed.is_err() { return },
            }
        }
    }
}

/// A connection that reports received bytes to a [`HeadTimer`].
#[derive(Debug)]
pub struct TimedStream<S> {
    inner: S,
    timer: HeadTimer,
}

impl<S> TimedStream<S> {
    /// Wraps `inner`, whose received bytes `timer` records.
    pub fn new(inner: S, timer: HeadTimer) -> Self {
        Self { inner, timer }
    }
}

impl<S: Read + Unpin> Read for TimedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.timer.record_bytes();
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for TimedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
