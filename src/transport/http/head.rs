//! Reads a request's headers and body, and checks it before any work is done.

use crate::prelude::*;
use crate::protocol::return_pass;
use crate::state::fleet::AccountParameters;
use crate::transport::http::trace::trace_of;
use crate::transport::node::DaemonNode;
use fastrace::collector::SpanContext;
use rocket::Request;
use rocket::data::{Data, ToByteUnit};
use rocket::request::{FromRequest, Outcome};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;

/// The retry delay given to a caller when this daemon is stopping, has no configuration yet or has
/// reached its limit of requests in flight.
const DAEMON_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The headers of a request that the daemon evaluates.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The key that identifies the client account, from `Authorization: Bearer`.
    pub bearer: Option<String>,
    /// The media type of the body, passed on to plain upstreams.
    pub content_type: Option<String>,
    /// Whether another entry daemon forwarded the request, because this daemon is the home of its
    /// ticket.
    pub forwarded: bool,
    /// The idempotency key, chosen by the caller.
    pub idempotency_key: Option<String>,
    /// The return pass that came with an earlier refusal.
    pub return_pass: Option<String>,
    /// The signed ticket, not yet verified.
    pub ticket: Option<String>,
    /// The trace context of the request, from the caller or new.
    pub trace: SpanContext,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestHead {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self::of(request))
    }
}

impl RequestHead {
    /// Reads the headers of a request.
    pub fn of(request: &Request<'_>) -> Self {
        let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
        let bearer = header("Authorization");
        let bearer = bearer.and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned));
        Self {
            bearer,
            content_type: header("Content-Type"),
            forwarded: header("Apricotrun-Forwarded").is_some(),
            idempotency_key: header("Idempotency-Key"),
            return_pass: header("Apricotrun-Return"),
            ticket: header("Apricotrun-Ticket"),
            trace: trace_of(request),
        }
    }

    /// Returns whether the request carries a genuine return pass whose retry time has come.
    pub fn is_returning(&self, node: &DaemonNode, account: &AccountName) -> bool {
        let wall = node.clock.wall();
        let key = &node.settings.peer_key;
        let pass = self.return_pass.as_ref();
        pass.is_some_and(|pass| return_pass::is_return_due(key, account, pass, wall))
    }
}

/// A request that passed admission control. It counts as in flight until dropped.
pub struct AdmittedRequest {
    /// The client account that sent the request.
    pub account: Arc<AccountParameters>,
    /// The configuration that was in force at admission.
    pub fleet: Arc<FleetConfig>,
    /// Counts against the daemon's limit of requests in flight while held.
    pub permit: OwnedSemaphorePermit,
}

/// Admits a request as far as its headers and the daemon's state allow; the body is not read yet.
///
/// # Errors
///
/// Returns a refusal when the daemon is stopping, has no configuration or has too many requests in
/// flight, or when the bearer key belongs to no account. Nothing was run then.
pub fn admit(node: &DaemonNode, head: &RequestHead) -> Result<AdmittedRequest, Refusal> {
    // A forwarded request can start only here, at the home of its ticket, so it is admitted even
    // while stopping.
    if node.is_stopping() && !head.forwarded {
        let refusal = Refusal::not_run(RefusalReason::Stopping);
        return Err(refusal.with_retry_after(DAEMON_RETRY_DELAY));
    }
    let fleet = node.current_config();
    if fleet.revision == Revision(0) {
        return Err(
            Refusal::not_run(RefusalReason::NoConfiguration).with_retry_after(DAEMON_RETRY_DELAY)
        );
    }
    let account = head.bearer.as_ref().and_then(|key| fleet.account_of_key(key)).cloned();
    let account = account.ok_or(Refusal::not_run(RefusalReason::UnknownAccount))?;
    let permit = node.in_flight.clone().try_acquire_owned();
    let permit = permit.map_err(|_| {
        Refusal::not_run(RefusalReason::Overloaded).with_retry_after(DAEMON_RETRY_DELAY)
    })?;
    Ok(AdmittedRequest { account, fleet, permit })
}

/// Reads a body up to the size limit of the settings.
///
/// # Errors
///
/// Returns a refusal when the body is larger than the limit or ends early.
pub async fn read_body(node: &DaemonNode, data: Data<'_>) -> Result<Vec<u8>, Refusal> {
    let limit = node.settings.body_limit_bytes.bytes();
    let body = data.open(limit).into_bytes().await;
    let body = body.map_err(|_| Refusal::not_run(RefusalReason::BadRequest))?;
    match body.is_complete() {
        true => Ok(body.into_inner()),
        false => Err(Refusal::not_run(RefusalReason::TooLarge)),
    }
}
