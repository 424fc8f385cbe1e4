//! Makes the end of a body visible to callers that speak HTTP/1.0.
//!
//! Such a caller knows no chunks, so a body without a length ends with its connection. Until it is
//! complete, the socket is set to be reset when it is closed, whatever closes it; also the end of this
//! process.

use crate::prelude::*;
use hyper::body::Body;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// Tells a caller's connection that the end of its next body is the end of the connection.
#[derive(Clone, Debug, Default)]
pub struct EndMarker(Arc<AtomicBool>);

impl EndMarker {
    /// Records the version of a request and the body of its response, before any of it is written.
    pub fn record_response(&self, version: http::Version, body: &impl Body) {
        let ends_with_connection =
            version == http::Version::HTTP_10 && body.size_hint().exact().is_none();
        self.0.store(ends_with_connection, Ordering::Relaxed);
    }
}

/// A caller's connection, which is reset if it is closed before the end of a marked body.
#[derive(Debug)]
pub struct CallerStream {
    inner: TokioIo<TcpStream>,
    marker: EndMarker,
    /// Whether the socket is set to be reset when it is closed.
    resets: bool,
}

impl CallerStream {
    /// Wraps a connection whose bodies `marker` describes.
    pub fn new(stream: TcpStream, marker: EndMarker) -> Self {
        Self { inner: TokioIo::new(stream), marker, resets: false }
    }

    fn set_reset(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(self.inner.inner()).set_linger(linger)?;
            self.resets = resets;
        }
        Ok(())
    }

    fn follow_marker(&mut self) -> io::Result<()> {
        let resets = self.marker.0.load(Ordering::Relaxed);
        self.set_reset(resets)
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.follow_marker()?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    // Hyper shuts a connection down only after a complete body.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_reset(false)?;
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
        self.follow_marker()?;
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
