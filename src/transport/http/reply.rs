//! Responses to callers: problem documents (RFC 9457), complete bodies and streams.

use crate::coordination::tickets::StoredResponse;
use crate::prelude::*;
use crate::protocol::return_pass::issue_return_pass;
use crate::transport::node::DaemonNode;
use futures::stream::BoxStream;
use rocket::http::{ContentType, Header, Status};
use rocket::response::stream::{ByteStream, Event, EventStream};
use rocket::response::{Responder, Result as RocketResult};
use rocket::{Catcher, Request, Response, catch, catchers};
use serde_json::{Value, json};
use std::io::Cursor;

/// A response of any kind to a caller.
pub enum CallerReply {
    /// A JSON body that is written while the request runs.
    Body(ByteStream<BoxStream<'static, Vec<u8>>>),
    /// A stream of server-sent events.
    Events(EventStream<BoxStream<'static, Event>>),
    /// The complete response of a plain upstream.
    Plain(PlainReply),
    /// The problem document of a refusal.
    Problem(ProblemReply),
}

impl<'r> Responder<'r, 'r> for CallerReply {
    fn respond_to(self, request: &'r Request<'_>) -> RocketResult<'r> {
        match self {
            Self::Body(body) => (ContentType::JSON, body).respond_to(request),
            Self::Events(events) => events.respond_to(request),
            Self::Plain(reply) => reply.respond_to(request),
            Self::Problem(reply) => reply.respond_to(request),
        }
    }
}

/// A refusal as an HTTP response with a problem document.
pub struct ProblemReply {
    body: Value,
    refusal: Refusal,
}

impl ProblemReply {
    /// Returns the response for a refusal. If the account is known and the refusal names a retry
    /// time, the response carries a return pass for that time.
    pub fn new(node: &DaemonNode, refusal: Refusal, account: Option<&AccountName>) -> Self {
        Self { body: problem_body(node, &refusal, account), refusal }
    }
}

/// Returns the problem document of a refusal, with the fields of OpenAI's error object beside those
/// of RFC 9457. See [`ProblemReply::new`] for the account.
pub fn problem_body(node: &DaemonNode, refusal: &Refusal, account: Option<&AccountName>) -> Value {
    let message = refusal.reason.to_string();
    let reason = serde_json::to_value(refusal.reason).unwrap_or_default();
    let code = reason.as_str().unwrap_or_default().to_owned();
    let mut body = json!({
        "type": format!("urn:apricotrun:refusal:{code}"),
        "title": message,
        "status": refusal.reason.status(),
        "reason": code,
        "verdict": refusal.verdict.as_str(),
        "error": { "message": message, "type": "apricotrun_refusal", "code": code },
    });
    if let Some(after) = refusal.retry_after {
        body["retry_after_ms"] = json!(after.as_millis() as u64);
        if let Some(account) = account {
            let at = node.clock.wall() + after;
            body["return_pass"] = json!(issue_return_pass(&node.settings.peer_key, account, at));
        }
    }
    body
}

impl<'r> Responder<'r, 'static> for ProblemReply {
    fn respond_to(self, _request: &'r Request<'_>) -> RocketResult<'static> {
        let body = self.body.to_string();
        let mut response = Response::build();
        response
            .status(Status::new(self.refusal.reason.status()))
            .header(ContentType::new("application", "problem+json"))
            .header(verdict_header(self.refusal.verdict))
            .sized_body(body.len(), Cursor::new(body));
        if let Some(after) = self.refusal.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            response.header(Header::new("Retry-After", seconds.to_string()));
        }
        if let Some(pass) = self.body["return_pass"].as_str() {
            response.header(Header::new("Apricotrun-Return", pass.to_owned()));
        }
        response.ok()
    }
}

/// The response of a plain upstream, fresh or stored under a ticket.
pub struct PlainReply {
    /// What the upstream responded, without a body if that was too large to keep.
    pub response: StoredResponse,
    /// Whether this is the stored response of an earlier run.
    pub replayed: bool,
}

impl<'r> Responder<'r, 'static> for PlainReply {
    fn respond_to(self, _request: &'r Request<'_>) -> RocketResult<'static> {
        let mut response = Response::build();
        response.header(verdict_header(Verdict::Ran));
        if self.replayed {
            response.header(Header::new("Apricotrun-Replayed", "true"));
        }
        response.header(Header::new("Content-Type", self.response.content_type));
        match self.response.body {
            Some(body) => {
                response.status(Status::new(self.response.status));
                response.sized_body(body.len(), Cursor::new(body));
            }
            // The request has run, but its response was too large to store.
            None => {
                response.status(Status::NoContent);
            }
        }
        response.ok()
    }
}

fn verdict_header(verdict: Verdict) -> Header<'static> {
    Header::new("Apricotrun-Verdict", verdict.as_str())
}

/// Returns the catchers that turn Rocket's own errors, such as an unmatched route, into problem
/// documents.
pub fn catchers() -> Vec<Catcher> {
    catchers![not_found, other]
}

#[catch(404)]
fn not_found() -> (ContentType, String) {
    problem(404, "no such resource")
}

#[catch(default)]
fn other(status: Status, _request: &Request<'_>) -> (ContentType, String) {
    problem(status.code, status.reason_lossy())
}

fn problem(status: u16, title: &str) -> (ContentType, String) {
    let verdict = Verdict::NotRun.as_str();
    let body =
        json!({ "type": "about:blank", "title": title, "status": status, "verdict": verdict });
    (ContentType::new("application", "problem+json"), body.to_string())
}
