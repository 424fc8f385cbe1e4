//! Messages between daemons. The codec is in [`crate::protocol`]; see docs/PROTOCOL.md.

use crate::coordination::allotments::AllotmentMessage;
use crate::coordination::freshness::FreshnessRecord;
use crate::coordination::shard::{RequestStats, RoomReport, UpstreamNews};
use crate::coordination::store::StoreEra;
use crate::prelude::*;
use crate::state::fleet::{DocumentName, StoredDocument};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The phase that an attempt has reached at its upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ClaimPhase {
    /// The prefill worker computes the KV cache of the prompt.
    Prefill,
    /// The KV cache is transferred to the decode worker.
    Transfer,
    /// The decode worker or plain upstream produces the output.
    Run,
}

/// The slots and KV-cache blocks that an attempt holds at its upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotClaim {
    /// The client account whose usage it counts towards.
    pub account: AccountName,
    /// The attempt, whose id is the request id at the upstreams.
    pub attempt: AttemptId,
    /// The part of `kv_blocks` that fills only as the output grows.
    pub growth: KvBlocks,
    /// The phase that the attempt has reached.
    pub phase: ClaimPhase,
    /// The KV cache that is reserved for it on the decode worker.
    pub kv_blocks: KvBlocks,
    /// The prefill worker, unless the decode worker or plain upstream runs alone.
    pub prefill: Option<UpstreamName>,
    /// The decode worker or plain upstream that produces the output.
    pub runner: UpstreamName,
    /// Whether the request is suspected of crashing its upstreams.
    pub suspect: bool,
}

/// Requests upstreams for an attempt from a shard owner; idempotent for one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionRequest {
    /// The client account of the request.
    pub account: AccountName,
    /// The attempt that needs upstreams.
    pub attempt: AttemptId,
    /// The upstreams that failed or rejected earlier attempts of the request.
    pub avoid: Vec<UpstreamName>,
    /// Whether to refuse the attempt instead of queueing it when no upstream has free capacity.
    pub fail_fast: bool,
    /// A digest that is the same whenever the caller sends the same request.
    pub fingerprint: Fingerprint,
    /// The time until the first token is due; zero when it is overdue.
    pub first_token_within: Duration,
    /// The longest output that the request allows.
    pub max_output: Tokens,
    /// Whether a prefill worker still holds the prefill result of an earlier attempt.
    pub prefilled: bool,
    /// The digests of the prompt's prefixes at the ends of whole KV-cache blocks, shortest first.
    pub prefix: Vec<u64>,
    /// The length of the prompt, with the output that earlier attempts produced.
    pub prompt: Tokens,
    /// The expected length of the output.
    pub expected_output: Tokens,
    /// Whether the caller retries at the time that was reserved for it in an earlier refusal.
    pub returning: bool,
    /// Whether an earlier attempt of the request was granted upstreams, or the caller has a part of
    /// the response from an earlier request.
    pub resuming: bool,
    /// Whether the request is suspected of crashing its upstreams.
    pub suspect: bool,
    /// The only software version that may run the request, as it began the stream.
    pub software: Option<SoftwareVersion>,
    /// How urgent the request is.
    pub urgency: UrgencyRank,
    /// The time since the entry daemon accepted the request, across all owners.
    pub waited: Duration,
}

impl AdmissionRequest {
    /// Returns whether the first token will be late even if the attempt starts now. A resumed
    /// request is never late.
    pub fn is_late(&self) -> bool {
        self.first_token_within.is_zero() && !self.resuming
    }
}

/// Assigns upstreams to an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantMessage {
    /// The claim that the attempt holds from now on.
    pub claim: SlotClaim,
    /// The address of the prefill worker, if the attempt starts with a prefill.
    pub prefill_address: Option<SocketAddr>,
    /// The address of the decode worker or plain upstream.
    pub runner_address: SocketAddr,
    /// The software version of the decode worker or plain upstream.
    pub runner_software: SoftwareVersion,
}

/// How an attempt ended at its upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ReleaseOutcome {
    /// The complete response arrived.
    Finished,
    /// The attempt was aborted, and either the upstreams confirmed its cancellation or nothing had
    /// started.
    Cancelled,
    /// The attempt was aborted, and the upstreams have not confirmed its cancellation.
    Unconfirmed,
    /// The prefill worker failed without a response of its own, or stalled.
    PrefillLost,
    /// The decode worker or plain upstream failed without a response of its own, or stalled.
    RunnerLost,
    /// The decode worker or plain upstream rejected the attempt for lack of capacity.
    RunnerFull,
    /// The prefill worker returned an error response.
    PrefillFailed,
    /// The decode worker or plain upstream returned an error response.
    RunnerFailed,
    /// The entry daemon sent nothing, as an upstream takes no requests from it now.
    Withheld,
    /// The prefill worker rejected the attempt for lack of capacity.
    PrefillFull,
}

