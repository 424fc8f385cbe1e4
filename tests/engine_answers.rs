//! Tests of what counts as an engine's answer: its status comes first, and its size has a limit.

use apricotrun::coordination::flow::UpstreamFailure;
use apricotrun::coordination::store::KeyStore;
use apricotrun::state::ids::{AttemptId, RequestId};
use apricotrun::transport::consul::ConsulStore;
use apricotrun::transport::engine::{CallContext, EngineEvent, PlainCall, UpstreamClient};
use futures::StreamExt;
use serde_json::json;
use standins::server::free_address;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// What an engine may send of a body without end, with what the connection holds, in bytes.
const MAX_SENT_BYTES: usize = 16 * 1024 * 1024;
/// What a stand-in sends of such a body before it waits.
const OFFERED_BYTES: usize = 48 * 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
/// A stream that ends after no token.
const END: &str =
    "data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":0}}\n\n";

/// An engine that answers all requests but status checks with the same bytes.
#[derive(Clone)]
struct RawEngine {
    answer: String,
    /// Whether the answer's last bytes go on.
    endless: bool,
    sent: Arc<AtomicUsize>,
}

impl RawEngine {
    fn start(answer: &str, endless: bool) -> (SocketAddr, Arc<AtomicUsize>) {
        let listener = TcpListener::bind(free_address()).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let engine = Self { answer: answer.to_owned(), endless, sent: Arc::default() };
        let sent = engine.sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        (address, sent)
    }

    /// Serves one request; a write to a caller that has disconnected may fail, which is harmless.
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let (mut line, mut length, mut is_check) = (String::new(), 0, false);
        while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
            let text = line.to_ascii_lowercase();
            is_check |= text.starts_with("get /health");
            if let Some(value) = text.strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
            line.clear();
        }
        drop(reader.read_exact(&mut vec![0; length]));
        if is_check {
            return drop(stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        }
        drop(stream.write_all(self.answer.as_bytes()));
        let filler = [b'x'; 64 * 1024];
        while self.endless && self.sent.load(Ordering::Relaxed) < OFFERED_BYTES {
            if stream.write_all(&filler).is_err() {
                return;
            }
            self.sent.fetch_add(filler.len(), Ordering::Relaxed);
        }
        if self.endless {
            thread::sleep(TIMEOUT);
        }
    }
}

fn context() -> CallContext {
    let request = RequestId { entry: "a.1".parse().expect("valid id"), sequence: 1 };
    CallContext { attempt: AttemptId { request, attempt: 1 }, traceparent: None }
}

fn block_on<T>(future: impl Future<Output = T>) -> Option<T> {
    let runtime = tokio::runtime::Runtime::new().expect("started runtime");
    runtime.block_on(async { tokio::time::timeout(TIMEOUT, future).await.ok() })
}

/// Returns what a decode brings, up to its first failure; `None` if it does not end in time.
fn decode(address: SocketAddr) -> Option<Result<Vec<EngineEvent>, UpstreamFailure>> {
    let client = UpstreamClient::new().expect("built client");
    block_on(async {
        let (body, context) = (json!({}), context());
        let events = client.decode(address, "/v1/completions", &body, None, 0, &context).await?;
        let mut events = std::pin::pin!(events);
        let mut read = Vec::new();
        while let Some(event) = events.next().await {
            read.push(event?);
        }
        Ok(read)
    })
}

fn prefill(address: SocketAddr) -> Option<Result<(), UpstreamFailure>> {
    let client = UpstreamClient::new().expect("built client");
    block_on(async {
        client.prefill(address, "/v1/completions", &json!({}), &context()).await.map(drop)
    })
}

