//! What daemons say to each other. The codec is in [`crate::protocol`]; see docs/PROTOCOL.md.

use crate::coordination::shard::RequestSample;
use crate::prelude::*;
use crate::state::fleet::{DocumentName, StoredDocument};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How far an attempt has come at its upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ClaimPhase {
    /// The prefill worker computes the prompt.
    Prefill,
    /// The KV cache moves to the decode worker.
    Transfer,
    /// The decode worker, or a plain upstream, produces the answer.
    Run,
}

/// What an attempt holds at upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotClaim {
    /// The account that it counts for.
    pub account: AccountName,
    /// The attempt, which the upstreams know as the request's id.
    pub attempt: AttemptId,
    /// The part of the engine memory that fills only as the answer grows.
    pub growth: KvBlocks,
    /// How far it has come.
    pub phase: ClaimPhase,
    /// The engine memory that it holds.
    pub pieces: KvBlocks,
    /// The prefill worker, if it needs one.
    pub prefill: Option<UpstreamName>,
    /// The decode worker or plain upstream.
    pub runner: UpstreamName,
    /// Whether the request is suspected of ending its upstreams.
    pub suspect: bool,
}

/// Asks a shard owner for upstreams. Asking twice for one attempt is harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionRequest {
    /// The account that asks.
    pub account: AccountName,
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstreams that this request has already lost or been refused by.
    pub avoid: Vec<UpstreamName>,
    /// Whether to be refused at once where there is no room now, without a place in the queue.
    pub fail_fast: bool,
    /// A digest of the request, the same when its caller sends it again.
    pub fingerprint: Fingerprint,
    /// How long the caller can still wait for the first token.
    pub first_token_within: Duration,
    /// The longest answer; `answer` is the expected one.
    pub max_output: Tokens,
    /// Whether a prefill worker still keeps the computed prompt of an earlier attempt.
    pub prefilled: bool,
    /// Digests of the prompt's leading pieces, each covering all before it.
    pub prefix: Vec<u64>,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The expected length of the answer.
    pub expected_output: Tokens,
    /// Whether the caller comes back at the time that an earlier refusal named.
    pub returning: bool,
    /// Whether earlier attempts already sent a part of the answer.
    pub resuming: bool,
    /// Whether the request is suspected of ending its upstreams.
    pub suspect: bool,
    /// How long the request has been on its way, here and with other owners.
    pub waited: Duration,
}

impl AdmissionRequest {
    /// Returns whether the first token is late already, whatever happens now.
    pub fn is_late(&self) -> bool {
        self.first_token_within.is_zero() && !self.resuming
    }
}

/// Gives an attempt its upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantMessage {
    /// What the attempt now holds.
    pub claim: SlotClaim,
    /// The prefill worker's address.
    pub prefill_address: Option<SocketAddr>,
    /// The decode worker's or plain upstream's address.
    pub runner_address: SocketAddr,
}

/// How an attempt ended at its upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ReleaseOutcome {
    /// The whole answer arrived.
    Finished,
    /// It was given up; a cancel was confirmed by the upstreams, or nothing had started.
    Cancelled,
    /// It was given up and the upstreams have not confirmed a cancel.
    Unconfirmed,
    /// The prefill worker did not answer.
    PrefillLost,
    /// The decode worker or plain upstream did not answer.
    RunnerLost,
    /// An upstream refused it for want of room.
    RunnerFull,
    /// The prefill worker answered with a failure of its own.
    PrefillFailed,
    /// The decode worker or plain upstream answered with a failure of its own.
    RunnerFailed,
}

