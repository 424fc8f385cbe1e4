//! Answers to callers: what an upstream said, or a refusal.

use crate::prelude::*;
use crate::transport::gateway::bodies::BodyReservation;
use crate::transport::requests::ResponsePart;
use bytes::Bytes;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use std::collections::BTreeSet;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// When to come back if nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How much of a whole body is handed to the connection at once: what a slow caller has not taken
/// yet stays with its [`BodyRoom`].
const CHUNK_BYTES: usize = 64 * 1024;

/// A stream that ended without its last event; the connection is cut so that it does not look
/// whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer ended before its last event")]
pub struct TruncatedStream;

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    /// The caller has left, or no byte reaches it any more.
    CallerLeft,
    /// It was refused or cut.
    Refused(Refusal),
    /// It was passed on whole.
    Whole,
}

/// Called once when an answer has ended.
pub type CompletionHook = Box<dyn FnOnce(ResponseOutcome) + Send>;

/// The body of an answer.
pub enum ResponseBody {
    /// What is left of a body that is known whole, and the memory that it takes.
    Whole(Bytes, BodyReservation),
    /// The events of a stream as they come.
    Events {
        /// The first event, which has already come.
        first: Option<String>,
        /// Called once when the stream has ended.
        ended: Option<CompletionHook>,
        /// The others.
        parts: Receiver<ResponsePart>,
    },
}

impl ResponseBody {
    /// Returns a short body of this daemon's own.
    pub fn from_text(text: String) -> Self {
        Self::Whole(text.into(), BodyReservation::default())
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Self::Events { ended, .. } = self
            && let Some(ended) = ended.take()
        {
            ended(ResponseOutcome::CallerLeft);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        match self.get_mut() {
            Self::Whole(bytes, _) => {
                let piece = bytes.split_to(bytes.len().min(CHUNK_BYTES));
                Poll::Ready((!piece.is_empty()).then(|| Ok(Frame::data(piece))))
            }
            Self::Events { first, ended, parts } => {
                if let Some(text) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(text.into()))));
                }
                poll_events(ended, parts, context)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes, _) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}

fn poll_events(
    ended: &mut Option<CompletionHook>,
    parts: &mut Receiver<ResponsePart>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
    loop {
        let part = std::task::ready!(parts.poll_recv(context));
        let end = match part {
            Some(ResponsePart::Text(text)) => {
                return Poll::Ready(Some(Ok(Frame::data(text.into()))));
            }
            Some(ResponsePart::Opened | ResponsePart::Answer(_)) => continue,
            Some(ResponsePart::Finished) => ResponseOutcome::Whole,
            Some(ResponsePart::Refused(refusal)) => ResponseOutcome::Refused(refusal),
            None => ResponseOutcome::Refused(driver_lost()),
        };
        if let Some(ended) = ended.take() {
            ended(end);
        }
        return Poll::Ready((end != ResponseOutcome::Whole).then_some(Err(TruncatedStream)));
    }
}

/// Returns the refusal of a request whose driver ended without a word.
pub fn driver_lost() -> Refusal {
    Refusal::not_run(RefusalReason::UpstreamFailed).with_verdict(Verdict::MayHaveRun)
}

/// Returns the status for a refusal. Only the statuses 404, 408, 413, 421, 429 and 503 say that a
/// request has not run, and callers rely on it.
pub fn status_of(refusal: &Refusal) -> StatusCode {
    match (refusal.verdict, refusal.reason) {
        (Verdict::NotRun, RefusalReason::Overloaded | RefusalReason::AccountLimit) => {
            StatusCode::TOO_MANY_REQUESTS
        }
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the answer for a refusal, with the time to come back if the request has not run.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = text_response(status_of(refusal), &refusal.reason.to_string());
    if refusal.verdict == Verdict::NotRun {
        let wait = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns an answer of this daemon's own.
pub fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_text(format!("{text}\n")));
    *response.status_mut() = status;
    let media = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

/// Removes the headers that concern only one connection, those named by `Connection` among them.
pub fn drop_connection_headers(headers: &mut HeaderMap) {
    let named: BTreeSet<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        if let Ok(name) = HeaderName::try_from(name) {
            headers.remove(name);
        }
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ] {
        headers.remove(name);
    }
}
