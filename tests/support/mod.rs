//! Helpers for the tests with real processes: they start a deployment, send requests to it as its
//! callers do, and query and control its stand-in engines.
#![allow(dead_code, reason = "each test file uses a part")]

use serde_json::{Value, json};
use standins::engine::EngineReport;
use standins::fleet::{DESK_KEY, Fleet, FleetDaemon, FleetOptions, binaries_folder};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a test waits for a condition or a response on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the options of a small deployment of the built programs.
pub fn options() -> FleetOptions {
    FleetOptions::new(&binaries_folder())
}

/// Starts a deployment; fails the test if it does not start.
pub fn start(options: FleetOptions) -> Fleet {
    Fleet::start(options).expect("the deployment starts")
}

/// A response as its caller received it.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    pub status: u16,
    /// The `Apricotrun-Verdict` header.
    pub verdict: Option<String>,
    /// Whether the response has the `Apricotrun-Replayed` header.
    pub replayed: bool,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<String>,
    /// The `Apricotrun-Return` header.
    pub return_pass: Option<String>,
    pub body: String,
}

impl CallerResponse {
    /// Parses the body as JSON; returns `Null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(self.body.trim()).unwrap_or(Value::Null)
    }

    /// Joins the texts of a streamed response; returns `None` if the stream lacks its end marker.
    pub fn streamed_text(&self) -> Option<String> {
        let events: Vec<_> = self.body.lines().filter_map(|l| l.strip_prefix("data:")).collect();
        if events.last() != Some(&"[DONE]") {
            return None;
        }
        let text = |event: &&str| {
            let value: Value = serde_json::from_str(event).ok()?;
            value["choices"][0]["text"].as_str().map(str::to_owned)
        };
        Some(events.iter().filter_map(text).collect())
    }
}

/// An HTTP client with the key of an account; it reuses no connection.
pub struct Caller {
    client: reqwest::blocking::Client,
    key: String,
}

impl Default for Caller {
    fn default() -> Self {
        Self::with_key(DESK_KEY)
    }
}

impl Caller {
    pub fn with_key(key: &str) -> Self {
        let client = reqwest::blocking::Client::builder()
            .no_proxy()
            .timeout(WAIT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .build()
            .expect("HTTP client");
        Self { client, key: key.to_owned() }
    }

    pub fn send(
        &self,
        daemon: &FleetDaemon,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<CallerResponse, reqwest::Error> {
        let method = method.parse().expect("a method");
        let mut request = self
            .client
            .request(method, daemon.url(path))
            .bearer_auth(&self.key)
            .body(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(read_response(request.send()?))
    }

    /// Requests a streamed completion.
    pub fn complete(&self, daemon: &FleetDaemon, prompt: &str, tokens: u32) -> CallerResponse {
        let body = completion(prompt, tokens, true);
        self.send(daemon, "POST", "/v1/completions", &[], &body).expect("response")
    }

    /// Requests a booking with a header, such as a ticket or an idempotency key.
    pub fn request_booking(
        &self,
        daemon: &FleetDaemon,
        header: (&str, &str),
        body: &str,
    ) -> Result<CallerResponse, reqwest::Error> {
        self.send(daemon, "POST", "/services/rental-app/bookings", &[header], body)
    }

    /// Requests a ticket.
    pub fn request_ticket(&self, daemon: &FleetDaemon) -> String {
        let response = self.send(daemon, "POST", "/v1/tickets", &[], "").expect("response");
        response.json()["ticket"].as_str().expect("a ticket").to_owned()
    }
}

/// Returns the body of a completion request for at most `tokens` tokens.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": "fitting-7b", "prompt": prompt, "max_tokens": tokens, "stream": stream,
    });
    body.to_string()
}

/// Fetches JSON from a stand-in; returns `Null` if that fails.
pub fn fetch(url: &str) -> Value {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let response = client.get(url).send().and_then(|response| response.json());
    response.unwrap_or(Value::Null)
}

/// Posts JSON to a stand-in.
pub fn post(url: &str, body: &Value) {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let response = client.post(url).json(body).send().expect("response");
    assert!(response.status().is_success(), "{url}: {}", response.status());
}

