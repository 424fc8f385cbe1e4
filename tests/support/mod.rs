//! What the tests with real processes share: a deployment and a caller.
#![allow(dead_code, reason = "each test file uses a part")]

use serde_json::{Value, json};
use standins::engine::EngineReport;
use standins::fleet::{DESK_KEY, Fleet, FleetDaemon, FleetOptions, binaries_folder};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// How long anything that must happen may take on a slow machine.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Returns a small deployment's options.
pub fn options() -> FleetOptions {
    FleetOptions::new(&binaries_folder())
}

/// Starts a deployment.
pub fn start(options: FleetOptions) -> Fleet {
    Fleet::start(options).expect("the deployment starts")
}

/// A caller's answer.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub verdict: Option<String>,
    pub replayed: bool,
    pub retry_after: Option<String>,
    pub return_pass: Option<String>,
    pub body: String,
}

impl CallerAnswer {
    pub fn json(&self) -> Value {
        serde_json::from_str(self.body.trim()).unwrap_or(Value::Null)
    }

    /// Joins the texts of a streamed answer; nothing when it did not end as whole.
    pub fn streamed_text(&self) -> Option<String> {
        let datas: Vec<_> = self.body.lines().filter_map(|l| l.strip_prefix("data:")).collect();
        if datas.last() != Some(&"[DONE]") {
            return None;
        }
        let text = |data: &&str| {
            let value: Value = serde_json::from_str(data).ok()?;
            value["choices"][0]["text"].as_str().map(str::to_owned)
        };
        Some(datas.iter().filter_map(text).collect())
    }
}

/// A caller of one daemon.
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
            .timeout(LIMIT)
            .pool_max_idle_per_host(0)
            .build()
            .expect("a client is built");
        Self { client, key: key.to_owned() }
    }

    pub fn send(
        &self,
        daemon: &FleetDaemon,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<CallerAnswer, reqwest::Error> {
        let method = method.parse().expect("a method");
        let mut request = self
            .client
            .request(method, daemon.url(path))
            .bearer_auth(&self.key)
            .body(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(read_answer(request.send()?))
    }

    pub fn complete(&self, daemon: &FleetDaemon, prompt: &str, tokens: u32) -> CallerAnswer {
        let body = completion(prompt, tokens, true);
        self.send(daemon, "POST", "/v1/completions", &[], &body).expect("an answer")
    }

    pub fn book(
        &self,
        daemon: &FleetDaemon,
        header: (&str, &str),
        body: &str,
    ) -> Result<CallerAnswer, reqwest::Error> {
        self.send(daemon, "POST", "/services/rental-app/bookings", &[header], body)
    }

    pub fn ticket(&self, daemon: &FleetDaemon) -> String {
        let answer = self.send(daemon, "POST", "/v1/tickets", &[], "").expect("an answer");
        answer.json()["ticket"].as_str().expect("a ticket").to_owned()
    }
}

/// Returns the body of a completion.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": "fitting-7b", "prompt": prompt, "max_tokens": tokens, "stream": stream,
    });
    body.to_string()
}

/// Asks a stand-in for something.
pub fn fetch(url: &str) -> Value {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("a client");
    let answer = client.get(url).send().and_then(|answer| answer.json());
    answer.unwrap_or(Value::Null)
}

/// Posts JSON to a stand-in.
pub fn post(url: &str, body: &Value) {
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("a client");
    let answer = client.post(url).json(body).send().expect("an answer");
    assert!(answer.status().is_success(), "{url}: {}", answer.status());
}

/// Returns the reports of the engines whose names contain a text.
pub fn engine_reports(fleet: &Fleet, part: &str) -> Vec<EngineReport> {
    let engines = fleet.engines.iter().filter(|(name, _)| name.contains(part));
    let report = |address| fetch(&format!("http://{address}/report"));
    engines.filter_map(|(_, server)| serde_json::from_value(report(server.address)).ok()).collect()
}

/// Switches the faults of the engines whose names contain a text.
pub fn set_engine_faults(fleet: &Fleet, part: &str, faults: &Value) {
    for (_, server) in fleet.engines.iter().filter(|(name, _)| name.contains(part)) {
        post(&format!("http://{}/faults", server.address), faults);
    }
}

/// Returns how many requests hold slots at the engines.
pub fn held_slots(fleet: &Fleet) -> usize {
    engine_reports(fleet, "").iter().map(|report| report.running.len()).sum()
}

/// Waits until something holds; fails the test with `what` when it does not in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    wait_within(what, LIMIT, &mut holds)
}

/// Waits until something holds, at most the given time.
pub fn wait_within(what: &str, within: Duration, mut holds: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < within, "not in time: {what}");
        thread::sleep(Duration::from_millis(10));
    }
    started.elapsed()
}

/// Returns which daemon owns a service's shard, once exactly one says so.
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

/// Asks the daemon at an address for a streamed completion.
pub fn complete_at(address: SocketAddr, prompt: &str, tokens: u32) -> CallerAnswer {
    let body = completion(prompt, tokens, true);
    post_at(format!("http://{address}/v1/completions"), None, &body)
}

fn post_at(url: String, header: Option<(&str, &str)>, body: &str) -> CallerAnswer {
    let caller = Caller::default();
    let mut request = caller.client.post(url).bearer_auth(&caller.key).body(body.to_owned());
    if let Some((name, value)) = header {
        request = request.header(name, value);
    }
    read_answer(request.send().expect("an answer"))
}

/// Asks the daemon at an address for a ticket.
pub fn ticket_at(address: SocketAddr) -> String {
    let answer = post_at(format!("http://{address}/v1/tickets"), None, "");
    answer.json()["ticket"].as_str().expect("a ticket").to_owned()
}

/// Books at the daemon at an address with a ticket.
pub fn book_at(address: SocketAddr, ticket: &str, body: &str) -> CallerAnswer {
    let url = format!("http://{address}/services/rental-app/bookings");
    post_at(url, Some(("Apricotrun-Ticket", ticket)), body)
}

fn read_answer(response: reqwest::blocking::Response) -> CallerAnswer {
    let header =
        |name: &str| response.headers().get(name).map(|v| v.to_str().expect("ascii").to_owned());
    CallerAnswer {
        status: response.status().as_u16(),
        verdict: header("Apricotrun-Verdict"),
        replayed: header("Apricotrun-Replayed").is_some(),
        retry_after: header("Retry-After"),
        return_pass: header("Apricotrun-Return"),
        body: response.text().expect("a whole body"),
    }
}

/// Ends the threads of a test that fails, which would otherwise be waited for without end.
pub struct SetOnDrop<'a>(pub &'a std::sync::atomic::AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, std::sync::atomic::Ordering::Relaxed);
    }
}
