//! The inputs and outputs of a request flow: its specification, events and actions.

use crate::coordination::crashing_parts::CrashVerdict;
use crate::coordination::messages::{
    ClaimPhase, CrashReport, ReleaseOutcome, ShardMessage, SlotClaim,
};
use crate::coordination::stops::{StopPlan, WorkForecast};
use crate::prelude::*;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// An engine's opaque handle of the KV cache that a prefill produced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvHandle(pub String);

/// The properties of a request that are fixed when it is accepted, except that a shard owner may
/// correct `first_token_due`.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The client account that is charged for the request.
    pub account: AccountName,
    /// The expected length of the output.
    pub expected_output: Tokens,
    /// The target for the time between two tokens; zero for calls that stream no tokens.
    pub inter_token_target: Duration,
    /// The upstreams that must not be used, because of what they said in earlier responses.
    pub avoid: Vec<UpstreamName>,
    /// The sum of the crash weights recorded for requests with the same fingerprint.
    pub crash_weight: u32,
    /// When the request is aborted and refused if it has not ended.
    pub deadline: Instant,
    /// The time after which a prefill worker evicts a result that no decode worker fetched.
    pub prefill_retention: Duration,
    /// The failure domains that may serve the request, the daemon's own first.
    pub domains: Vec<DomainName>,
    /// The index of the first token that the caller lacks; an earlier request delivered those
    /// before.
    pub first_index: u32,
    /// A digest that is the same whenever the caller sends the same request.
    pub fingerprint: Fingerprint,
    /// When the first token is due, by the latency target of the service or route.
    pub first_token_due: Instant,
    /// The id that the entry daemon assigned to the request.
    pub id: RequestId,
    /// The time to transfer the KV cache of the prompt over an idle link.
    pub transfer_time: Duration,
    /// The digests of the prompt's prefixes at the ends of whole KV-cache blocks, shortest first.
    pub prefix: Vec<u64>,
    /// The time to prefill the prompt on an idle worker.
    pub prefill_time: Duration,
    /// Whether the request, or a part of its prompt, is known to crash upstreams.
    pub crash_verdict: CrashVerdict,
    /// The parts of the prompt that other requests may share, from its start.
    pub parts: Vec<PromptPart>,
    /// How long daemons keep which software version began the stream, so that callers can take it
    /// up at another daemon; `None` if they cannot.
    pub origin_lifetime: Option<Duration>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The longest output that the request allows.
    pub max_output: Tokens,
    /// What becomes of the request when its caller disconnects.
    pub after_disconnect: DisconnectPolicy,
    /// Whether the request may be retried after an attempt that may have executed it.
    pub retryable: bool,
    /// The interval of progress reports to the shard owner; `None` if none are sent.
    pub progress_period: Option<Duration>,
    /// Limits the retries of this daemon.
    pub retries: Arc<dyn RetryLimiter>,
    /// Whether the caller retries at the time that was reserved for it in an earlier refusal.
    pub returning: bool,
    /// The maximum number of attempts that may have executed the request.
    pub max_runs: u32,
    /// The software version that began the stream, if the caller has its first events from an
    /// earlier request; no other version may go on.
    pub software: Option<SoftwareVersion>,
    /// The time without a token after which a run counts as stalled; if `None`, a multiple of
    /// `inter_token_target`.
    pub stall_limit: Option<Duration>,
    /// The number of tokens in one [`FlowEvent::Token`].
    pub tokens_per_index: u32,
    /// How urgent the request is.
    pub urgency: UrgencyRank,
    /// How long a slow run takes, by which a host that stops decides whether to start one.
    pub work: WorkForecast,
}

/// What becomes of a request whose caller has disconnected. One that waits for a grant ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisconnectPolicy {
    /// It ends, and its run is cancelled.
    Cancel,
    /// A run that has been sent goes on, as nobody could tell how far it had come. Nothing else is
    /// sent.
    FinishRun,
    /// Its attempt goes on, and others follow if that fails: a repetition of the request can be given
    /// its response.
    GoOn,
}

/// Limits how often requests are sent to further upstreams after their first, so that retries do
/// not multiply the load on an overloaded or failing service.
///
/// A retry may wait for seconds until an upstream is granted, and upstreams count it when it arrives. It is
/// therefore reserved first, and counted when it is sent.
pub trait RetryLimiter: fmt::Debug + Send + Sync {
    /// Reserves one retry and returns true if the limit allows it now.
    fn try_acquire(&self, now: Instant) -> bool;

    /// Counts a reserved retry, which is sent now.
    fn record_sent(&self, now: Instant);

    /// Gives back a reserved retry that is not sent.
    fn release(&self);
}

/// A [`RetryLimiter`] that allows every retry.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedRetries;

impl RetryLimiter for UnlimitedRetries {
    fn try_acquire(&self, _now: Instant) -> bool {
        true
    }

    fn record_sent(&self, _now: Instant) {}

    fn release(&self) {}
}

/// The ways in which an upstream fails an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFailure {
    /// No byte of the request was sent.
    NothingSent,
    /// The upstream rejected the attempt for lack of capacity and has not started it.
    Full,
    /// The connection or the response ended early, and the upstream is still alive.
    Broken,
    /// The attempt made no progress before its stall deadline.
    Stalled,
    /// The upstream responded with an error, and is still alive.
    Failed,
    /// The upstream's process has ended.
    Died,
    /// Nothing was sent, as the upstream has said that it takes no requests from this daemon, or as it may
    /// not run the software version of a stream that is to go on.
    Withheld,
    /// The upstream ended the response after this daemon had not read it, as the caller did not.
    Unread,
}

