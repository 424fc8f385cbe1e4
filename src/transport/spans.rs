//! Follows a request from hop to hop, whatever records it.

/// Records the hops of one request.
pub trait RequestTrace: Send {
    /// Ends the current hop and begins another.
    fn begin_span(&mut self, name: &'static str);

    /// Returns the W3C trace context that upstreams are told.
    fn traceparent(&self) -> Option<String>;
}

/// Records nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTrace;

impl RequestTrace for NoTrace {
    fn begin_span(&mut self, _name: &'static str) {}

    fn traceparent(&self) -> Option<String> {
        None
    }
}
