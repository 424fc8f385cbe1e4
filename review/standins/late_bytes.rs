//! Workers send additional bytes after some of their responses, late. No client may get them as
//! the answer to its request; see claim.txt.

mod host;
mod http;
mod json;
mod record;
mod store;
mod worker;

use host::{Bounds, Host};
use http::call;
use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use store::Store;
use worker::{Runs, Worker};

/// The figures of `cornice-fleet.toml` and its sheet.
const HISTORY: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SPOILED_TIME: Duration = Duration::from_secs(5);
const CLIENTS: usize = 6;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"book\",\"hostname\":\"desk.example\",\
    \"prefix\":\"/book/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":1200,\
    \"target_latency_ms\":150,\"priority\":2,\"service\":\"rental\",\"max_attempts\":1,\
    \"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"rental\",\
    \"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";

fn run(folder: &Path, with_trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder);
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
    let store = Store::start(HISTORY);
    let runs = Runs::default();
    let delay = Duration::from_millis(30);
    let workers = [
        Worker::start("i-one", "rental", delay, &record, &runs),
        Worker::start("i-two", "rental", delay, &record, &runs),
    ];
    store.write("op/config", CONFIG);
    let stop = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, workers, stop) = (store.clone(), workers.clone(), stop.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for worker in &workers {
                    let key = format!("servers/{}", worker.name);
                    store.write(&key, &worker.entry("tyrol-a", sequence));
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
    let answers: Arc<Mutex<Vec<(String, u16, bool, String)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (number, answers, stop) = (number.clone(), answers.clone(), stop.clone());
            let (record, frontend) = (record.clone(), machine.frontend);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("q{:05}", number.fetch_add(1, Ordering::SeqCst));
                    let head = format!(
                        "POST /book/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
                         Deadline-Ms: 2500\r\n"
                    );
                    record.line(&format!("client sends {id} (POST /book/a)"));
                    let answer = call(frontend, &head, b"a booking", Duration::from_secs(3));
                    let answer = answer.unwrap_or_default();
                    let sealed = answer.header("server-seal").is_some();
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let seal = if sealed { "with" } else { "without" };
                    let status = answer.status();
                    record.line(&format!(
                        "client gets {status} {seal} Server-Seal for {id}: {body:?}"
                    ));
                    answers.lock().unwrap().push((id, status, sealed, body));
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // Half of the workers are faulty.
    workers[0].spoil(with_trouble);
    thread::sleep(SPOILED_TIME);
    workers[0].spoil(false);
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    beats.join().map_err(|_| "the heartbeats failed".to_owned())?;
    drop(machine);
    if std::env::var("KEEP_LOGS").is_err() {
        drop(std::fs::remove_dir_all(&temp));
    }

    let (mut foreign, mut served, mut ran) = (0, 0, 0);
    let runs = runs.0.lock().unwrap();
    for (id, status, sealed, body) in answers.lock().unwrap().iter() {
        if *status != 200 {
            continue;
        }
        if *sealed && body.starts_with(id.as_str()) {
            served += 1;
            continue;
        }
        foreign += 1;
        let has_run = runs.iter().any(|run| run.id == *id);
        ran += usize::from(has_run);
        record.line(&format!(
            "BROKEN: the client got 200 for {id} with bytes that are not the answer to it; the \
             request {}",
            if has_run { "ran" } else { "did not run" }
        ));
    }
    let text = format!(
        "{foreign} requests were answered 200 with bytes that belong to no request, without \
         Server-Seal ({ran} of them ran); {served} got their own answer"
    );
    record.line(&text);
    println!("{text}");
    match served {
        0 => Err("no request was served".to_owned()),
        _ => Ok(foreign > 0),
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
