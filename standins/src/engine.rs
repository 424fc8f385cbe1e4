//! A stand-in inference engine that serves as prefill or decode worker, with slots, eviction of
//! stored prefill results, a rate-limited transfer link, cancellation and resumption. Its output is
//! a function of the prompt, so that a test can verify a complete response.

mod decode;

use crate::server::{KillSwitch, StandinServer};
use decode::DecodeRun;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::response::stream::{Event, EventStream, stream};
use rocket::serde::json::Json;
use rocket::{Request, State, get, post, request, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Prompt bytes per token, in place of a tokenizer.
const BYTES_PER_TOKEN: usize = 4;
/// The time for which a fault switch blocks a prefill, transfer or cancellation.
const STALL_DURATION: Duration = Duration::from_secs(3600);

/// The capacity and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The time after which a prefill result is evicted if no decode worker has fetched it.
    pub eviction: Duration,
    /// The rate at which prefill results are transferred into this engine, in tokens per second.
    pub link_tokens_per_second: f64,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// The number of requests that can run concurrently.
    pub slots: usize,
    /// The time between two output tokens; zero sends them without delay.
    pub token_time: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            eviction: Duration::from_millis(800),
            link_tokens_per_second: 1_000_000.0,
            prefill_tokens_per_second: 50_000.0,
            slots: 20,
            token_time: Duration::from_millis(5),
        }
    }
}

/// The engine's fault switches, set by `POST /faults`. Every switch is off by default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Keeps runs going after their caller has disconnected.
    pub keep_after_disconnect: bool,
    /// Closes the response stream after this many tokens, without an end marker.
    pub break_after: Option<u32>,
    /// Sends every token twice.
    pub double_tokens: bool,
    /// Precedes each token with one that carries another request's id.
    pub foreign_tokens: bool,
    /// Sends each pair of tokens in reverse order.
    pub swap_tokens: bool,
    /// Blocks prefills.
    pub stall_prefill: bool,
    /// Blocks transfers into this engine.
    pub stall_transfer: bool,
    /// Rejects orders whose fencing token is lower than the highest one seen.
    pub checks_fencing: bool,
    /// The time that the execution of an order takes, in milliseconds.
    pub slow_order_ms: u64,
    /// Blocks the handling of cancellations.
    #[serde(rename = "deaf_to_cancel")]
    pub ignores_cancel: bool,
}

/// The engine's counters and current state, as `GET /report` returns them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineReport {
    /// The ids of the requests that currently hold a slot.
    pub running: BTreeSet<String>,
    /// The highest number of slots held at the same time.
    pub peak: usize,
    /// The number of completed prefills.
    pub prefills: u64,
    /// The number of prefill results that were evicted before a decode worker fetched them.
    pub evicted: u64,
    /// The number of requests that arrived after their cancellation and were rejected.
    pub late_starts: u64,
    /// The names of the loaded LoRA adapters.
    pub adapters: BTreeSet<String>,
    /// The executed orders in order of completion: fencing token, then action and adapter.
    pub orders: Vec<(u64, String)>,
    /// The number of orders rejected for an outdated fencing token.
    pub stale_orders: u64,
    /// The number of requests that have been given a slot.
    pub started: u64,
}

/// A request that holds a slot.
struct RunningRequest {
    /// The decode run, once it is spawned; a prefill has none.
    task: Option<AbortHandle>,
}

#[derive(Default)]
struct EngineState {
    /// The ids of the cancelled requests, which may not start later.
    cancelled: BTreeSet<String>,
    faults: EngineFaults,
    /// The highest fencing token seen.
    fence: u64,
    /// By request id: when the prefill completed, and the prompt's length in tokens.
    prefill_results: BTreeMap<String, (Instant, usize)>,
    report: EngineReport,
    running: BTreeMap<String, RunningRequest>,
}

/// A running engine, shared by its request handlers.
#[derive(Clone)]
pub struct Engine {
    address: SocketAddr,
    client: reqwest::Client,
    config: EngineConfig,
    kill: KillSwitch,
    /// Serializes transfers into this engine, which share one link.
    link: Arc<tokio::sync::Mutex<()>>,
    state: Arc<Mutex<EngineState>>,
}

/// Starts an engine on an address; port 0 selects a free one.
pub fn start(address: SocketAddr, config: EngineConfig) -> StandinServer {
    let address = crate::server::with_free_port(address);
    StandinServer::start(address, |rocket, kill| {
        let engine = Engine {
            address,
            client: reqwest::Client::builder().no_proxy().build().expect("HTTP client"),
            config,
            kill,
            link: Arc::default(),
            state: Arc::default(),
        };
        rocket.manage(engine).mount(
            "/",
            routes![
                abort,
                chat,
                complete,
                faults,
                fetch_kv,
                health,
                load,
                load_adapter,
                models,
                report,
                unload_adapter
            ],
        )
    })
}

