//! A pool of HTTP connections to upstreams, with a limit on the open ones per address.

use crate::coordination::flow::UpstreamFailure;
use crate::coordination::upstream_lifetimes::LifetimeReport;
use crate::prelude::*;
use crate::transport::gateway::paths::PathWatch;
use crate::transport::node::lock;
use crate::transport::runs::SendGate;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use metrics::counter;
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Timeout for connecting; an upstream in another failure domain accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the kernel closes a connection
/// (`TCP_USER_TIMEOUT`). A sound upstream may be silent for a second or more, and the kernel, which
/// doubles its pauses, sends again only after some 3 s if one at 1.4 s was lost.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How long a connection is silent before the first TCP keepalive probe, and between two probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(2);
/// How much of a request the kernel holds that the upstream has no room for (`TCP_NOTSENT_LOWAT`). With
/// more, a request would count as written long before its upstream has it.
const UNSENT_BYTES: u32 = 16 * 1024;
/// How long an idle connection is kept if the upstream sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// How long before the upstream's timeout an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The largest head of a response, in bytes; a connection with a larger one is closed.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How many idle connections are tried before a new one is opened.
const MAX_REUSE_ATTEMPTS: usize = 4;
/// The fraction of an upstream's connections that the known hosts share; the rest is for hosts that
/// this one does not know of yet.
const USABLE_FRACTION: f64 = 0.8;

/// Connections are reused only for the same upstream at the same address.
type ConnectionKey = (SocketAddr, UpstreamName);

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

/// The idle connections of this daemon to all upstreams, and the number of open ones.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: Arc<dyn Clock>,
    idle: Mutex<BTreeMap<ConnectionKey, Vec<IdleConnection>>>,
    open: Arc<Mutex<BTreeMap<SocketAddr, usize>>>,
    /// Is told which connections are established, and which fail.
    paths: Option<Arc<PathWatch>>,
}

/// An open connection. Dropping it closes the connection, upon which the upstream cancels the
/// request that runs on it.
#[derive(Debug)]
pub struct PooledConnection {
    permit: ConnectionPermit,
    key: ConnectionKey,
    /// What the process at the other end has said of its lifetime, if it was asked. A connection ends with
    /// its process, so this holds as long as it is open.
    pub lifetime: Arc<OnceLock<LifetimeReport>>,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    writes_wait: Arc<AtomicBool>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts one open connection against its address's limit until it is dropped.
#[derive(Debug)]
struct ConnectionPermit {
    address: SocketAddr,
    open: Arc<Mutex<BTreeMap<SocketAddr, usize>>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut open = lock(&self.open);
        if let Some(count) = open.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.address);
            }
        }
    }
}

/// A response whose body is still being read, and the connection that carries it.
#[derive(Debug)]
pub struct UpstreamExchange {
    /// The connection, which can be released once the body has been read.
    pub connection: PooledConnection,
    /// The response head and the stream of its body.
    pub response: Response<Incoming>,
}

impl UpstreamExchange {
    /// Returns the exchange if the head is one of an answer. HTTP has no status above 599, and no request
    /// asks for another protocol.
    fn check(
        connection: PooledConnection,
        response: Response<Incoming>,
    ) -> Result<Self, UpstreamFailure> {
        let status = response.status().as_u16();
        if (200..600).contains(&status) {
            return Ok(Self { connection, response });
        }
        counter!("apricotrun_foreign_statuses_total").increment(1);
        log::debug!(upstream:% = connection.key.1, status; "channel: the status of no answer");
        Err(UpstreamFailure::Broken)
    }
}

impl ConnectionPool {
    /// Returns a pool without connections, which reports to `paths`.
    pub fn new(clock: Arc<dyn Clock>, paths: Option<Arc<PathWatch>>) -> Self {
        let open = Arc::new(Mutex::new(BTreeMap::new()));
        Self { clock, idle: Mutex::new(BTreeMap::new()), open, paths }
    }

    /// Sends a request to an upstream, unless the gate forbids it once there is a connection, and waits for
    /// the response head. At most `limit` connections to the upstream's address are open at a time.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamFailure::NothingSent`] only if no byte of the request was sent.
    pub async fn send(
        &self,
        key: &ConnectionKey,
        limit: usize,
        mut request: Request<Full<Bytes>>,
        gate: &SendGate,
    ) -> Result<UpstreamExchange, UpstreamFailure> {
        for _ in 0..MAX_REUSE_ATTEMPTS {
            let Some(mut connection) = self.take_idle(key) else { break };
            if !gate.begin() {
                return Err(UpstreamFailure::NothingSent);
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return UpstreamExchange::check(connection, response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(UpstreamFailure::Broken),
                },
            }
        }
        Self::send_on(self.open(key, limit).await?, request, gate).await
    }

