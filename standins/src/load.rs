//! An open-loop load generator: seeded random arrivals that do not wait for earlier responses, as
//! independent callers do not.

use crate::engine::expected_output;
use futures::StreamExt;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, Response};
use serde_json::{Value, json};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// The servers that receive the load.
#[derive(Clone, Debug)]
pub enum LoadTarget {
    /// A pair of engines without a router, as the baseline of a measurement.
    Engines {
        /// The prefill worker's address.
        prefill: SocketAddr,
        /// The decode worker's address.
        decode: SocketAddr,
    },
    /// Daemons, used in turn.
    Daemons {
        /// The daemons' addresses for callers.
        addresses: Vec<SocketAddr>,
        /// The bearer key of the account.
        key: String,
    },
}

/// The rate and shape of a load, and the latency targets that its report counts against.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The length of each response, in tokens.
    pub output_tokens: u32,
    /// The target for the average time between two tokens of a response.
    pub inter_token_target: Duration,
    /// The target for the time to first token.
    pub first_token_target: Duration,
    /// The time during which requests arrive.
    pub duration: Duration,
    /// The length of each prompt, in bytes.
    pub prompt_bytes: usize,
    /// The average number of arrivals per second.
    pub rate: f64,
    /// The seed of the arrival times.
    pub seed: u64,
}

/// The results of a load. Times are in microseconds.
#[derive(Debug)]
pub struct LoadReport {
    /// The time to first token of complete responses.
    pub first_token: Histogram<u64>,
    /// The time between successive tokens of complete responses.
    pub inter_token: Histogram<u64>,
    /// The number of requests sent.
    pub sent: u64,
    /// The number of complete and correct responses.
    pub complete: u64,
    /// The number of complete responses that met both latency targets.
    pub good: u64,
    /// The number of requests refused, or answered with an incomplete or wrong response.
    pub failed: u64,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            first_token: histogram(),
            inter_token: histogram(),
            sent: 0,
            complete: 0,
            good: 0,
            failed: 0,
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        write!(
            f,
            "sent {} whole {} good {} refused {} first_ms p50 {:.2} p95 {:.2} p99 {:.2} \
             between_ms p50 {:.3} p95 {:.3} p99 {:.3}",
            self.sent,
            self.complete,
            self.good,
            self.failed,
            ms(&self.first_token, 0.5),
            ms(&self.first_token, 0.95),
            ms(&self.first_token, 0.99),
            ms(&self.inter_token, 0.5),
            ms(&self.inter_token, 0.95),
            ms(&self.inter_token, 0.99),
        )
    }
}

/// Sends the load, waits until every request is answered or has failed, and returns the results.
pub async fn run(target: &LoadTarget, plan: &LoadPlan) -> LoadReport {
    let client = Client::builder().no_proxy().tcp_nodelay(true).build().expect("HTTP client");
    let report = Arc::new(Mutex::new(LoadReport::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    for number in 0.. {
        let gap = -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / plan.rate;
        at += Duration::from_secs_f64(gap);
        if at >= plan.duration {
            break;
        }
        tokio::time::sleep_until((started + at).into()).await;
        let sender = LoadSender {
            client: client.clone(),
            number,
            plan: plan.clone(),
            report: report.clone(),
            target: target.clone(),
        };
        tasks.push(tokio::spawn(sender.send()));
    }
    for task in tasks {
        let _ = task.await;
    }
    Arc::try_unwrap(report).expect("all senders have ended").into_inner()
}

/// The sender of one request.
struct LoadSender {
    client: Client,
    /// The position of the request among the arrivals.
    number: usize,
    plan: LoadPlan,
    report: Arc<Mutex<LoadReport>>,
    target: LoadTarget,
}

impl LoadSender {
    async fn send(self) {
        let mut prompt = format!("{} ", self.number);
        prompt.push_str(&"x".repeat(self.plan.prompt_bytes.saturating_sub(prompt.len())));
        let started = Instant::now();
        let response = self.request(&prompt).await;
        let tokens = match response {
            Some(response) => read_tokens(response).await,
            None => Vec::new(),
        };
        let mut report = self.report.lock().await;
        report.sent += 1;
        let text: String = tokens.iter().map(|(_, text)| text.as_str()).collect();
        if text != expected_output(&prompt, self.plan.output_tokens) {
            report.failed += 1;
            return;
        }
        report.complete += 1;
        self.record(&mut report, started, &tokens);
    }

    /// Adds the times of a complete response to the report.
    fn record(&self, report: &mut LoadReport, started: Instant, tokens: &[(Instant, String)]) {
        let micros = |time: Duration| time.as_micros() as u64;
        let (first, last) = (tokens[0].0, tokens[tokens.len() - 1].0);
        let _ = report.first_token.record(micros(first - started));
        for pair in tokens.windows(2) {
            let _ = report.inter_token.record(micros(pair[1].0 - pair[0].0));
        }
        let inter_token = (last - first) / (tokens.len() as u32 - 1).max(1);
        let good = first - started <= self.plan.first_token_target
            && inter_token <= self.plan.inter_token_target;
        report.good += u64::from(good);
    }

    /// Sends the request to the target and returns the response, which streams the tokens.
    async fn request(&self, prompt: &str) -> Option<Response> {
        let body = json!({
            "model": "fitting-7b",
            "prompt": prompt,
            "max_tokens": self.plan.output_tokens,
            "stream": true,
        });
        match &self.target {
            LoadTarget::Daemons { addresses, key } => {
                let address = addresses[self.number % addresses.len()];
                let request = self.client.post(format!("http://{address}/v1/completions"));
                request.bearer_auth(key).json(&body).send().await.ok()
            }
            LoadTarget::Engines { prefill, decode } => {
                let mut prefill_body = body.clone();
                prefill_body["max_tokens"] = json!(1);
                prefill_body["stream"] = json!(false);
                prefill_body["kv_transfer_params"] = json!({ "do_remote_decode": true });
                let prefilled: Value =
                    self.call_engine(*prefill, &prefill_body).await?.json().await.ok()?;
                let mut decode_body = body;
                decode_body["kv_transfer_params"] = prefilled["kv_transfer_params"].clone();
                self.call_engine(*decode, &decode_body).await
            }
        }
    }

    async fn call_engine(&self, address: SocketAddr, body: &Value) -> Option<Response> {
        let request = self.client.post(format!("http://{address}/v1/completions"));
        let id = format!("load-{}", self.number);
        request.header("X-Request-Id", id).json(body).send().await.ok()
    }
}

/// Reads a streamed response to its end and returns each token with its time of arrival.
async fn read_tokens(response: Response) -> Vec<(Instant, String)> {
    let mut tokens = Vec::new();
    let mut pending = Vec::new();
    let mut stream = response.bytes_stream();
    while let Some(Ok(bytes)) = stream.next().await {
        let now = Instant::now();
        pending.extend_from_slice(&bytes);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            let Ok(value) = serde_json::from_slice::<Value>(data) else { continue };
            let text = value["choices"][0]["text"].as_str().unwrap_or_default();
            if !text.is_empty() {
                tokens.push((now, text.to_owned()));
            }
        }
    }
    tokens
}
