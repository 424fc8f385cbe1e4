//! What happens to a request, and what its flow wants done.

use crate::coordination::messages::{
    ClaimPhase, CrashReport, ReleaseOutcome, ShardMessage, SlotClaim,
};
use crate::prelude::*;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where an engine keeps a computed prompt, in the engine's own words.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvHandle(pub String);

/// What is known of a request when it is accepted.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The account that pays for it.
    pub account: AccountName,
    /// The longest answer.
    pub expected_output: Tokens,
    /// The target for the time between tokens.
    pub inter_token_target: Duration,
    /// The weight of the upstreams that died while they ran the same body.
    pub crash_weight: u32,
    /// When the caller's patience ends.
    pub deadline: Instant,
    /// How long a prefill worker keeps a result that nobody fetched.
    pub eviction: Duration,
    /// The failure domains to ask, the daemon's own first.
    pub domains: Vec<DomainName>,
    /// The first token that the caller lacks; it has the earlier ones from another request.
    pub first_index: u32,
    /// A digest of the body.
    pub fingerprint: Fingerprint,
    /// When the first token is due.
    pub first_token_due: Instant,
    /// The request's id.
    pub id: RequestId,
    /// How long a transfer of the prompt takes on an idle link.
    pub transfer_time: Duration,
    /// Digests of the prompt's leading pieces.
    pub prefix: Vec<u64>,
    /// How long the prefill of the prompt takes on an idle worker.
    pub prefill_time: Duration,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The longest answer; `answer` is the expected one.
    pub max_output: Tokens,
    /// Whether the answer is still owed after the caller has left.
    pub outlives_caller: bool,
    /// Whether a second run does no harm.
    pub retryable: bool,
    /// How often the owner hears how far a run has come; never when absent.
    pub progress_period: Option<Duration>,
    /// What allows this daemon to use an upstream for a request that already used one.
    pub retries: Arc<dyn RetryLimiter>,
    /// Whether the caller comes back at a booked time.
    pub returning: bool,
    /// On how many upstreams the request may run.
    pub run_limit: u32,
    /// After what time without a token a run counts as stalled; a multiple of the target for the
    /// time between tokens when absent.
    pub stall_limit: Option<Duration>,
    /// How many tokens one part of the answer carries.
    pub tokens_per_index: u32,
}

/// Limits how many upstreams are used beyond the first of each request, so that retries do not
/// multiply the load of a service in trouble.
pub trait RetryLimiter: fmt::Debug + Send + Sync {
    /// Takes one retry if the limit allows it now.
    fn try_acquire(&self, now: Instant) -> bool;
}

/// Allows every retry.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedRetries;

impl RetryLimiter for UnlimitedRetries {
    fn try_acquire(&self, _now: Instant) -> bool {
        true
    }
}

/// How an upstream failed an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFailure {
    /// No byte reached it.
    NothingSent,
    /// It answered that it has no room and did not start.
    Full,
    /// It ended the attempt or the connection, and still lives.
    Broken,
    /// It has made no progress for too long.
    Stalled,
    /// It answered that it has failed, and still lives.
    Failed,
    /// It is gone.
    Died,
}

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum FlowEvent {
    /// It has been accepted.
    Start,
    /// A shard owner answers.
    OwnerMessage(DomainName, ShardMessage),
    /// The prompt is computed.
    PrefillDone(AttemptId, KvHandle),
    /// The prefill worker failed.
    PrefillFailed(AttemptId, UpstreamFailure),
    /// A part of the answer arrived on the connection of the first attempt, marked by the
    /// upstream with the second.
    Token {
        /// The attempt whose connection carried it.
        attempt: AttemptId,
        /// The request id that the upstream wrote into it.
        request_id: String,
        /// Its place in the answer.
        index: u32,
        /// The text.
        text: String,
    },
    /// The upstream says that the answer is whole and how many tokens it has.
    RunEnded(AttemptId, u32),
    /// A plain upstream has answered.
    ResponseReceived(AttemptId),
    /// A plain upstream has answered with a failure of its own, which the caller gets.
    ErrorResponseReceived(AttemptId),
    /// The decode worker or plain upstream failed.
    RunFailed(AttemptId, UpstreamFailure),
    /// The caller is gone.
    CallerDisconnected,
    /// Another daemon may own the shard now.
    OwnerChanged,
    /// Time has passed.
    Tick,
}

/// What the flow wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowAction {
    /// Say this to the shard's owner.
    Send(DomainName, ShardMessage),
    /// The attempt holds this now: record it, and tell the backup.
    Claim(DomainName, SlotClaim),
    /// The attempt has come further: record it, and tell owner and backup.
    Advance(DomainName, AttemptId, ClaimPhase),
    /// Tell the owner how many tokens the attempt has produced.
    Progress(DomainName, AttemptId, Tokens),
    /// The attempt holds nothing: record it, and tell owner and backup.
    Release(DomainName, AttemptId, ReleaseOutcome),
    /// An upstream failed the attempt, which ends: tell the operators.
    AttemptFailed {
        /// How it failed.
        loss: UpstreamFailure,
        /// Whether that was in the run, and not in the prefill before it.
        running: bool,
    },
    /// Stop the attempt's connections, cancel it at these upstreams until they confirm, and then
    /// release it with this outcome.
    Abort {
        /// The shard's failure domain.
        domain: DomainName,
        /// The attempt.
        attempt: AttemptId,
        /// Whether the next attempt uses the computed prompt.
        reuses_prefill: bool,
        /// Where it may still run.
        upstreams: Vec<SocketAddr>,
        /// How it ended.
        outcome: ReleaseOutcome,
    },
    /// Compute the prompt.
    StartPrefill(AttemptId, SocketAddr),
    /// Produce the answer from this token on.
    StartRun {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream's address.
        address: SocketAddr,
        /// Where the computed prompt lies.
        handle: Option<KvHandle>,
        /// The first token that the caller lacks.
        from: u32,
    },
    /// The request waits: begin the answer to the caller so that its going is noticed.
    OpenResponse,
    /// Pass this on to the caller.
    Emit(String),
    /// Tell all daemons of a lost upstream.
    ReportCrash(CrashReport),
    /// A message was dropped because it belongs to another request, attempt or place.
    Dropped,
    /// The answer is whole.
    Finish,
    /// The request has ended without a whole answer.
    Refuse(Refusal),
}
