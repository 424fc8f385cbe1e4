//! A slow worker sends a byte now and then while the next event of a stream is not ready. No piece
//! of a stream may be missing in a complete answer; see claim.txt.

mod engine;
mod host;
mod http;
mod json;
mod record;
mod store;

use engine::Engine;
use host::{Bounds, Host};
use record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use store::Store;

/// The figures of `cornice-fleet.toml` and its sheet.
const HISTORY: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const EVENTS: usize = 24;
const EVENT_GAP: Duration = Duration::from_millis(150);
const SLOW_TIME: Duration = Duration::from_millis(6_500);
const CLIENTS: usize = 14;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"note\",\"hostname\":\"desk.example\",\
    \"prefix\":\"/note/\",\"route_kind\":\"streaming\",\"timeout_ms\":14000,\
    \"target_latency_ms\":900,\"priority\":1,\"service\":\"fitting\",\"max_attempts\":1,\
    \"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}],\"services\":[{\"name\":\"fitting\",\
    \"health_path\":\"/healthz\",\"max_connections\":230,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":32,\"kv_capacity\":75851,\"kv_token_bytes\":131072,\
    \"link_mbps\":5900000.0,\"stride\":1,\"handle_ttl_s\":3.0,\"switch_time_s\":1.0,\
    \"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// Sends one request; returns the status, the ids of the events and whether the answer is complete.
fn stream(frontend: SocketAddr, id: &str) -> (String, Vec<usize>, bool) {
    let nothing = || ("none".to_owned(), Vec::new(), false);
    let Ok(mut connection) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else {
        return nothing();
    };
    let request = format!(
        "POST /note/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 400,{EVENTS}\r\nPrefix-Hash: {id}:400\r\nDeadline-Ms: 14000\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\ntext"
    );
    drop(connection.set_read_timeout(Some(Duration::from_secs(15))));
    if connection.write_all(request.as_bytes()).is_err() {
        return nothing();
    }
    let mut bytes = Vec::new();
    let ended = connection.read_to_end(&mut bytes).is_ok();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok());
    (status, ids.collect(), ended && text.ends_with("0\r\n\r\n"))
}

fn run(folder: &Path, with_trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder);
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
    let store = Store::start(HISTORY);
    store.write("op/config", CONFIG);
    let engines: Arc<Vec<_>> = Arc::new(
        ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"]
            .iter()
            .map(|name| Engine::new(name, "fitting", EVENTS, EVENT_GAP, &record))
            .collect(),
    );
    engines.iter().for_each(|engine| engine.start("v1"));
    let stop = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, engines, stop) = (store.clone(), engines.clone(), stop.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for engine in engines.iter() {
                    if let Some(entry) = engine.entry("tyrol-a", "ready", sequence) {
                        store.write(&format!("servers/{}", engine.name), &entry);
                    }
                }
                thread::sleep(HEARTBEAT);
                if stop.load(Ordering::SeqCst) {
                    return;
                }
            }
        })
    };
    let bounds = Bounds { config_apply_ms: 2_000, budget_slack: 54, revoke_ms: None };
    let mut machine = Host::new("edge-tyrol-a-1", "tyrol-a", store.address, &temp, bounds);
    machine.start(true);
    if !machine.wait_ready(Duration::from_secs(20)) {
        return Err("the host is not ready after 20 s".to_owned());
    }
    record.line("the host is ready");
    let number = Arc::new(AtomicUsize::new(0));
    let answers: Arc<Mutex<Vec<(String, String, Vec<usize>, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (number, answers, stop) = (number.clone(), answers.clone(), stop.clone());
            let (record, frontend) = (record.clone(), machine.frontend);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:08x}", number.fetch_add(1, Ordering::SeqCst));
                    record.line(&format!("client sends {id} (POST /note/a)"));
                    let (status, ids, complete) = stream(frontend, &id);
                    let end = if complete { "complete" } else { "not complete" };
                    record.line(&format!(
                        "client gets {status} for {id}: {} events, {end}",
                        ids.len()
                    ));
                    answers.lock().unwrap().push((id, status, ids, complete));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    engines[1].set_slow(with_trouble);
    if with_trouble {
        record.line("worker i-2 is slow");
    }
    thread::sleep(SLOW_TIME);
    engines[1].set_slow(false);
    record.line("all workers are sound");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    beats.join().map_err(|_| "the heartbeats failed".to_owned())?;
    drop(machine);
    drop(std::fs::remove_dir_all(&temp));

    let (mut gaps, mut whole) = (0, 0);
    let all: Vec<usize> = (1..=EVENTS).collect();
    for (id, status, ids, complete) in answers.lock().unwrap().iter() {
        if !complete || status != "200" {
            continue;
        }
        if *ids == all {
            whole += 1;
            continue;
        }
        gaps += 1;
        let missing: Vec<_> = all.iter().filter(|event| !ids.contains(event)).collect();
        record.line(&format!(
            "BROKEN: the answer to {id} is complete, with status 200, but events {missing:?} are missing"
        ));
    }
    let text = format!("{gaps} complete streams lack pieces; {whole} are whole");
    record.line(&text);
    println!("{text}");
    match whole {
        0 => Err("no stream was served".to_owned()),
        _ => Ok(gaps > 0),
    }
}

fn main() -> ExitCode {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&folder, with_trouble) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