/// Between an entry and the owner of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShardMessage {
    /// Entry to owner: wants upstreams.
    RequestAdmission(AdmissionRequest),
    /// Entry to owner: the caller is gone or has been answered; forget the ask.
    Withdraw(AttemptId),
    /// Owner to entry: here they are.
    Grant(GrantMessage),
    /// Owner to entry: the ask waits its turn.
    Queued(AttemptId),
    /// Owner to entry: the request was refused before, and its first token is due within this time.
    FirstTokenDue(AttemptId, Duration),
    /// Owner to entry: no.
    Refuse(AttemptId, Refusal),
    /// Entry to owner and backup: an attempt holds this now.
    Claim(SlotClaim),
    /// Entry to owner: how many tokens an attempt has produced.
    Progress(AttemptId, Tokens),
    /// Entry to owner and backup: an attempt holds nothing any more.
    Release(AttemptId, ReleaseOutcome),
    /// Entry to owner and backups, now and then: a digest of all its claims.
    Summary {
        /// How many claims the entry has.
        count: u32,
        /// The exclusive or of the claims' digests.
        digest: u64,
    },
    /// Owner to entry: the digest does not fit, send all claims.
    Pull,
    /// Entry to owner: all claims.
    ClaimList(Vec<SlotClaim>),
    /// Owner to the owner of the same service in another failure domain: what the sender's own domain
    /// has seen of the requests.
    Sample(DomainName, RequestSample),
}

/// What every daemon knows of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it serves callers.
    pub http: SocketAddr,
    /// Where it hears other daemons, by UDP and TCP.
    pub peer: SocketAddr,
    /// Its state.
    pub state: MemberState,
    /// Counts the daemon's own answers to suspicions of it.
    pub version: u32,
}

/// Whether a daemon is alive. Of two records of one version, the later state wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered and has a short time to object.
    Suspect,
    /// It finishes its requests and takes no new duties.
    Leaving,
    /// It is gone.
    Dead,
}

/// Membership messages, sent over UDP.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Are you there?
    Ping {
        /// Pairs the answer with the question.
        nonce: u64,
        /// The sender's configuration.
        revision: Revision,
        /// News to pass on.
        updates: Vec<MemberRecord>,
    },
    /// I am.
    Ack {
        /// The question's number.
        nonce: u64,
        /// The sender's configuration.
        revision: Revision,
        /// News to pass on.
        updates: Vec<MemberRecord>,
    },
    /// Please ask this member for me.
    PingReq {
        /// The question's number.
        nonce: u64,
        /// Whom to ask.
        target: SocketAddr,
    },
    /// I am new here; send me the members.
    Join(MemberRecord),
    /// A part of the members.
    Members(Vec<MemberRecord>),
}

/// Configuration messages between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// I have this revision now.
    Have(Revision),
    /// Send me what came after this revision.
    Want(Revision),
    /// All documents that came after `since`, which together make `revision`.
    Delta {
        /// The revision to start from.
        since: Revision,
        /// The revision that results.
        revision: Revision,
        /// The documents that changed.
        documents: BTreeMap<DocumentName, StoredDocument>,
    },
}

/// A request that ended an upstream while it ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request's body.
    pub fingerprint: Fingerprint,
    /// The attempt during which the upstream was lost.
    pub attempt: AttemptId,
    /// The upstream that was lost.
    pub upstream: UpstreamName,
    /// How strongly it counts against the body.
    pub weight: u32,
}

/// Everything that travels over TCP between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// About one shard.
    Shard {
        /// The shard's service.
        service: ServiceName,
        /// The shard's failure domain.
        domain: DomainName,
        /// What is said.
        message: ShardMessage,
    },
    /// About the configuration.
    Config(ConfigMessage),
    /// About a request that ends upstreams.
    Crash(CrashReport),
    /// From a stopping daemon to the heir of its tickets.
    Tickets(crate::coordination::tickets::TicketHandover),
    /// From the heir: the tickets are taken over.
    TicketsAccepted(DaemonId),
    /// To all: from now on this heir answers for the daemon's tickets.
    TicketSuccessor {
        /// The daemon that stopped.
        from: DaemonId,
        /// Who answers now.
        successor: DaemonId,
    },
}