/// An input of [`RequestFlow::handle`](super::RequestFlow::handle).
#[derive(Clone, Debug)]
pub enum FlowEvent {
    /// The request has been accepted.
    Start,
    /// The shard owner of the failure domain has sent a message.
    OwnerMessage(DomainName, ShardMessage),
    /// The prefill has finished; its result is available under the handle.
    PrefillDone(AttemptId, KvHandle),
    /// The prefill worker failed.
    PrefillFailed(AttemptId, UpstreamFailure),
    /// The attempt's output is not read, since the caller has not read enough.
    CallerBehind(AttemptId),
    /// An event of the output stream has arrived.
    Token {
        /// The attempt on whose connection it arrived.
        attempt: AttemptId,
        /// The request id in the event as the upstream wrote it; it must name `attempt`.
        request_id: String,
        /// Its position in the output, from 0.
        index: u32,
        /// The text to forward to the caller.
        text: String,
    },
    /// The end marker has arrived, with the number of token events in the complete output.
    RunEnded(AttemptId, u32),
    /// The upstream has returned a complete response that is no stream.
    ResponseReceived(AttemptId),
    /// The upstream has returned an error response, which is forwarded to a caller that has been sent
    /// nothing yet.
    ErrorResponseReceived(AttemptId),
    /// The decode worker or plain upstream failed.
    RunFailed(AttemptId, UpstreamFailure),
    /// The caller has disconnected.
    CallerDisconnected {
        /// Whether the current run may have been sent. Otherwise it will not be.
        is_sent: bool,
    },
    /// The host stops by this plan.
    HostStops(StopPlan),
    /// The shard may have a new owner.
    OwnerChanged,
    /// Requests with these parts in their prompts, or that these parts stand for, are refused from now
    /// on.
    PartsRefused(Arc<BTreeSet<PromptPart>>),
    /// The time that [`RequestFlow::next_wake`] returned has come.
    ///
    /// [`RequestFlow::next_wake`]: super::RequestFlow::next_wake
    Tick,
}

/// An effect that [`RequestFlow::handle`](super::RequestFlow::handle) asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowAction {
    /// Send a message to the shard owner of a failure domain.
    Send(DomainName, ShardMessage),
    /// Record the claim of an attempt, and send it to the shard's owner and backups.
    Claim(DomainName, SlotClaim),
    /// Record the new phase of an attempt, and send it to the shard's owner and backups.
    Advance(DomainName, AttemptId, ClaimPhase),
    /// Report to the shard owner how many tokens the attempt has produced.
    Progress(DomainName, AttemptId, Tokens),
    /// Remove the claim of an attempt, and send the release to the shard's owner and backups.
    Release(DomainName, AttemptId, ReleaseOutcome),
    /// Log that an upstream failed the attempt.
    AttemptFailed {
        /// The kind of failure.
        failure: UpstreamFailure,
        /// Whether it occurred during the run rather than during the prefill.
        running: bool,
    },
    /// Log that the upstream of a stream that has begun is silent.
    UpstreamSilent {
        /// Whether another upstream is sought. Otherwise no further run is allowed, and the silent one is
        /// waited for.
        may_move: bool,
    },
    /// Close the attempt's connections and release its claim. If the outcome is
    /// [`ReleaseOutcome::Cancelled`], cancel the attempt at the upstreams first, and release it as
    /// [`ReleaseOutcome::Unconfirmed`] unless all of them confirm.
    Abort {
        /// The failure domain whose shard granted the attempt.
        domain: DomainName,
        /// The attempt to abort.
        attempt: AttemptId,
        /// Whether the next attempt reuses the prefill result.
        reuses_prefill: bool,
        /// The addresses at which it may still run.
        upstreams: Vec<SocketAddr>,
        /// The outcome to release it with.
        outcome: ReleaseOutcome,
    },
    /// Start the prefill at the address.
    StartPrefill(AttemptId, SocketAddr),
    /// Start the run that produces the output.
    StartRun {
        /// The attempt to run.
        attempt: AttemptId,
        /// The address of the decode worker or plain upstream.
        address: SocketAddr,
        /// The prefill result to transfer, if the attempt had a prefill.
        handle: Option<KvHandle>,
        /// The index of the first token to produce.
        from: u32,
        /// The software version of the decode worker or plain upstream.
        software: SoftwareVersion,
    },
    /// Begin the response to the caller, so that a disconnect is noticed from now on. Returned when
    /// the request is first queued or granted.
    OpenResponse,
    /// Forward a piece of the output to the caller.
    Emit(String),
    /// Record that an upstream died, and broadcast it to all daemons.
    ReportCrash(CrashReport),
    /// Record that a run with these parts in its prompt, which began to write at `began`, was not
    /// lost in [`SOUND_OUTPUT_TIME`](crate::coordination::crashing_parts::SOUND_OUTPUT_TIME).
    ReportOutput {
        /// When the first token of the attempt arrived.
        began: Instant,
        /// The parts of the prompt that other requests may share.
        parts: Vec<PromptPart>,
    },
    /// Count a dropped token event or end marker, which belongs to another request or attempt or
    /// repeats an index.
    Dropped,
    /// Complete the response.
    Finish,
    /// End the request without a complete response.
    Refuse(Refusal),
}