/// Returns the text of the output token at an index, which depends on the prompt alone.
pub fn token_text(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (prompt, index).hash(&mut hasher);
    format!(" {:04x}", hasher.finish() & 0xffff)
}

/// Returns the complete output text of a prompt for a number of tokens.
pub fn expected_output(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// The attempt's id from `X-Request-Id`; `anonymous` if the header is absent.
struct AttemptIdHeader(String);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for AttemptIdHeader {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, Infallible> {
        let id = request.headers().get_one("X-Request-Id");
        request::Outcome::Success(Self(id.unwrap_or("anonymous").to_owned()))
    }
}

type EngineResult = Result<EngineResponse, (Status, String)>;

enum EngineResponse {
    Stream(EventStream<futures::stream::BoxStream<'static, Event>>),
    Complete(Json<Value>),
}

impl<'r> Responder<'r, 'r> for EngineResponse {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        match self {
            Self::Stream(events) => events.respond_to(request),
            Self::Complete(body) => body.respond_to(request),
        }
    }
}

#[post("/v1/completions", data = "<body>")]
async fn complete(engine: &State<Engine>, id: AttemptIdHeader, body: Json<Value>) -> EngineResult {
    let prompt = body["prompt"].as_str().unwrap_or_default().to_owned();
    engine.serve(id.0, prompt, body.into_inner(), false).await
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(engine: &State<Engine>, id: AttemptIdHeader, body: Json<Value>) -> EngineResult {
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts = messages.iter().filter_map(|message| message["content"].as_str());
    let prompt = texts.collect::<Vec<_>>().join("\n");
    engine.serve(id.0, prompt, body.into_inner(), true).await
}

#[post("/abort_requests", data = "<body>")]
async fn abort(engine: &State<Engine>, body: Json<Value>) -> Status {
    if engine.state().faults.ignores_cancel {
        tokio::time::sleep(STALL_DURATION).await;
    }
    let ids = body["request_ids"].as_array().cloned().unwrap_or_default();
    for id in ids.iter().filter_map(Value::as_str) {
        engine.cancel(id);
    }
    Status::Ok
}

#[get("/kv/<id>")]
fn fetch_kv(engine: &State<Engine>, id: &str) -> Result<String, Status> {
    let mut state = engine.state();
    engine.evict(&mut state);
    match state.prefill_results.remove(id) {
        Some((_, tokens)) => Ok(tokens.to_string()),
        None => Err(Status::NotFound),
    }
}

#[get("/health")]
fn health() -> &'static str {
    "ok"
}

/// The fencing token from `X-Fencing-Number`; 0 if the header is absent or invalid.
struct FencingTokenHeader(u64);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for FencingTokenHeader {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, Infallible> {
        let number = request.headers().get_one("X-Fencing-Number");
        request::Outcome::Success(Self(number.and_then(|n| n.parse().ok()).unwrap_or(0)))
    }
}

#[get("/v1/models")]
fn models(engine: &State<Engine>) -> Json<Value> {
    let state = engine.state();
    let adapter = |name: &String| json!({ "id": name, "parent": "base" });
    let mut models: Vec<_> = state.report.adapters.iter().map(adapter).collect();
    models.push(json!({ "id": "base", "parent": null }));
    Json(json!({ "object": "list", "data": models }))
}

#[post("/v1/load_lora_adapter", data = "<body>")]
async fn load_adapter(
    engine: &State<Engine>,
    fence: FencingTokenHeader,
    body: Json<Value>,
) -> Result<(), Status> {
    let name = body["lora_name"].as_str().ok_or(Status::BadRequest)?;
    engine.execute_order(fence.0, "load", name).await?;
    engine.state().report.adapters.insert(name.to_owned());
    Ok(())
}

#[post("/v1/unload_lora_adapter", data = "<body>")]
async fn unload_adapter(
    engine: &State<Engine>,
    fence: FencingTokenHeader,
    body: Json<Value>,
) -> Result<(), Status> {
    let name = body["lora_name"].as_str().ok_or(Status::BadRequest)?;
    engine.execute_order(fence.0, "unload", name).await?;
    engine.state().report.adapters.remove(name);
    Ok(())
}

#[get("/load")]
fn load(engine: &State<Engine>) -> Json<Value> {
    Json(json!({ "server_load": engine.state().running.len() }))
}

#[get("/report")]
fn report(engine: &State<Engine>) -> Json<EngineReport> {
    let mut state = engine.state();
    engine.evict(&mut state);
    let mut report = state.report.clone();
    report.running = state.running.keys().cloned().collect();
    Json(report)
}

#[post("/faults", data = "<faults>")]
fn faults(engine: &State<Engine>, faults: Json<EngineFaults>) -> Status {
    engine.state().faults = faults.into_inner();
    Status::NoContent
}