/// Guards against error answers that were read like others: as an empty stream that is complete, or a
/// prompt that has been read.
#[test]
fn error_of_an_engine_is_a_failure_whatever_its_body_is() {
    let handle = "{\"kv_transfer_params\":{\"a\":1}}";
    for status in [204, 206, 400, 404, 409, 500, 504] {
        let head = format!("HTTP/1.1 {status} Text\r\nConnection: close\r\n");
        let (address, _) = RawEngine::start(&format!("{head}\r\n{END}"), false);
        let decoded = decode(address).expect("an answer in time");
        assert_eq!(decoded, Err(UpstreamFailure::Broken), "decode: {status}");
        let (address, _) = RawEngine::start(&format!("{head}\r\n{handle}"), false);
        let prefilled = prefill(address).expect("an answer in time");
        assert_eq!(prefilled, Err(UpstreamFailure::Broken), "prefill: {status}");
    }
    let (address, _) = RawEngine::start(&format!("HTTP/1.1 200 OK\r\n\r\n{END}"), false);
    assert_eq!(decode(address), Some(Ok(vec![EngineEvent::End(0)])));
    let (address, _) = RawEngine::start(&format!("HTTP/1.1 200 OK\r\n\r\n{handle}"), false);
    assert_eq!(prefill(address), Some(Ok(())));
}

/// Guards against a status that HTTP does not have and that a caller got as the answer to a plain call.
#[test]
fn answer_with_a_status_that_http_does_not_have_is_a_failure() {
    for status in ["000", "600", "999"] {
        let answer = format!("HTTP/1.1 {status} Text\r\nContent-Length: 4\r\n\r\nbody");
        let (address, _) = RawEngine::start(&answer, false);
        let client = UpstreamClient::new().expect("built client");
        let call = PlainCall {
            body: Vec::new(),
            content_type: None,
            method: "POST".to_owned(),
            path: "/a".to_owned(),
        };
        let called = block_on(async { client.call(address, &call, &context()).await });
        assert_eq!(called, Some(Err(UpstreamFailure::Broken)), "{status}");
    }
}

/// Guards against memory that an engine's answer fills: an event or a prefill answer without end.
#[test]
fn engine_that_sends_an_event_without_end_is_given_up() {
    let (address, sent) = RawEngine::start("HTTP/1.1 200 OK\r\n\r\ndata: ", true);
    let decoded = decode(address);
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes of one event were taken: {decoded:?}");
    assert_eq!(decoded, Some(Err(UpstreamFailure::Broken)));
}

#[test]
fn engine_that_sends_a_prefill_answer_without_end_is_given_up() {
    let (address, sent) = RawEngine::start("HTTP/1.1 200 OK\r\n\r\n{\"a\":\"", true);
    let prefilled = prefill(address);
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were taken: {prefilled:?}");
    assert_eq!(prefilled, Some(Err(UpstreamFailure::Broken)));
}

/// Guards against a list of models without end that filled the memory until its call timed out.
#[test]
fn engine_that_sends_a_list_of_models_without_end_is_given_up() {
    let (address, sent) = RawEngine::start("HTTP/1.1 200 OK\r\n\r\n{\"data\":\"", true);
    let client = UpstreamClient::new().expect("built client");
    let adapters = block_on(async { client.adapters(address).await });
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were taken: {adapters:?}");
    assert_eq!(adapters, Some(None));
}

/// The same for the store.
#[test]
fn store_that_sends_a_value_without_end_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\nX-Consul-Index: 1\r\n\r\n[{\"Value\":\"";
    let (address, sent) = RawEngine::start(head, true);
    let store = ConsulStore::new(address).expect("built client");
    let value = block_on(store.get("a"));
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were taken");
    assert!(matches!(value, Some(Err(_))), "{value:?}");
}

/// A long answer of small events, and one large event, are no reason to give an engine up.
#[test]
fn engine_whose_events_are_within_the_limit_is_read_to_its_end() {
    let text = "x".repeat(100_000);
    for end in ["\n\n", "\r\n\r\n", "\r\r"] {
        let token = |index: usize| {
            format!("data: {{\"choices\":[{{\"text\":\"{text}\"}}],\"token_index\":{index}}}{end}")
        };
        let tokens: String = (0..12).map(token).collect();
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{tokens}{END}");
        let (address, _) = RawEngine::start(&answer, false);
        let decoded = decode(address).expect("an answer in time").expect("a sound stream");
        assert_eq!(decoded.len(), 13, "{end:?}");
    }
}
