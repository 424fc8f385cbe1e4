//! Tracing of a request, independent of the recorder.

/// Records the spans of one request.
pub trait RequestTrace: Send {
    /// Ends the current span and begins another.
    fn begin_span(&mut self, name: &'static str);

    /// Returns the W3C trace context that is sent to upstreams, if the request is traced.
    fn traceparent(&self) -> Option<String>;
}

/// A trace that records nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTrace;

impl RequestTrace for NoTrace {
    fn begin_span(&mut self, _name: &'static str) {}

    fn traceparent(&self) -> Option<String> {
        None
    }
}