/// Messages about one shard, between entry daemons, its owner and its backups.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShardMessage {
    /// Entry daemon to owner: requests upstreams for an attempt.
    RequestAdmission(AdmissionRequest),
    /// Entry daemon to owner: remove the admission request from the queue. The caller disconnected,
    /// or the request was granted or refused elsewhere.
    Withdraw(AttemptId),
    /// Owner to entry daemon: the attempt has been granted upstreams.
    Grant(GrantMessage),
    /// Owner to entry daemon: the admission request is queued.
    Queued(AttemptId),
    /// Owner to entry daemon of its own failure domain: the admission request is queued, and
    /// [`ShardMessage::TryDomain`] says when to ask elsewhere.
    Waiting(AttemptId),
    /// Owner to entry daemon: another failure domain may have room for the queued attempt.
    TryDomain(AttemptId, DomainName),
    /// Owner to entry daemon of its own failure domain: the admission request is refused, unless another
    /// failure domain has room. The one that is named is the likeliest.
    RefuseHere(AttemptId, Refusal, Option<DomainName>),
    /// Owner to entry daemon: the request was refused before, so its first token is due sooner,
    /// within this time.
    FirstTokenDue(AttemptId, Duration),
    /// Owner to entry daemon: the admission request is refused.
    Refuse(AttemptId, Refusal),
    /// Entry daemon to owner and backups: the claim of an attempt, new or changed.
    Claim(SlotClaim),
    /// Entry daemon to owner: the number of tokens that an attempt has produced.
    Progress(AttemptId, Tokens),
    /// Entry daemon to owner and backups: an attempt has ended and its claim is void.
    Release(AttemptId, ReleaseOutcome),
    /// Entry daemon to owner and backups, periodically: a digest of all its claims in the shard.
    Summary {
        /// The number of claims of the entry daemon.
        count: u32,
        /// The exclusive or of the digests of the claims' attempt ids.
        digest: u64,
    },
    /// Owner or backup to entry daemon: the digest differs, so send all claims.
    Pull,
    /// Entry daemon to owner or backup: all its claims in the shard.
    ClaimList(Vec<SlotClaim>),
    /// Owner to the owner of the same service in another failure domain: statistics of the requests
    /// in the sender's domain.
    Stats(DomainName, RequestStats),
    /// Owner to the owner of the same service in another failure domain: the room in the sender's
    /// domain.
    Room(DomainName, RoomReport),
    /// Entry daemon to owner and backups: the upstream of this incarnation has said that it is
    /// about to stop.
    Leaving(UpstreamName, Incarnation),
}

/// The membership record of a daemon, which every other daemon holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The daemon's host and incarnation.
    pub daemon: DaemonId,
    /// The daemon's failure domain.
    pub domain: DomainName,
    /// The address at which the daemon serves callers.
    pub http: SocketAddr,
    /// The address at which it receives messages of other daemons, over UDP and TCP.
    pub peer: SocketAddr,
    /// The daemon's liveness as seen by the sender of the record.
    pub state: MemberState,
    /// A number that the daemon raises to refute a suspicion; a record with a higher one replaces
    /// those with lower ones.
    pub version: u32,
}

/// The liveness of a daemon. Of two records with the same version, the greater state wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The daemon answers probes.
    Alive,
    /// The daemon has not answered a probe; it is declared dead unless it refutes this in time.
    Suspect,
    /// The daemon is stopping: it finishes its requests and takes on no new roles.
    Leaving,
    /// The daemon has stopped or failed.
    Dead,
}

/// Membership messages, sent over UDP.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Probes the receiver.
    Ping {
        /// A number that the [`GossipMessage::Ack`] repeats.
        nonce: u64,
        /// What the sender knows of the load of upstreams.
        news: Vec<UpstreamNews>,
        /// What the sender refuses because it crashes upstreams.
        crashes: CrashDigest,
        /// The latest era of the platform's store that the sender knows of.
        era: StoreEra,
        /// The sender's configuration revision.
        revision: Revision,
        /// Recently changed records to disseminate.
        updates: Vec<MemberRecord>,
    },
    /// Answers a probe.
    Ack {
        /// The nonce of the probe.
        nonce: u64,
        /// How recent the sender's configuration is, if keys depend on that.
        freshness: Option<FreshnessRecord>,
        /// What the sender knows of the load of upstreams.
        news: Vec<UpstreamNews>,
        /// What the sender refuses because it crashes upstreams.
        crashes: CrashDigest,
        /// The latest era of the platform's store that the sender knows of.
        era: StoreEra,
        /// The sender's configuration revision.
        revision: Revision,
        /// Recently changed records to disseminate.
        updates: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a member on the sender's behalf.
    PingReq {
        /// A number that the relayed [`GossipMessage::Ack`] repeats.
        nonce: u64,
        /// The address of the member to probe.
        target: SocketAddr,
    },
    /// Announces the sender's record and requests the member list.
    Join(MemberRecord),
    /// A part of the member list.
    Members(Vec<MemberRecord>),
}

