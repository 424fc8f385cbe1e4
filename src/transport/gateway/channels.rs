//! Connections to upstreams: kept while idle, counted, and closed with whatever still runs on them.

use crate::coordination::flow::UpstreamFailure;
use crate::prelude::*;
use crate::transport::node::lock;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use metrics::counter;
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// How long connecting may take; an upstream in another failure domain answers within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before a connection counts as dead.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a connection is silent before the system probes whether the other end lives.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(2);
/// How long an idle connection is kept if the upstream does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// How much earlier than the upstream an idle connection is closed here.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How many kept connections are tried before a new one is opened.
const MAX_REUSE_ATTEMPTS: usize = 4;
/// The part of an upstream's connections that all hosts together use; the rest is for hosts that
/// this one does not know of yet.
const USABLE_FRACTION: f64 = 0.8;

/// A connection is kept for one life of one upstream.
type ConnectionKey = (SocketAddr, UpstreamName);

#[derive(Debug)]
struct IdleConnection {
    channel: PooledConnection,
    until: Instant,
}

/// The connections of this daemon to all upstreams.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: Arc<dyn Clock>,
    idle: Mutex<BTreeMap<ConnectionKey, Vec<IdleConnection>>>,
    open: Arc<Mutex<BTreeMap<SocketAddr, usize>>>,
}

/// An open connection. Dropping it closes it, which makes the upstream drop what runs on it.
#[derive(Debug)]
pub struct PooledConnection {
    count: ConnectionPermit,
    key: ConnectionKey,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts one open connection for as long as it lives.
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

/// An answer's head and body, with the connection that carries it.
#[derive(Debug)]
pub struct UpstreamExchange {
    /// The connection.
    pub channel: PooledConnection,
    /// Head and body.
    pub response: Response<Incoming>,
}

impl ConnectionPool {
    /// Returns a pool without connections.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let open = Arc::new(Mutex::new(BTreeMap::new()));
        Self { clock, idle: Mutex::new(BTreeMap::new()), open }
    }

    /// Sends a request to an upstream and returns the head of its answer. `most` bounds the open
    /// connections to it.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamFailure::NothingSent`] only when no byte of the request has left.
    pub async fn send(
        &self,
        key: &ConnectionKey,
        most: usize,
        mut request: Request<Full<Bytes>>,
    ) -> Result<UpstreamExchange, UpstreamFailure> {
        for _ in 0..MAX_REUSE_ATTEMPTS {
            let Some(mut channel) = self.take_idle(key) else { break };
            match channel.sender.try_send_request(request).await {
                Ok(response) => return Ok(UpstreamExchange { channel, response }),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(UpstreamFailure::Broken),
                },
            }
        }
        let mut channel = self.open(key, most).await?;
        match channel.sender.try_send_request(request).await {
            Ok(response) => Ok(UpstreamExchange { channel, response }),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(UpstreamFailure::NothingSent),
                None => Err(UpstreamFailure::Broken),
            },
        }
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn give_back(&self, channel: PooledConnection, keep_alive: Option<Duration>) {
        let keep = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.saturating_sub(IDLE_MARGIN));
        if channel.sender.is_closed() || keep.is_zero() {
            return;
        }
        let until = self.clock.now() + keep;
        let mut idle = lock(&self.idle);
        idle.entry(channel.key.clone()).or_default().push(IdleConnection { channel, until });
    }

    /// Closes what has been idle for too long, and what leads to upstreams that are gone.
    pub fn prune(&self, is_known: impl Fn(&UpstreamName) -> bool) {
        let now = self.clock.now();
        lock(&self.idle).retain(|(_, name), channels| {
            channels.retain(|idle| now < idle.until && !idle.channel.sender.is_closed());
            !channels.is_empty() && is_known(name)
        });
    }

    /// Returns how many connections one daemon may have to an upstream that takes `limit` in all.
    pub fn per_host_limit(limit: u32, hosts: usize) -> usize {
        let share = f64::from(limit) * USABLE_FRACTION / hosts.max(1) as f64;
        (share as usize).max(1)
    }

    fn take_idle(&self, key: &ConnectionKey) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let channels = idle.get_mut(key)?;
        // The one used last is the least likely to be closed by the upstream.
        while let Some(candidate) = channels.pop() {
            let usable = now < candidate.until && candidate.channel.sender.is_ready();
            if usable {
                return Some(candidate.channel);
            }
        }
        None
    }

    async fn open(
        &self,
        key: &ConnectionKey,
        most: usize,
    ) -> Result<PooledConnection, UpstreamFailure> {
        let count = self.count(key.0, most).ok_or(UpstreamFailure::NothingSent)?;
        counter!("apricotrun_upstream_connections_total").increment(1);
        let stream = match timeout(CONNECT_TIMEOUT, connect(key.0)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("channel: connecting to {} at {} failed: {error}", key.1, key.0);
                return Err(UpstreamFailure::NothingSent);
            }
            Err(_) => {
                log::debug!("channel: {} at {} takes no connection", key.1, key.0);
                return Err(UpstreamFailure::NothingSent);
            }
        };
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| UpstreamFailure::NothingSent)?;
        let name = key.1.clone();
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("channel: a connection to {name} ended: {error}");
            }
        });
        Ok(PooledConnection { count, key: key.clone(), sender, task: task.abort_handle() })
    }

    fn count(&self, address: SocketAddr, most: usize) -> Option<ConnectionPermit> {
        let mut open = lock(&self.open);
        let count = open.entry(address).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(ConnectionPermit { address, open: self.open.clone() })
    }
}

impl PooledConnection {
    /// Returns the address of the other end.
    pub fn address(&self) -> SocketAddr {
        self.count.address
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
    Ok(stream)
}
