//! Takes a caller's trace in and gives the request's trace back out, by W3C Trace Context.

use crate::transport::spans::RequestTrace;
use fastrace::Span;
use fastrace::collector::{Reporter, SpanContext, SpanRecord};
use rocket::fairing::{Fairing, Info, Kind};
use rocket::http::Header;
use rocket::{Request, Response};

/// Returns the trace that a request belongs to, a new one if the caller has none.
pub fn trace_of(request: &Request<'_>) -> SpanContext {
    *request.local_cache(|| {
        let given = request.headers().get_one("traceparent");
        given.and_then(SpanContext::decode_w3c_traceparent).unwrap_or_else(SpanContext::random)
    })
}

/// Adds the trace to every answer.
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

/// Records a request's hops as spans.
pub struct SpanTrace {
    hop: Option<Span>,
    request: Span,
}

impl SpanTrace {
    /// Returns the trace of a request that begins now.
    pub fn new(context: SpanContext) -> Self {
        Self { hop: None, request: Span::root("request", context) }
    }
}

impl RequestTrace for SpanTrace {
    fn begin_span(&mut self, name: &'static str) {
        self.hop = Some(Span::enter_with_parent(name, &self.request));
    }

    fn traceparent(&self) -> Option<String> {
        let span = self.hop.as_ref().unwrap_or(&self.request);
        SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent())
    }
}

/// Writes each finished span as one log line.
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