/// Messages that replicate the configuration between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// Announces the revision that the sender has.
    Have(Revision),
    /// Requests all changes after this revision.
    Want(Revision),
    /// The documents that changed between two revisions.
    Delta {
        /// The revision that the delta applies to.
        since: Revision,
        /// The revision that results from applying it.
        revision: Revision,
        /// The changed documents by name.
        documents: BTreeMap<DocumentName, StoredDocument>,
    },
}

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The failure domain of the entry daemon.
    pub domain: DomainName,
    /// The entry daemon.
    pub entry: DaemonId,
    /// The service whose upstream began it.
    pub service: ServiceName,
    /// The software version of that upstream.
    pub software: SoftwareVersion,
}

/// What a daemon knows of the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginReply {
    /// The origin, if the daemon keeps it.
    pub known: Option<StreamOrigin>,
    /// The only software version at which any stream of the service can have begun, if the daemon
    /// has seen no other.
    pub sole_version: Option<SoftwareVersion>,
}

/// Reports that an upstream died while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The attempt during which the upstream died.
    pub attempt: AttemptId,
    /// The parts of the request's prompt that other requests may share, from its start; none if the
    /// run had written for long enough to clear them.
    pub parts: Vec<PromptPart>,
    /// The upstream that died.
    pub upstream: UpstreamName,
    /// The crash weight to add for the request: higher if it was the upstream's only suspect.
    pub weight: u32,
}

/// A digest of what a daemon refuses because it crashes upstreams; equal digests mean that two
/// daemons refuse the same.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CrashDigest(pub u64);

impl CrashDigest {
    /// Returns the digest with one more refused request or part; a second time removes it.
    pub fn toggle(self, bits: u64) -> Self {
        Self(self.0 ^ bits)
    }
}

/// What a daemon knows of a part of prompts that crashes upstreams, or has stopped to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartHistory {
    /// The part.
    pub part: PromptPart,
    /// The upstreams that ended under requests with the part, and how long ago.
    pub crashes: Vec<(UpstreamName, Duration)>,
    /// The largest number of parts that came before it in a prompt.
    pub depth: u32,
    /// How long ago a run with the part was found sound, if it was refused before.
    pub sound: Option<Duration>,
}

/// What a daemon knows of a request that is refused because it crashed upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHistory {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The attempts that crashed upstreams, and the weight of each crash.
    pub attempts: Vec<(AttemptId, u32)>,
    /// How long ago the last crash was.
    pub last_crash: Duration,
}

/// All messages that daemons exchange over TCP.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// A message about the allotment of a client account.
    Allotment {
        /// The account.
        account: AccountName,
        /// The content for the host that leases tokens, or for the account's ledger.
        message: AllotmentMessage,
    },
    /// A message about one shard.
    Shard {
        /// The service that the shard belongs to.
        service: ServiceName,
        /// The failure domain of the shard.
        domain: DomainName,
        /// The content for the shard.
        message: ShardMessage,
    },
    /// A message about the configuration.
    Config(ConfigMessage),
    /// Broadcast that an upstream died while it ran a request.
    Crash(CrashReport),
    /// Broadcast that runs with these parts of prompts write output, after upstreams had ended under
    /// requests with them.
    SoundParts(Vec<PromptPart>),
    /// Everything that the sender refuses because it crashes upstreams, for a daemon that refuses
    /// something else: it has started later or has missed reports.
    CrashHistory {
        /// The parts of prompts.
        parts: Vec<PartHistory>,
        /// The requests.
        requests: Vec<RequestHistory>,
    },
    /// Broadcast that an upstream has said how many requests it takes from all daemons together.
    UpstreamLimit {
        /// The incarnation that said so.
        incarnation: Incarnation,
        /// The limit; `None` if the upstream names none any more.
        rate: Option<RequestRate>,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The origin of a stream, from its entry daemon or a daemon that keeps it, to one that should.
    StreamOrigin {
        /// How long it is kept.
        lifetime: Duration,
        /// The origin itself.
        origin: StreamOrigin,
        /// The caller's id of the request that began the stream.
        request: String,
    },
    /// Asks for the origin of a stream that a caller takes up at the sender.
    FindOrigin {
        /// A number that the [`PeerMessage::FoundOrigin`] repeats.
        lookup: u64,
        /// The caller's id of the request that began the stream.
        request: String,
        /// The service of the route of the new request.
        service: ServiceName,
        /// The longest time ago at which the stream can have begun.
        window: Duration,
    },
    /// Answers [`PeerMessage::FindOrigin`].
    FoundOrigin {
        /// The number of the question.
        lookup: u64,
        /// What the sender knows.
        reply: OriginReply,
    },
    /// From a stopping daemon to the successor that takes over its tickets.
    Tickets(crate::coordination::tickets::TicketHandover),
    /// From the successor: it has taken over the tickets.
    TicketsAccepted(DaemonId),
    /// Broadcast that the successor is now responsible for the tickets of a stopped daemon.
    TicketSuccessor {
        /// The daemon that stopped.
        from: DaemonId,
        /// The daemon that took over its tickets.
        successor: DaemonId,
    },
}
