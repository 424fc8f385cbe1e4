//! The interface between the gateway and a deployment's HTTP headers.

use crate::coordination::shard::LoadReport;
use crate::coordination::upstream_lifetimes::LifetimeReport;
use crate::prelude::*;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, HeaderValue};
use std::time::SystemTime;
use thiserror::Error;

/// Why the headers of a request were rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// A required header is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// The value of a header is malformed.
    #[error("the header {name} is {value:?}; {allowed}")]
    Invalid {
        /// The header's name as it is documented.
        name: &'static str,
        /// The value that was sent.
        value: String,
        /// A phrase that says which values are allowed.
        allowed: &'static str,
    },
}

/// The token counts and prefix hashes of a model request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptShape {
    /// The largest number of output tokens.
    pub max_output: Tokens,
    /// The caller's estimate of the number of output tokens.
    pub length_hint: Option<Tokens>,
    /// The parts of the prompt that other requests may share: all but the last.
    pub parts: Vec<PromptPart>,
    /// One hash for each segment of the prompt, taken over all segments up to and with it.
    pub prefix: Vec<u64>,
    /// The number of prompt tokens.
    pub prompt: Tokens,
}

/// The request headers that the gateway acts on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InboundHead {
    /// The caller's request id, which upstreams echo in their responses.
    pub request_id: String,
    /// The prompt of a model request; absent for other requests.
    pub prompt: Option<PromptShape>,
    /// The id of the last event that the caller received on an earlier request, or 0.
    pub resume_after: u32,
    /// The id of the earlier request that began the stream and brought its first event, if this
    /// one takes a stream up and the caller names it.
    pub resumes: Option<String>,
    /// How long the caller waits from now on, if it says so.
    pub timeout: Option<Duration>,
}

/// The step of a request that an upstream is asked to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamStep<'a> {
    /// Computes the KV cache of the prompt and holds it for a decode worker.
    Prefill,
    /// Produces the response.
    Run {
        /// The id of the last event that the caller received, or 0.
        resume_after: u32,
        /// The location of the prefill result, if a prefill worker has computed one.
        handle: Option<&'a str>,
    },
}

/// What the gateway adds to the headers of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct OutboundHead<'a> {
    /// The client account of the request, if callers have accounts.
    pub account: Option<&'a AccountName>,
    /// How long the upstream may take from now on.
    pub timeout: Duration,
    /// The step that the upstream is asked to perform.
    pub step: UpstreamStep<'a>,
    /// The upstream that is addressed; another one at the same address must decline the request.
    pub upstream: &'a UpstreamName,
    /// How urgent the request is, if upstreams are told.
    pub urgency: Option<UrgencyRank>,
}

/// How an upstream's response relates to the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// It is the response to this request.
    Matching,
    /// It lacks what every response to this request bears, so that it says nothing of it.
    Foreign,
    /// The upstream has no free slot; it has not run the request and will not.
    Full,
    /// The upstream has not run the request and will not, for another reason.
    Declined,
    /// Its status promises callers that the request has not run, which the upstream itself does not say.
    Unclear,
}

/// The response headers that the gateway acts on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// How long the upstream keeps the connection open while it is idle, if it says so.
    pub keep_alive: Option<Duration>,
    /// How the response relates to the request.
    pub kind: ResponseKind,
    /// How many requests the upstream takes from all daemons together, if it limits them.
    pub limit: Option<RequestRate>,
    /// How loaded and how fast the upstream is, if it says so.
    pub load: Option<LoadReport>,
    /// Whether the upstream says that it is about to stop.
    pub leaving: bool,
    /// How long the upstream, which has refused the request, takes none from this daemon.
    pub quiet: Option<Duration>,
}

/// Reads and writes a deployment's headers.
pub trait GatewayDialect: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the header that is missing or malformed.
    fn read_request(&self, head: &RequestParts) -> Result<InboundHead, HeadError>;

    /// Returns the key of a client account; `None` if the request carries none or several.
    fn read_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue>;

    /// Adds a caller's key to the headers of a request to another host.
    fn write_key(&self, key: &HeaderValue, headers: &mut HeaderMap);

    /// Removes a caller's key and the name of an account from a request.
    fn strip_account(&self, headers: &mut HeaderMap);

    /// Removes headers that only this system may set from a caller's request.
    fn strip(&self, headers: &mut HeaderMap);

    /// Removes headers from an upstream's response that are meant for this system only.
    fn strip_response(&self, headers: &mut HeaderMap);

    /// Says in the headers of a request to another host how long it may take from now on.
    fn write_timeout(&self, timeout: Duration, headers: &mut HeaderMap);

    /// Adds the headers for the upstream to the caller's.
    fn write_request(&self, head: &OutboundHead<'_>, headers: &mut HeaderMap);

    /// Reads the headers of the response to the request with the id `request_id`, which has asked for
    /// `step`.
    fn read_response(
        &self,
        request_id: &str,
        step: UpstreamStep<'_>,
        head: &ResponseParts,
    ) -> ResponseHead;

    /// Reads the handle of a prefill result from the body of the prefill worker's response.
    fn read_handle(&self, body: &[u8]) -> Option<String>;

    /// Returns when an upstream of this incarnation started, by its own clock.
    fn start_of(&self, incarnation: Incarnation) -> Option<SystemTime>;

    /// Returns the path under which a GET request makes an upstream report its incarnation.
    fn report_path(&self) -> &'static str;

    /// Reads the response to such a request; returns `None` if it is not the response to one.
    fn read_report(&self, head: &ResponseParts, body: &[u8]) -> Option<LifetimeReport>;

    /// Returns the path under which a DELETE request frees a prefill result.
    fn handle_path(&self, handle: &str) -> String;
}
