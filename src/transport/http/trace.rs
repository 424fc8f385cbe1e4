//! Propagates traces between callers, this daemon and upstreams, by W3C Trace Context.

use crate::transport::spans::RequestTrace;
use fastrace::Span;
use fastrace::collector::{Reporter, SpanContext, SpanRecord};
use rocket::fairing::{Fairing, Info, Kind};
use rocket::http::Header;
use rocket::{Request, Response};

/// Returns the trace context that the caller sent, or else a new one that stays the same for this
/// request.
pub fn trace_of(request: &Request<'_>) -> SpanContext {
    *request.local_cache(|| {
        let given = request.headers().get_one("traceparent");
        given.and_then(SpanContext::decode_w3c_traceparent).unwrap_or_else(SpanContext::random)
    })
}

/// Adds the request's `traceparent` header to every response.
pub struct TraceFairing;

#[rocket::async_trait]
impl Fairing for TraceFairing {
    fn info(&self) -> Info {
        Info { name: "trace", kind: Kind::Response }
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, response: &mut Response<'r>) {
        let trace = trace_of(request);
        response.set_header(Header::new("traceparent", trace.encode_w3c_traceparent()));
    }
}

/// Records a request as a root span with one child span per step, of which one is open at a time.
pub struct SpanTrace {
    step: Option<Span>,
    request: Span,
}

impl SpanTrace {
    /// Starts the root span of a request in the given trace.
    pub fn new(context: SpanContext) -> Self {
        Self { step: None, request: Span::root("request", context) }
    }
}

impl RequestTrace for SpanTrace {
    fn begin_span(&mut self, name: &'static str) {
        self.step = Some(Span::enter_with_parent(name, &self.request));
    }

    fn traceparent(&self) -> Option<String> {
        let span = self.step.as_ref().unwrap_or(&self.request);
        SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent())
    }
}

/// Writes each finished span as one log line, with its duration in microseconds.
pub struct SpanLogger;

impl Reporter for SpanLogger {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            log::info!(
                "span: {} trace={} id={} parent={} us={}",
                span.name,
                span.trace_id,
                span.span_id,
                span.parent_id,
                span.duration_ns / 1000
            );
        }
    }
}
