//! What a request's headers say, and the checks before any work.

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

/// When to come back to a daemon that has as many requests in flight as it may.
const FULL_WAIT: Duration = Duration::from_secs(1);

/// The headers that matter.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The bearer key.
    pub bearer: Option<String>,
    /// The body's media type.
    pub content_type: Option<String>,
    /// Whether another entry sent the request here, to its ticket's home.
    pub forwarded: bool,
    /// The caller's own idempotency key.
    pub idempotency_key: Option<String>,
    /// The pass of a caller that comes back.
    pub return_pass: Option<String>,
    /// The ticket.
    pub ticket: Option<String>,
    /// The trace that the request belongs to.
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

    /// Returns whether the pass is genuine and its time has come.
    pub fn is_returning(&self, node: &DaemonNode, account: &AccountName) -> bool {
        let wall = node.clock.wall();
        let key = &node.settings.peer_key;
        let pass = self.return_pass.as_ref();
        pass.is_some_and(|pass| return_pass::is_return_due(key, account, pass, wall))
    }
}

/// A request that may go on: its account is known and it counts as in flight until dropped.
pub struct AdmittedCaller {
    /// The account.
    pub account: Arc<AccountParameters>,
    /// The configuration under which the request runs.
    pub fleet: Arc<FleetConfig>,
    /// Held while the request is in flight.
    pub permit: OwnedSemaphorePermit,
}

/// Checks what can be checked without looking at the body.
///
/// # Errors
///
/// Returns a refusal; nothing was run.
pub fn admit(node: &DaemonNode, head: &RequestHead) -> Result<AdmittedCaller, Refusal> {
    // A ticket's home finishes what only it may start.
    if node.is_stopping() && !head.forwarded {
        let refusal = Refusal::not_run(RefusalReason::Stopping);
        return Err(refusal.with_retry_after(FULL_WAIT));
    }
    let fleet = node.current_config();
    if fleet.revision == Revision(0) {
        return Err(Refusal::not_run(RefusalReason::NoConfiguration).with_retry_after(FULL_WAIT));
    }
    let account = head.bearer.as_ref().and_then(|key| fleet.account_of_key(key)).cloned();
    let account = account.ok_or(Refusal::not_run(RefusalReason::UnknownAccount))?;
    let permit = node.in_flight.clone().try_acquire_owned();
    let permit = permit
        .map_err(|_| Refusal::not_run(RefusalReason::Overloaded).with_retry_after(FULL_WAIT))?;
    Ok(AdmittedCaller { account, fleet, permit })
}

/// Reads a body up to the limit.
///
/// # Errors
///
/// Returns a refusal when the body is larger or breaks off.
pub async fn read_body(node: &DaemonNode, data: Data<'_>) -> Result<Vec<u8>, Refusal> {
    let limit = node.settings.body_limit_bytes.bytes();
    let body = data.open(limit).into_bytes().await;
    let body = body.map_err(|_| Refusal::not_run(RefusalReason::BadRequest))?;
    match body.is_complete() {
        true => Ok(body.into_inner()),
        false => Err(Refusal::not_run(RefusalReason::TooLarge)),
    }
}