/// Releases a request's slot when its prefill or run ends or is aborted.
struct SlotGuard {
    engine: Engine,
    id: String,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.engine.state().running.remove(&self.id);
    }
}

/// Aborts a run when its response stream is dropped, as it is when the caller disconnects; does
/// nothing if `keep_after_disconnect` is on.
struct DisconnectGuard {
    engine: Engine,
    task: AbortHandle,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.engine.state().faults.keep_after_disconnect {
            self.task.abort();
        }
    }
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Executes an order, or rejects an outdated fencing token if `checks_fencing` is on.
    async fn execute_order(&self, fence: u64, action: &str, name: &str) -> Result<(), Status> {
        let time = {
            let mut state = self.state();
            if state.faults.checks_fencing && fence < state.fence {
                state.report.stale_orders += 1;
                return Err(Status::PreconditionFailed);
            }
            state.fence = state.fence.max(fence);
            state.faults.slow_order_ms
        };
        tokio::time::sleep(Duration::from_millis(time)).await;
        self.state().report.orders.push((fence, format!("{action} {name}")));
        Ok(())
    }

    /// Drops the prefill results whose storage time is over, and counts them.
    fn evict(&self, state: &mut EngineState) {
        let eviction = self.config.eviction;
        let before = state.prefill_results.len();
        state.prefill_results.retain(|_, (at, _)| at.elapsed() < eviction);
        state.report.evicted += (before - state.prefill_results.len()) as u64;
    }

    fn cancel(&self, id: &str) {
        let mut state = self.state();
        state.cancelled.insert(id.to_owned());
        state.prefill_results.remove(id);
        let running = state.running.remove(id);
        drop(state);
        if let Some(task) = running.and_then(|running| running.task) {
            task.abort();
        }
    }

    fn acquire_slot(&self, id: &str) -> Result<SlotGuard, (Status, String)> {
        let mut state = self.state();
        if state.cancelled.contains(id) {
            state.report.late_starts += 1;
            return Err((Status::Gone, "the request was cancelled".to_owned()));
        }
        if state.running.len() >= self.config.slots {
            return Err((Status::TooManyRequests, "no slot is free".to_owned()));
        }
        state.running.insert(id.to_owned(), RunningRequest { task: None });
        state.report.started += 1;
        state.report.peak = state.report.peak.max(state.running.len());
        Ok(SlotGuard { engine: self.clone(), id: id.to_owned() })
    }

    fn crashes_on(&self, prompt: &str) -> bool {
        let state = self.state();
        state.faults.crash_on.as_ref().is_some_and(|text| prompt.contains(text))
    }

    async fn serve(&self, id: String, prompt: String, body: Value, chat: bool) -> EngineResult {
        let guard = self.acquire_slot(&id)?;
        if self.crashes_on(&prompt) {
            // A crashed engine must not respond, even while its server is still shutting down.
            self.kill.kill();
            std::future::pending::<()>().await;
        }
        let transfer = &body["kv_transfer_params"];
        if transfer["do_remote_decode"] == json!(true) {
            return self.prefill(guard, prompt).await;
        }
        let from = body["continue_from"].as_u64().unwrap_or(0) as u32;
        let total = body["max_tokens"].as_u64().unwrap_or(16) as u32;
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let run = DecodeRun {
            chat,
            engine: self.clone(),
            from,
            guard,
            id: id.clone(),
            model: body["model"].clone(),
            prompt,
            sender,
            total,
            transfer: transfer.clone(),
        };
        let task = tokio::spawn(run.run()).abort_handle();
        if let Some(running) = self.state().running.get_mut(&id) {
            running.task = Some(task.clone());
        }
        let guard = DisconnectGuard { engine: self.clone(), task };
        let events = stream! {
            let _guard = guard;
            while let Some(event) = receiver.recv().await {
                yield event;
            }
        };
        let events: futures::stream::BoxStream<'static, Event> = Box::pin(events);
        Ok(EngineResponse::Stream(EventStream::from(events).heartbeat(Duration::from_millis(200))))
    }

    async fn prefill(&self, guard: SlotGuard, prompt: String) -> EngineResult {
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
        if self.state().faults.stall_prefill {
            tokio::time::sleep(STALL_DURATION).await;
        }
        let time = tokens as f64 / self.config.prefill_tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(time)).await;
        let id = guard.id.clone();
        drop(guard);
        let mut state = self.state();
        if state.cancelled.contains(&id) {
            return Err((Status::Gone, "the request was cancelled".to_owned()));
        }
        state.report.prefills += 1;
        state.prefill_results.insert(id.clone(), (Instant::now(), tokens));
        let handle = json!({
            "do_remote_prefill": true,
            "remote_host": self.address.ip().to_string(),
            "remote_port": self.address.port(),
            "remote_request_id": id,
        });
        Ok(EngineResponse::Complete(Json(json!({ "id": id, "kv_transfer_params": handle }))))
    }
}