/// Returns the reports of the engines whose names contain `name_part`.
pub fn engine_reports(fleet: &Fleet, name_part: &str) -> Vec<EngineReport> {
    let engines = fleet.engines.iter().filter(|(name, _)| name.contains(name_part));
    let report = |address| fetch(&format!("http://{address}/report"));
    engines.filter_map(|(_, server)| serde_json::from_value(report(server.address)).ok()).collect()
}

/// Sets the faults of the engines whose names contain `name_part`.
pub fn set_engine_faults(fleet: &Fleet, name_part: &str, faults: &Value) {
    for (_, server) in fleet.engines.iter().filter(|(name, _)| name.contains(name_part)) {
        post(&format!("http://{}/faults", server.address), faults);
    }
}

/// Returns the number of requests that hold slots of the engines.
pub fn held_slots(fleet: &Fleet) -> usize {
    engine_reports(fleet, "").iter().map(|report| report.running.len()).sum()
}

/// Polls a condition and returns how long it took to hold; fails the test, with `what` in the
/// message, after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Duration {
    wait_within(what, WAIT_TIMEOUT, &mut condition)
}

/// Like [`wait_until`], with another timeout.
pub fn wait_within(what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < timeout, "not in time: {what}");
        thread::sleep(Duration::from_millis(10));
    }
    started.elapsed()
}

/// Waits until exactly one daemon reports that it owns a service's shard, and returns its index.
pub fn owner_of(fleet: &Fleet, service: &str) -> usize {
    let mut owner = None;
    wait_until("the shard has one owner", || {
        let status = fleet.ctl(&["--json", "status"]).expect("a status");
        let rows: Value = serde_json::from_str(&status).expect("JSON");
        let owners: Vec<_> = rows
            .as_array()
            .expect("rows")
            .iter()
            .filter(|row| row["shards"][service]["role"] == "owner")
            .collect();
        let host = owners.first().and_then(|row| row["daemon"]["host"].as_str());
        owner = fleet.daemons.iter().position(|daemon| Some(daemon.host.as_str()) == host);
        owners.len() == 1 && owner.is_some()
    });
    owner.expect("an owner")
}

/// Requests a streamed completion from the daemon at an address.
pub fn complete_at(address: SocketAddr, prompt: &str, tokens: u32) -> CallerResponse {
    let body = completion(prompt, tokens, true);
    post_at(format!("http://{address}/v1/completions"), None, &body)
}

fn post_at(url: String, header: Option<(&str, &str)>, body: &str) -> CallerResponse {
    let caller = Caller::default();
    let mut request = caller.client.post(url).bearer_auth(&caller.key).body(body.to_owned());
    if let Some((name, value)) = header {
        request = request.header(name, value);
    }
    read_response(request.send().expect("response"))
}

/// Requests a ticket from the daemon at an address.
pub fn request_ticket_at(address: SocketAddr) -> String {
    let response = post_at(format!("http://{address}/v1/tickets"), None, "");
    response.json()["ticket"].as_str().expect("a ticket").to_owned()
}

/// Requests a booking with a ticket from the daemon at an address.
pub fn request_booking_at(address: SocketAddr, ticket: &str, body: &str) -> CallerResponse {
    let url = format!("http://{address}/services/rental-app/bookings");
    post_at(url, Some(("Apricotrun-Ticket", ticket)), body)
}

/// Reads a response to its end.
fn read_response(response: reqwest::blocking::Response) -> CallerResponse {
    let header =
        |name: &str| response.headers().get(name).map(|v| v.to_str().expect("ascii").to_owned());
    CallerResponse {
        status: response.status().as_u16(),
        verdict: header("Apricotrun-Verdict"),
        replayed: header("Apricotrun-Replayed").is_some(),
        retry_after: header("Retry-After"),
        return_pass: header("Apricotrun-Return"),
        body: response.text().expect("a complete body"),
    }
}

/// Sets a stop flag when dropped, also by a panic: the scope of a failed test would otherwise wait
/// for its threads forever.
pub struct SetOnDrop<'a>(pub &'a std::sync::atomic::AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, std::sync::atomic::Ordering::Relaxed);
    }
}
