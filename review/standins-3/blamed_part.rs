//! A request that crashes its workers shares the first part of its prompt with a whole kind of requests. All of these
//! are refused from then on at a host that is not the one to try the part again. No case of the review: see REPORT-3.md.

#[path = "../standins-2/common.rs"]
mod common;
#[path = "engines_crashing.rs"]
mod engines;

use common::*;
use engines::Engine;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 8;
const WORKERS: usize = 8;
const GAP: Duration = Duration::from_millis(30);
const EVENTS: usize = 30;
/// How often the request that crashes its workers comes, and how long after that requests are counted.
const REPEATS: u64 = 3;
const COUNTED: Duration = Duration::from_secs(45);

fn config() -> String {
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"prefix\":\"/{name}/\",\"route_kind\":\"streaming\",\
             \"timeout_ms\":14000,\"target_latency_ms\":900,\"target_gap_ms\":300,\"priority\":1,\"service\":\"llm\",\
             \"max_attempts\":2,\"sticky\":true,\"resumable\":true}}"
        )
    };
    let engine = "{\"slots\":32,\"kv_capacity\":75851,\"kv_token_bytes\":131072,\"link_mbps\":5900000.0,\"stride\":1,\
                  \"handle_ttl_s\":0.5,\"switch_time_s\":6.0,\"models\":[{\"name\":\"m\"}]}";
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\
         \"max_connections\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("first"),
        route("later")
    )
}

/// Sends a request of a route whose prompt begins with the part `shared`; returns the status.
fn ask(frontend: SocketAddr, route: &str, number: u64, shared: &str, own: u32, record: &Record) -> u16 {
    let id = format!("{number:016x}");
    let prefix = format!("{shared}:200,{number:x}:{own}");
    let headers = [
        ("Model", "m"),
        ("Token-Count", "1000,30"),
        ("Prefix-Hash", prefix.as_str()),
        ("Deadline-Ms", "14000"),
    ];
    let path = format!("/{route}/{number}");
    let answer = send(frontend, "POST", &path, &id, &headers, b"history", Duration::from_secs(14));
    record.line(format!("client gets {} for {id} on {route}", answer.status));
    answer.status
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let run = RunFolder::create("blamed-part");
    let pids = Pids::default();
    limit_time(Duration::from_secs(110), &run, &pids);
    let store = Store::start();
    store.put("op/config", &config());
    let _prefill = Engine::start("p1", "prefill", 32, 0, GAP, &store, &record);
    let _workers: Vec<_> = (1..=WORKERS)
        .map(|number| Engine::start(&format!("w{number}"), "decode", 8, EVENTS, GAP, &store, &record))
        .collect();
    let mut hosts: Vec<_> = (1..=HOSTS)
        .map(|number| Host::new(&format!("edge-{number}"), "tyrol-a", store.address, &run.0, &pids))
        .collect();
    hosts.iter_mut().for_each(|host| host.start(true));
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(20))) {
        cannot_run("the hosts are not ready", &run.0, &pids);
    }
    thread::sleep(Duration::from_secs(4));
    // The clients of this kind of requests all reach one host.
    let frontend = hosts[HOSTS - 1].frontend;
    for number in 0..3 {
        ask(frontend, "later", 100 + number, "5c1e07a2", 800, &record);
    }
    for number in 0..REPEATS * u64::from(has_trouble()) {
        ask(frontend, "later", 300 + number, "5c1e07a2", 801, &record);
        thread::sleep(Duration::from_millis(1_600));
    }
    let began = Instant::now();
    let mut served = [0, 0];
    let mut rounds = 0;
    while began.elapsed() < COUNTED {
        rounds += 1;
        let number = 1_000 + 2 * rounds;
        served[0] += u64::from(ask(frontend, "first", number, "91bd3f06", 800, &record) == 200);
        served[1] += u64::from(ask(frontend, "later", number + 1, "5c1e07a2", 800, &record) == 200);
    }
    hosts.iter_mut().for_each(Host::kill);
    let [first, later] = served;
    let text = format!("{first} of {rounds} served on the first route, {later} of {rounds} on the later one");
    record.line(&text);
    println!("{text}");
    drop(run);
    std::process::exit(if rounds >= 20 && later * 4 < first { BROKEN } else { HELD });
}
