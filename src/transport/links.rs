//! TCP links between daemons: one outgoing connection to each daemon that was recently sent to.

use crate::coordination::messages::PeerMessage;
use crate::prelude::*;
use crate::protocol::codec::{CHALLENGE_BYTES, FrameContext, MAX_FRAME_BYTES, PeerFrame};
use crate::transport::node::{DaemonNode, lock};
use metrics::counter;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::time::timeout;

/// The number of messages that may be queued for one daemon.
const LINK_QUEUE: usize = 8192;
/// Timeout for connecting, and for the challenge that the peer sends next.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a link without messages is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The delay after a connect or an accept that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);
/// The number of failed connects in a row after which the queued messages are dropped.
const CONNECT_TRIES: u32 = 5;

/// The outgoing links by peer address. Messages on one link arrive in order or not at all; the
/// state machines repeat those that must arrive.
#[derive(Default)]
pub struct PeerLinks {
    links: Mutex<BTreeMap<SocketAddr, Sender<PeerFrame>>>,
}

impl PeerLinks {
    /// Queues a message; it is dropped when the queue is full.
    pub fn send(
        &self,
        node: &Arc<DaemonNode>,
        peer: SocketAddr,
        to: &DaemonId,
        message: PeerMessage,
    ) {
        let frame = PeerFrame { from: node.me.clone(), message, to: to.host.clone() };
        let mut links = lock(&self.links);
        let link = links.get(&peer).filter(|link| !link.is_closed());
        let link = match link {
            Some(link) => link.clone(),
            None => {
                let (sender, receiver) = mpsc::channel(LINK_QUEUE);
                links.insert(peer, sender.clone());
                tokio::spawn(run_link(node.clone(), peer, receiver));
                sender
            }
        };
        if link.try_send(frame).is_err() {
            counter!("apricotrun_peer_messages_dropped_total", "why" => "queue").increment(1);
        }
    }
}

/// Serves a link until it is idle or the peer cannot be reached. A broken connection is opened
/// again at once for the messages still queued, since the peer may just have been replaced.
async fn run_link(node: Arc<DaemonNode>, peer: SocketAddr, mut queue: Receiver<PeerFrame>) {
    let mut failures = 0;
    while failures < CONNECT_TRIES {
        let Ok(mut link) = open_link(peer).await else {
            failures += 1;
            tokio::time::sleep(FAILURE_BACKOFF).await;
            continue;
        };
        failures = 0;
        match write_link(&node, &mut link, &mut queue).await {
            Ok(()) => return,
            Err(error) => log::debug!("member: lost the connection to {peer}: {error}"),
        }
    }
    counter!("apricotrun_peer_links_failed_total").increment(1);
}

struct OpenLink {
    context: FrameContext,
    peer: SocketAddr,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
}

async fn open_link(peer: SocketAddr) -> io::Result<OpenLink> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await??;
    stream.set_nodelay(true)?;
    let mut challenge = [0; CHALLENGE_BYTES];
    timeout(CONNECT_TIMEOUT, stream.read_exact(&mut challenge)).await??;
    let (reader, writer) = stream.into_split();
    Ok(OpenLink { context: FrameContext::new(challenge), peer, reader, writer })
}

async fn write_link(
    node: &Arc<DaemonNode>,
    link: &mut OpenLink,
    queue: &mut Receiver<PeerFrame>,
) -> io::Result<()> {
    let mut unused = [0; 1];
    loop {
        // The peer sends nothing after its challenge, so a read that completes means that it has
        // closed the connection. Frames written after that would be lost.
        let frame = tokio::select! {
            biased;
            _ = link.reader.read(&mut unused) => {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            frame = timeout(IDLE_TIMEOUT, queue.recv()) => frame,
        };
        let Ok(Some(frame)) = frame else { return Ok(()) };
        if !lock(&node.blocked_peers).contains(&link.peer) {
            write_frame(node, link, &frame).await?;
        }
    }
}

async fn write_frame(
    node: &Arc<DaemonNode>,
    link: &mut OpenLink,
    frame: &PeerFrame,
) -> io::Result<()> {
    let keys = lock(&node.peer_keys).clone();
    let bytes = match link.context.encode(keys.current(), frame) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("member: dropped a message to {}: {error}", frame.to);
            count_dropped("size");
            return Err(io::Error::other(error));
        }
    };
    let mut packet = (bytes.len() as u32).to_le_bytes().to_vec();
    packet.extend(bytes);
    counter!("apricotrun_peer_bytes_sent_total", "kind" => traffic_kind(&frame.message))
        .increment(packet.len() as u64);
    timeout(WRITE_TIMEOUT, link.writer.write_all(&packet)).await??;
    Ok(())
}

/// Returns the metric label of a message: `request` for messages about a caller's request,
/// `control` for all others.
fn traffic_kind(message: &PeerMessage) -> &'static str {
    use crate::coordination::messages::ShardMessage::{ClaimList, Pull, Summary};
    match message {
        PeerMessage::Shard { message: ClaimList(_) | Pull | Summary { .. }, .. } => "control",
        PeerMessage::Shard { .. } => "request",
        _ => "control",
    }
}

/// Accepts connections from other daemons until the task is dropped.
pub async fn serve_links(node: Arc<DaemonNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(serve_link(node.clone(), stream, from));
            }
            Err(error) => {
                log::warn!("member: cannot accept a connection: {error}");
                tokio::time::sleep(FAILURE_BACKOFF).await;
            }
        }
    }
}

async fn serve_link(node: Arc<DaemonNode>, stream: TcpStream, from: SocketAddr) {
    if let Err(error) = read_link(&node, stream).await
        && error.kind() != io::ErrorKind::UnexpectedEof
    {
        log::debug!("member: connection from {from} ended: {error}");
    }
}

async fn read_link(node: &Arc<DaemonNode>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let challenge: [u8; CHALLENGE_BYTES] = rand::random();
    stream.write_all(&challenge).await?;
    let mut context = FrameContext::new(challenge);
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            count_dropped("size");
            return Err(io::Error::other("the frame is too large"));
        }
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes).await?;
        let keys = lock(&node.peer_keys).clone();
        let frame = context.decode(keys.accepted(), &bytes).map_err(|error| {
            count_dropped("codec");
            io::Error::other(error)
        })?;
        counter!("apricotrun_peer_bytes_received_total", "kind" => traffic_kind(&frame.message))
            .increment(length as u64 + 4);
        if frame.to != node.settings.host {
            count_dropped("receiver");
            continue;
        }
        if !is_blocked(node, &frame.from) {
            node.handle_message(frame.from, frame.message);
        }
    }
}

fn is_blocked(node: &DaemonNode, from: &DaemonId) -> bool {
    let address = {
        let members = lock(&node.members);
        let record = members.others().find(|record| record.daemon.host == from.host);
        record.map(|record| record.peer)
    };
    address.is_some_and(|address| lock(&node.blocked_peers).contains(&address))
}

fn count_dropped(why: &'static str) {
    counter!("apricotrun_peer_messages_dropped_total", "why" => why).increment(1);
}
