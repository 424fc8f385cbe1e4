//! Proxies calls to plain services, and issues tickets for calls that must not run twice.

use crate::coordination::flow::{DisconnectPolicy, RequestSpec, UnlimitedRetries};
use crate::coordination::messages::MemberState;
use crate::coordination::stops::{WorkForecast, expected_work};
use crate::coordination::tickets::{StoredResponse, TicketDecision, TicketId, TicketResult};
use crate::prelude::*;
use crate::transport::engine::PlainCall;
use crate::transport::http::head::{AdmittedRequest, RequestHead, admit, read_body};
use crate::transport::http::reply::{CallerReply, PlainReply, ProblemReply};
use crate::transport::http::trace::SpanTrace;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::requests::{ResponsePart, start_request};
use crate::transport::runs::PlainExecutor;
use rocket::data::Data;
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::serde::json::Json;
use rocket::{Request, State, post, routes};
use serde_json::{Value, json};
use std::sync::Arc;

/// How long a ticket from `/v1/tickets` is valid. It is issued before its service is known, so that
/// the service's own retry window does not apply.
const TICKET_LIFETIME: Duration = Duration::from_secs(600);
/// The retry delay given to a caller when the home daemon of its ticket did not respond.
const HOME_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Returns the routes of all plain services: any path below a service's name, in five methods.
pub fn routes() -> Vec<Route> {
    let methods = [Method::Delete, Method::Get, Method::Patch, Method::Post, Method::Put];
    methods
        .into_iter()
        .map(|method| Route::new(method, "/<service>/<path..>", ServiceHandler))
        .collect()
}

/// Returns the route that issues tickets.
pub fn ticket_routes() -> Vec<Route> {
    routes![ticket]
}

#[post("/v1/tickets")]
fn ticket(node: &State<Arc<DaemonNode>>, head: RequestHead) -> Result<Json<Value>, ProblemReply> {
    let admitted = admit(node, &head);
    admitted.map_err(|refusal| ProblemReply::new(node, refusal, None))?;
    let ticket = node.issue_ticket(TICKET_LIFETIME);
    Ok(Json(json!({ "ticket": ticket, "expires_in_ms": TICKET_LIFETIME.as_millis() as u64 })))
}

/// Handles calls to plain services, of any method and path.
#[derive(Clone)]
struct ServiceHandler;

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(node) = request.rocket().state::<Arc<DaemonNode>>() else {
            return Outcome::Error(rocket::http::Status::InternalServerError);
        };
        let reply = serve(node, request, data).await;
        Outcome::from(request, reply)
    }
}

async fn serve(node: &Arc<DaemonNode>, request: &Request<'_>, data: Data<'_>) -> CallerReply {
    let head = RequestHead::of(request);
    let admitted = match admit(node, &head) {
        Ok(admitted) => admitted,
        Err(refusal) => return CallerReply::Problem(ProblemReply::new(node, refusal, None)),
    };
    let account = admitted.account.account.clone();
    match serve_admitted(node, request, head, data, admitted).await {
        Ok(reply) => CallerReply::Plain(reply),
        Err(refusal) => CallerReply::Problem(ProblemReply::new(node, refusal, Some(&account))),
    }
}

/// An admitted call to a plain service.
struct PlainRequest {
    account: AccountName,
    call: PlainCall,
    head: RequestHead,
    template: Arc<ServiceTemplate>,
}

impl PlainRequest {
    /// Returns a digest of account, service, method, path and body. A ticket is valid only for the
    /// request that it was first used with, and this digest tells whether another one is the same.
    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&[
            self.account.as_str().as_bytes(),
            self.template.service.as_str().as_bytes(),
            self.call.method.as_bytes(),
            self.call.path.as_bytes(),
            &self.call.body,
        ])
    }
}

