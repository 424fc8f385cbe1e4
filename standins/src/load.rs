//! An open-loop load: seeded arrivals that do not wait for answers, as callers do.

use crate::engine::expected_answer;
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

/// Where the load goes.
#[derive(Clone, Debug)]
pub enum LoadTarget {
    /// Straight to a prefill and a decode engine, which is the cost without a router.
    Engines {
        /// The prefill engine.
        prefill: SocketAddr,
        /// The decode engine.
        decode: SocketAddr,
    },
    /// To daemons, in turn, with an account's key.
    Daemons {
        /// The daemons.
        addresses: Vec<SocketAddr>,
        /// The key.
        key: String,
    },
}

/// How much load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The answers' length, in tokens.
    pub answer: u32,
    /// The target for the time between tokens.
    pub between_target: Duration,
    /// The target for the first token.
    pub first_target: Duration,
    /// How long arrivals last.
    pub duration: Duration,
    /// The prompts' length, in bytes.
    pub prompt_bytes: usize,
    /// The arrivals a second.
    pub rate: f64,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// What became of the load. Times are in microseconds.
#[derive(Debug)]
pub struct LoadReport {
    /// From request to first token.
    pub first: Histogram<u64>,
    /// Between two tokens.
    pub between: Histogram<u64>,
    /// The requests that were sent.
    pub sent: u64,
    /// Those whose answer was whole and right.
    pub whole: u64,
    /// Those of them that met both targets.
    pub good: u64,
    /// Those that were refused.
    pub refused: u64,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self { first: histogram(), between: histogram(), sent: 0, whole: 0, good: 0, refused: 0 }
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
            self.whole,
            self.good,
            self.refused,
            ms(&self.first, 0.5),
            ms(&self.first, 0.95),
            ms(&self.first, 0.99),
            ms(&self.between, 0.5),
            ms(&self.between, 0.95),
            ms(&self.between, 0.99),
        )
    }
}

/// Sends the load and waits for the last answer.
pub async fn run(target: &LoadTarget, plan: &LoadPlan) -> LoadReport {
    let client = Client::builder().no_proxy().tcp_nodelay(true).build().expect("a client");
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

struct LoadSender {
    client: Client,
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
        let response = self.open(&prompt).await;
        let tokens = match response {
            Some(response) => read_tokens(response).await,
            None => Vec::new(),
        };
        let mut report = self.report.lock().await;
        report.sent += 1;
        let text: String = tokens.iter().map(|(_, text)| text.as_str()).collect();
        if text != expected_answer(&prompt, self.plan.answer) {
            report.refused += 1;
            return;
        }
        report.whole += 1;
        self.record(&mut report, started, &tokens);
    }

    fn record(&self, report: &mut LoadReport, started: Instant, tokens: &[(Instant, String)]) {
        let micros = |time: Duration| time.as_micros() as u64;
        let (first, last) = (tokens[0].0, tokens[tokens.len() - 1].0);
        let _ = report.first.record(micros(first - started));
        for pair in tokens.windows(2) {
            let _ = report.between.record(micros(pair[1].0 - pair[0].0));
        }
        let between = (last - first) / (tokens.len() as u32 - 1).max(1);
        let good = first - started <= self.plan.first_target && between <= self.plan.between_target;
        report.good += u64::from(good);
    }

    async fn open(&self, prompt: &str) -> Option<Response> {
        let body = json!({
            "model": "fitting-7b", "prompt": prompt, "max_tokens": self.plan.answer, "stream": true,
        });
        match &self.target {
            LoadTarget::Daemons { addresses, key } => {
                let address = addresses[self.number % addresses.len()];
                let request = self.client.post(format!("http://{address}/v1/completions"));
                request.bearer_auth(key).json(&body).send().await.ok()
            }
            LoadTarget::Engines { prefill, decode } => {
                let mut first = body.clone();
                first["max_tokens"] = json!(1);
                first["stream"] = json!(false);
                first["kv_transfer_params"] = json!({ "do_remote_decode": true });
                let answer: Value = self.call(*prefill, &first).await?.json().await.ok()?;
                let mut second = body;
                second["kv_transfer_params"] = answer["kv_transfer_params"].clone();
                self.call(*decode, &second).await
            }
        }
    }

    async fn call(&self, address: SocketAddr, body: &Value) -> Option<Response> {
        let request = self.client.post(format!("http://{address}/v1/completions"));
        let id = format!("load-{}", self.number);
        request.header("X-Request-Id", id).json(body).send().await.ok()
    }
}

/// Reads the tokens of a streamed answer with the times of their arrival.
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
