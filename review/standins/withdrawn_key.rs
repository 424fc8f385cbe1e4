//! A key is withdrawn; later the store returns from a copy from before that, while a machine of
//! the system is stopped and started as planned. No request with the key may run; see claim.txt.

mod host;
mod http;
mod json;
mod record;
mod store;
mod worker;

use host::{Bounds, Host};
use http::call;
use record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use store::Store;
use worker::{Runs, Worker};

/// The figures of `adwenpa-returns-grown.toml` and its sheet.
const REVOKE: Duration = Duration::from_millis(5_000);
const HISTORY: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long the store is away before it returns from its copy.
const AWAY: Duration = Duration::from_millis(1_000);
/// How soon after the return the operator has written its configuration again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_500);
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// How long before the store is away the planned restart of a process begins.
const STOP_AHEAD: Duration = Duration::from_millis(2_300);
/// How soon the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(300);

const KEPT: &str = "key-kept";
const WITHDRAWN: &str = "key-withdrawn";

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"lodge\",\"hostname\":\"desk.example\",\
         \"prefix\":\"/lodge/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":1000,\
         \"target_latency_ms\":120,\"priority\":2,\"service\":\"filing\",\"max_attempts\":1,\
         \"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"filing\",\
         \"health_path\":\"/healthz\",\"max_connections\":560,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"clerks\",\
         \"api_keys\":[{}],\"priority\":1,\"rate_per_s\":0,\"burst\":0,\"unit\":\"token_stream\",\
         \"uncached_tokens\":100}}]}}",
        keys.join(",")
    )
}

fn run(folder: &Path, with_trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder);
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
    let store = Store::start(HISTORY);
    let runs = Runs::default();
    let delay = Duration::from_millis(15);
    let workers = [
        Worker::start("i-one", "filing", delay, &record, &runs),
        Worker::start("i-two", "filing", delay, &record, &runs),
    ];
    store.write("op/config", &config(1, &[KEPT, WITHDRAWN]));
    let stop = Arc::new(AtomicBool::new(false));
    let away = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, workers) = (store.clone(), workers.clone());
        let (stop, away) = (stop.clone(), away.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                // Workers don't reach the store while it is away.
                if !away.load(Ordering::SeqCst) {
                    for worker in &workers {
                        let key = format!("servers/{}", worker.name);
                        store.write(&key, &worker.entry("accra-a", sequence));
                    }
                }
                thread::sleep(HEARTBEAT);
                if stop.load(Ordering::SeqCst) {
                    return;
                }
            }
        })
    };
    let revoke_ms = Some(REVOKE.as_millis() as u64);
    let bounds = Bounds { config_apply_ms: 3_000, budget_slack: 206, revoke_ms };
    let mut machines: Vec<Host> = (1..=3)
        .map(|index| {
            let name = format!("edge-accra-a-{index}");
            Host::new(&name, "accra-a", store.address, &temp, bounds)
        })
        .collect();
    machines.iter_mut().for_each(|host| host.start(true));
    if !machines.iter().all(|host| host.wait_ready(Duration::from_secs(20))) {
        return Err("the hosts are not ready after 20 s".to_owned());
    }
    record.line("all hosts are ready");
    thread::sleep(Duration::from_secs(3));

    // Each client uses one key at one host, all the time.
    let sent: Arc<Mutex<BTreeMap<String, (&str, Instant)>>> = Arc::default();
    let statuses: Arc<Mutex<BTreeMap<(&str, u16), usize>>> = Arc::default();
    let number = Arc::new(AtomicUsize::new(0));
    let targets: Vec<(String, SocketAddr)> =
        machines.iter().map(|host| (host.name.clone(), host.frontend)).collect();
    let clients: Vec<_> = targets
        .iter()
        .flat_map(|target| [(target.clone(), KEPT), (target.clone(), WITHDRAWN)])
        .map(|((name, frontend), key)| {
            let (sent, statuses, number) = (sent.clone(), statuses.clone(), number.clone());
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("q{:05}", number.fetch_add(1, Ordering::SeqCst));
                    sent.lock().unwrap().insert(id.clone(), (key, Instant::now()));
                    record.line(&format!("client sends {id} to {name} with {key}"));
                    let head = format!(
                        "POST /lodge/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
                         Deadline-Ms: 1000\r\nCredential: {key}\r\n"
                    );
                    let answer = call(frontend, &head, b"a return", Duration::from_secs(2));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client gets {status} for {id} from {name}"));
                    *statuses.lock().unwrap().entry((key, status)).or_default() += 1;
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(1));
    store.take_copy();
    record.line("the store keeps a copy");
    thread::sleep(Duration::from_secs(1));
    store.write("op/config", &config(2, &[KEPT]));
    let withdrawn_at = Instant::now();
    record.line("the store confirms version 2, which takes key-withdrawn away");
    thread::sleep(REVOKE);
    // Planned work, with and without the disruption: one machine is stopped and started.
    let mut machine = machines.remove(0);
    let restart = {
        let record = record.clone();
        thread::spawn(move || {
            record.line("edge-accra-a-1 gets SIGTERM");
            machine.stop(GRACE);
            record.line("edge-accra-a-1 has ended");
            thread::sleep(RESTART);
            machine.start(false);
            record.line("edge-accra-a-1 is started again");
            if machine.wait_ready(Duration::from_secs(5)) {
                record.line("edge-accra-a-1 says that it is ready");
            }
            machine
        })
    };
    thread::sleep(STOP_AHEAD);
    if with_trouble {
        away.store(true, Ordering::SeqCst);
        store.set_down(true);
        record.line("the store is away");
        thread::sleep(AWAY);
        store.return_from_copy();
        store.set_down(false);
        away.store(false, Ordering::SeqCst);
        record.line("the store is back, from its copy");
        thread::sleep(WRITTEN_AGAIN);
        store.write("op/config", &config(2, &[KEPT]));
        record.line("the operator has written version 2 again");
    }
    machines.push(restart.join().map_err(|_| "the restart failed".to_owned())?);
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    beats.join().map_err(|_| "the heartbeats failed".to_owned())?;
    drop(machines);
    if std::env::var("KEEP_LOGS").is_err() {
        drop(std::fs::remove_dir_all(&temp));
    }

    let sent = sent.lock().unwrap();
    let (mut broken, mut served) = (0, 0);
    for run in runs.0.lock().unwrap().iter() {
        let Some((key, at)) = sent.get(&run.id) else { continue };
        served += usize::from(*key == KEPT);
        if *key == WITHDRAWN && *at > withdrawn_at + REVOKE {
            broken += 1;
            record.line(&format!(
                "BROKEN: {} was sent at {} ms with the withdrawn key, {} ms after the confirmation, \
                 and ran at {} ms",
                run.id, record.ms(*at), (*at - withdrawn_at).as_millis(), record.ms(run.at)
            ));
        }
    }
    let statuses = statuses.lock().unwrap();
    let text = format!(
        "{broken} requests with the withdrawn key ran later than revoke_ms; {served} with the other \
         key ran; answers by key and status: {statuses:?}"
    );
    record.line(&text);
    println!("{text}");
    match served {
        0 => Err("no request was served".to_owned()),
        _ => Ok(broken > 0),
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