async fn serve_admitted(
    node: &Arc<DaemonNode>,
    request: &Request<'_>,
    head: RequestHead,
    data: Data<'_>,
    admitted: AdmittedRequest,
) -> Result<PlainReply, Refusal> {
    let unknown = Refusal::not_run(RefusalReason::UnknownService);
    let name = request.routed_segment(0).and_then(|name| name.parse::<ServiceName>().ok());
    let template = name.and_then(|name| admitted.fleet.templates.get(&name).cloned());
    let template = template.ok_or(unknown)?;
    if !admitted.account.services.contains_key(&template.service) {
        return Err(Refusal::not_run(RefusalReason::Forbidden));
    }
    let path = upstream_path(request, &template.service);
    let method = request.method().as_str().to_owned();
    let body = read_body(node, data).await?;
    let content_type = head.content_type.clone();
    let plain = PlainRequest {
        account: admitted.account.account.clone(),
        call: PlainCall { body, content_type, method, path },
        head,
        template,
    };
    if !plain.template.is_non_idempotent(&plain.call.method, &plain.call.path) {
        let response = run(node, &plain, true).await?;
        return Ok(PlainReply { response, replayed: false });
    }
    let ticket = find_ticket(node, &plain).await?;
    serve_at_most_once(node, plain, ticket, admitted).await
}

/// Returns the path and query to request from the upstream.
fn upstream_path(request: &Request<'_>, service: &ServiceName) -> String {
    let uri = request.uri().to_string();
    let prefix = format!("/services/{service}");
    let path = uri.strip_prefix(&prefix).unwrap_or("/");
    if path.starts_with('/') { path.to_owned() } else { format!("/{path}") }
}

/// Returns the ticket that the request carries, or else the one that its idempotency key is bound
/// to.
async fn find_ticket(node: &Arc<DaemonNode>, plain: &PlainRequest) -> Result<TicketId, Refusal> {
    if let Some(text) = &plain.head.ticket {
        let ticket = TicketId::verify(text, node.settings.peer_key.bytes());
        return ticket.ok_or_else(|| Refusal::not_run(RefusalReason::BadTicket));
    }
    match &plain.head.idempotency_key {
        Some(key) => node.bind_key(&plain.account, key, plain.template.retry_window).await,
        None => Err(Refusal::not_run(RefusalReason::NeedsTicket)),
    }
}

/// Serves a call that carries a ticket, so that it runs at most once however often it is sent.
async fn serve_at_most_once(
    node: &Arc<DaemonNode>,
    plain: PlainRequest,
    ticket: TicketId,
    admitted: AdmittedRequest,
) -> Result<PlainReply, Refusal> {
    let wall = node.clock.wall();
    let decision = lock(&node.tickets).begin(wall, &ticket, plain.fingerprint());
    match decision {
        TicketDecision::Respond(response) => Ok(PlainReply { response, replayed: true }),
        TicketDecision::Refuse(refusal) => Err(refusal),
        TicketDecision::Forward(home) => forward(node, &plain, &ticket, &home).await,
        TicketDecision::Run => {
            // A task of its own records the result in the ticket table even if the caller
            // disconnects.
            let node = node.clone();
            let task = tokio::spawn(async move {
                let _permit = admitted.permit;
                run_with_ticket(&node, &plain, &ticket).await
            });
            let failed = Refusal::not_run(RefusalReason::UpstreamFailed);
            let failed = failed.with_verdict(Verdict::MayHaveRun);
            let response = task.await.map_err(|_| failed)??;
            Ok(PlainReply { response, replayed: false })
        }
    }
}

/// Runs a call and records its outcome in the ticket table.
async fn run_with_ticket(
    node: &Arc<DaemonNode>,
    plain: &PlainRequest,
    ticket: &TicketId,
) -> Result<StoredResponse, Refusal> {
    let outcome = run(node, plain, false).await;
    let result = match &outcome {
        Ok(response) => TicketResult::Completed(response.clone()),
        Err(refusal) if refusal.verdict == Verdict::NotRun => TicketResult::NotRun,
        Err(_) => TicketResult::MayHaveRun,
    };
    lock(&node.tickets).finish(ticket, result);
    outcome
}