    /// Sends a request on this connection and no other, and so to the process that is known to be there.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamFailure::NothingSent`] only if no byte of the request was sent.
    pub async fn send_on(
        mut connection: PooledConnection,
        request: Request<Full<Bytes>>,
        gate: &SendGate,
    ) -> Result<UpstreamExchange, UpstreamFailure> {
        // The connection may still be ending the response before.
        if connection.sender.ready().await.is_err() || !gate.begin() {
            return Err(UpstreamFailure::NothingSent);
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => UpstreamExchange::check(connection, response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(UpstreamFailure::NothingSent),
                None => Err(UpstreamFailure::Broken),
            },
        }
    }

    /// Returns a connection to the pool after the response has been read to its end.
    pub fn release(&self, connection: PooledConnection, keep_alive: Option<Duration>) {
        let keep = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.saturating_sub(IDLE_MARGIN));
        if connection.sender.is_closed() || keep.is_zero() {
            return;
        }
        let expires_at = self.clock.now() + keep;
        let mut idle = lock(&self.idle);
        idle.entry(connection.key.clone())
            .or_default()
            .push(IdleConnection { connection, expires_at });
    }

    /// Closes connections that have been idle for too long or whose upstream is no longer known.
    pub fn prune(&self, is_known: impl Fn(&UpstreamName) -> bool) {
        let now = self.clock.now();
        lock(&self.idle).retain(|(_, name), connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_known(name)
        });
    }

    /// Returns how many connections each of `hosts` daemons may have open to an upstream that takes
    /// `limit` in total.
    pub fn per_host_limit(limit: u32, hosts: usize) -> usize {
        let share = f64::from(limit) * USABLE_FRACTION / hosts.max(1) as f64;
        (share as usize).max(1)
    }

    fn take_idle(&self, key: &ConnectionKey) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(key)?;
        // The most recently used connection is the least likely to have been closed.
        while let Some(candidate) = connections.pop() {
            let usable = now < candidate.expires_at && candidate.connection.sender.is_ready();
            if usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    async fn open(
        &self,
        key: &ConnectionKey,
        limit: usize,
    ) -> Result<PooledConnection, UpstreamFailure> {
        let permit = self.acquire_permit(key.0, limit).ok_or(UpstreamFailure::NothingSent)?;
        counter!("apricotrun_upstream_connections_total").increment(1);
        let stream = match timeout(CONNECT_TIMEOUT, connect(key.0)).await {
            Ok(Ok(stream)) => {
                self.report(|paths| paths.record_connection());
                stream
            }
            Ok(Err(error)) => {
                self.report(|paths| paths.record_failure(&key.1));
                log::debug!("channel: connecting to {} at {} failed: {error}", key.1, key.0);
                return Err(UpstreamFailure::NothingSent);
            }
            Err(_) => {
                self.report(|paths| paths.record_failure(&key.1));
                log::debug!("channel: connecting to {} at {} timed out", key.1, key.0);
                return Err(UpstreamFailure::NothingSent);
            }
        };
        let writes_wait = Arc::new(AtomicBool::new(false));
        let stream = WriteWatch { inner: TokioIo::new(stream), waits: writes_wait.clone() };
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(stream)
            .await
            .map_err(|_| UpstreamFailure::NothingSent)?;
        let name = key.1.clone();
        let paths = self.paths.clone();
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                if let Some(paths) = paths {
                    paths.record_failure(&name);
                }
                log::debug!("channel: a connection to {name} ended: {error}");
            }
        });
        let task = task.abort_handle();
        Ok(PooledConnection {
            permit,
            key: key.clone(),
            lifetime: Arc::default(),
            sender,
            task,
            writes_wait,
        })
    }

    fn report(&self, report: impl FnOnce(&PathWatch)) {
        if let Some(paths) = &self.paths {
            report(paths);
        }
    }

    fn acquire_permit(&self, address: SocketAddr, limit: usize) -> Option<ConnectionPermit> {
        let mut open = lock(&self.open);
        let count = open.entry(address).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(ConnectionPermit { address, open: self.open.clone() })
    }
}

impl PooledConnection {
    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.permit.address
    }

    /// Returns whether a part of the request has not been written yet, as the upstream does not read it,
    /// or could not be written.
    pub fn has_unwritten_request(&self) -> bool {
        self.writes_wait.load(Ordering::Relaxed)
    }
}

/// A connection that records whether its last write is waiting or has failed.
struct WriteWatch<S> {
    inner: S,
    waits: Arc<AtomicBool>,
}

impl<S> WriteWatch<S> {
    fn record<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.waits.store(!matches!(written, Poll::Ready(Ok(_))), Ordering::Relaxed);
        written
    }
}

impl<S: Read + Unpin> Read for WriteWatch<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: Write + Unpin> Write for WriteWatch<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record(written)
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
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.record(written)
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD),
    )?;
    if let Err(error) = socket.set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!("channel: the kernel holds what upstreams do not read: {error}");
    }
    Ok(stream)
}
