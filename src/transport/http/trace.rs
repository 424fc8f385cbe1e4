//! Takes a caller's trace in and gives the request's trace back out, by W3C Trace Context.

use fastrace::collector::SpanContext;
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