/// Runs a call at an upstream and waits for its response.
async fn run(
    node: &Arc<DaemonNode>,
    plain: &PlainRequest,
    retryable: bool,
) -> Result<StoredResponse, Refusal> {
    let spec = build_spec(node, plain, retryable);
    let executor = Arc::new(PlainExecutor::new(node.upstreams.clone(), plain.call.clone()));
    let trace = Box::new(SpanTrace::new(plain.head.trace));
    let request_id = spec.id.to_string();
    let service = plain.template.service.clone();
    let mut parts = start_request(node, service, &request_id, spec, executor, trace);
    while let Some(part) = parts.recv().await {
        match part {
            ResponsePart::Response(response) => return Ok(response),
            ResponsePart::Refused(refusal) => return Err(refusal),
            ResponsePart::Finished | ResponsePart::Opened | ResponsePart::Text(_) => {}
        }
    }
    let failed = Refusal::not_run(RefusalReason::UpstreamFailed);
    Err(failed.with_verdict(Verdict::MayHaveRun))
}

/// Returns the scheduling parameters of a plain call, which has no prompt and yields no tokens.
fn build_spec(node: &Arc<DaemonNode>, plain: &PlainRequest, retryable: bool) -> RequestSpec {
    let now = node.clock.now();
    let template = &plain.template;
    let fingerprint = plain.fingerprint();
    let (crash_verdict, crash_weight) = node.check_crashes(now, &fingerprint, &[]);
    let start = expected_work(template.first_token_target, Tokens(0), Duration::ZERO);
    RequestSpec {
        account: plain.account.clone(),
        avoid: Vec::new(),
        expected_output: Tokens(0),
        inter_token_target: Duration::ZERO,
        crash_weight,
        deadline: now + template.deadline,
        domains: node.domains_of(template),
        first_index: 0,
        prefill_retention: Duration::ZERO,
        fingerprint,
        first_token_due: now + template.first_token_target,
        id: node.next_request_id(),
        transfer_time: Duration::ZERO,
        prefill_time: Duration::ZERO,
        crash_verdict,
        parts: Vec::new(),
        prefix: Vec::new(),
        prompt: Tokens(0),
        max_output: Tokens(0),
        origin_lifetime: None,
        after_disconnect: if retryable { DisconnectPolicy::Cancel } else { DisconnectPolicy::GoOn },
        retryable,
        progress_period: None,
        retries: Arc::new(UnlimitedRetries),
        returning: plain.head.is_returning(node, &plain.account),
        max_runs: u32::MAX,
        software: None,
        stall_limit: None,
        urgency: UrgencyRank::default(),
        work: WorkForecast::fixed(start, Duration::ZERO),
        tokens_per_index: 1,
    }
}

/// Forwards a call to the home daemon of its ticket, the only one that may start it. A call that
/// was already forwarded is refused, so that it cannot circulate between daemons.
async fn forward(
    node: &Arc<DaemonNode>,
    plain: &PlainRequest,
    ticket: &TicketId,
    home: &DaemonId,
) -> Result<PlainReply, Refusal> {
    let home_gone =
        Refusal::not_run(RefusalReason::TicketHomeGone).with_verdict(Verdict::MayHaveRun);
    let record = node.find_live(home).filter(|record| record.state != MemberState::Dead);
    let record = record.filter(|_| !plain.head.forwarded).ok_or(home_gone)?;
    let url =
        format!("http://{}/services/{}{}", record.http, plain.template.service, plain.call.path);
    let signed = ticket.sign(node.settings.peer_key.bytes());
    let forwarded = node
        .upstreams
        .forward(&url, &plain.call, plain.head.bearer.as_deref(), &signed, plain.template.deadline)
        .await;
    let forwarded = forwarded.ok_or(home_gone.with_retry_after(HOME_RETRY_DELAY))?;
    match forwarded.refusal {
        Some(refusal) => Err(refusal),
        None => Ok(PlainReply { response: forwarded.response, replayed: forwarded.replayed }),
    }
}
