//! How a deployment words what the gateway needs to know of requests and answers.

use crate::prelude::*;
use http::HeaderMap;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use thiserror::Error;

/// Why a request's head cannot be served.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// A header that every request needs is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header cannot be read.
    #[error("the header {name} is {value:?}; {allowed}")]
    Invalid {
        /// The header.
        name: &'static str,
        /// Its value.
        value: String,
        /// What would have been accepted.
        allowed: &'static str,
    },
}

/// What a model request says of its prompt and answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptShape {
    /// The longest answer.
    pub answer: Tokens,
    /// The caller's guess of the answer's length.
    pub hint: Option<Tokens>,
    /// The prompt's parts, each digested together with all before it.
    pub prefix: Vec<u64>,
    /// The prompt's length.
    pub prompt: Tokens,
}

/// What the gateway needs of a request's headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InboundHead {
    /// The caller's id of the request, which upstreams repeat in their answers.
    pub label: String,
    /// Its prompt, for a model request.
    pub prompt: Option<PromptShape>,
    /// The last event that the caller has from an earlier request, or 0.
    pub resume_after: u32,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
}

/// What an upstream is to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamStep<'a> {
    /// Compute the prompt and keep the result.
    Prefill,
    /// Produce the answer.
    Run {
        /// The last event that the caller has, or 0.
        after: u32,
        /// Where the computed prompt lies.
        handle: Option<&'a str>,
    },
}

/// One request on its way to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct OutboundHead<'a> {
    /// How long the upstream may take.
    pub left: Duration,
    /// What it is to do.
    pub step: UpstreamStep<'a>,
    /// Which upstream must take it, and no other at the same address.
    pub upstream: &'a UpstreamName,
}

/// What an upstream's answer is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// It is the answer to the request.
    Answer,
    /// It belongs to another request.
    Foreign,
    /// The upstream has not run the request and will not, for want of room.
    Full,
    /// The upstream has not run the request and will not, for another reason.
    Declined,
}

/// What the gateway needs of an answer's head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// How long the upstream keeps an idle connection, if it says so.
    pub keep_alive: Option<Duration>,
    /// What it is worth.
    pub kind: ResponseKind,
}

/// Reads and writes a deployment's headers.
pub trait GatewayDialect: Send + Sync {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Returns what is missing or cannot be read.
    fn read_request(&self, head: &RequestParts) -> Result<InboundHead, HeadError>;

    /// Removes from a caller's headers what only this system may say.
    fn strip(&self, headers: &mut HeaderMap);

    /// Adds what the upstream must know to the caller's headers.
    fn write_request(&self, order: &OutboundHead<'_>, headers: &mut HeaderMap);

    /// Judges an answer to the request with this label.
    fn read_response(&self, label: &str, head: &ResponseParts) -> ResponseHead;

    /// Reads where a prefill worker keeps a result, from the body of its answer.
    fn read_handle(&self, body: &[u8]) -> Option<String>;

    /// Returns the path that a DELETE frees a result under.
    fn handle_path(&self, handle: &str) -> String;
}
