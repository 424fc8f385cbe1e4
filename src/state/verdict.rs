//! Refusals and verdicts. A verdict says whether a request may have run, which a caller must know
//! before it retries.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Whether a request may have run. See docs/CALLERS.md.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No upstream has started it, and none will.
    NotRun,
    /// An upstream may have started it; it will not be started again.
    MayHaveRun,
    /// An upstream has finished it.
    Ran,
}

impl Verdict {
    /// Returns the text used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Returns the stronger of two verdicts on the same request: `Ran` over `MayHaveRun` over
    /// `NotRun`.
    pub fn stronger_of(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Verdict::NotRun),
            "may-have-run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            other => Err(format!("verdict {other:?} is not one of not-run, may-have-run, ran")),
        }
    }
}

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The bearer key belongs to no client account.
    UnknownAccount,
    /// No template serves the model or service.
    UnknownService,
    /// The account may not use this service.
    Forbidden,
    /// The request itself is malformed or too large.
    BadRequest,
    /// The latency targets cannot be met with the requests already accepted.
    Overloaded,
    /// The account has reached its limit of waiting requests.
    AccountLimit,
    /// The request needs more KV cache than any upstream has.
    TooLarge,
    /// Every upstream of the service is down, draining or absent.
    NoUpstream,
    /// Upstreams failed while running the request, and no time is left to try another.
    UpstreamFailed,
    /// An upstream rejected the request, and this daemon's retry budget is spent.
    RetriesSpent,
    /// The request has crashed upstreams that ran it.
    CrashesUpstream,
    /// The deadline has passed.
    DeadlinePassed,
    /// No shard owner answered in time.
    NoOwner,
    /// A request that may run at most once carries neither a ticket nor an idempotency key.
    NeedsTicket,
    /// The ticket is malformed or expired, or was used for another request.
    BadTicket,
    /// A request with the same ticket is still running.
    InProgress,
    /// The daemon that holds the ticket is dead.
    TicketHomeGone,
    /// The platform's store cannot be reached, and the request needs it.
    StoreDown,
    /// This daemon is stopping.
    Stopping,
    /// This daemon has no configuration yet.
    NoConfiguration,
    /// It is not known which software version began the stream that the request takes up.
    OriginUnknown,
    /// The account has used the tokens that it may use.
    AllotmentSpent,
    /// The caller has not read its stream, and the upstream has ended it.
    CallerTooSlow,
    /// This daemon's configuration is too old to tell whether the key is still valid.
    StaleConfiguration,
}

impl RefusalReason {
    /// Returns the HTTP status code for the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownAccount => 401,
            Self::Forbidden => 403,
            Self::UnknownService => 404,
            Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::BadRequest | Self::CrashesUpstream | Self::BadTicket => 422,
            Self::NeedsTicket => 428,
            Self::Overloaded | Self::AccountLimit | Self::AllotmentSpent => 429,
            Self::UpstreamFailed | Self::TicketHomeGone | Self::CallerTooSlow => 502,
            Self::NoUpstream
            | Self::NoOwner
            | Self::RetriesSpent
            | Self::StoreDown
            | Self::Stopping
            | Self::NoConfiguration
            | Self::OriginUnknown
            | Self::StaleConfiguration => 503,
            Self::DeadlinePassed => 504,
        }
    }

    /// Returns whether the same request may succeed later without changes.
    pub fn is_temporary(self) -> bool {
        matches!(self.status(), 409 | 429 | 502 | 503 | 504)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::UnknownAccount => "the bearer key belongs to no client account",
            Self::UnknownService => "no template serves this model or service",
            Self::Forbidden => "the client account may not use this service",
            Self::BadRequest => "the request is malformed",
            Self::Overloaded => "the latency targets cannot be met now",
            Self::AccountLimit => "the client account has reached its limit of waiting requests",
            Self::TooLarge => "the request needs more engine memory than any upstream has",
            Self::NoUpstream => "no upstream of this service can take work",
            Self::UpstreamFailed => "upstreams failed while running the request",
            Self::RetriesSpent => "too many requests have just been tried on a second upstream",
            Self::CrashesUpstream => "the request has ended the upstreams that ran it",
            Self::DeadlinePassed => "the deadline has passed",
            Self::NoOwner => "no shard owner answered in time",
            Self::NeedsTicket => {
                "a request that may not be repeated needs an Apricotrun-Ticket or Idempotency-Key header"
            }
            Self::BadTicket => "the ticket is malformed, expired or used for another request",
            Self::InProgress => "the request with this ticket is still running",
            Self::TicketHomeGone => "the daemon that holds this ticket is gone",
            Self::StoreDown => "the platform store cannot be reached",
            Self::Stopping => "this daemon is stopping",
            Self::NoConfiguration => "this daemon has no configuration yet",
            Self::AllotmentSpent => "the client account has used its allotment",
            Self::CallerTooSlow => "the caller has not read the response",
            Self::StaleConfiguration => "the configuration of this daemon is too old to check keys",
            Self::OriginUnknown => "it is not known which software version began the stream",
        };
        f.write_str(text)
    }
}

/// A refusal of a request: the reason, the verdict, and when to retry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The time from now after which a retry is expected to succeed.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// Returns a refusal of a request that no upstream has started.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None, verdict: Verdict::NotRun }
    }

    /// Returns the same refusal with the time after which to retry.
    pub fn with_retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }

    /// Returns the same refusal with another verdict.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }
}
