//! A worker in trouble sends bodies without end. No process of the system may exceed the memory of
//! its machine; see claim.txt.

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
use std::time::{Duration, Instant};
use store::Store;

/// The figures of `cornice-fleet.toml` and its sheet.
const MEMORY_MB: f64 = 110.0;
const HISTORY: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const EVENTS: usize = 70;
const EVENT_GAP: Duration = Duration::from_millis(2);
/// How long the worker is in trouble.
const TROUBLE_TIME: Duration = Duration::from_secs(36);
/// How often the platform looks at the memory of a process.
const LOOK: Duration = Duration::from_millis(5);
/// How soon the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(1_000);
/// What the rule `Fault` allows: fewer than this many ends on two machines.
const ENDS: usize = 3;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"note\",\"hostname\":\"desk.example\",\
    \"prefix\":\"/note/\",\"route_kind\":\"streaming\",\"timeout_ms\":14000,\
    \"target_latency_ms\":900,\"priority\":1,\"service\":\"fitting\",\"max_attempts\":1,\
    \"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}],\"services\":[{\"name\":\"fitting\",\
    \"health_path\":\"/healthz\",\"max_connections\":230,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":32,\"kv_capacity\":75851,\"kv_token_bytes\":131072,\
    \"link_mbps\":5900000.0,\"stride\":1,\"handle_ttl_s\":3.0,\"switch_time_s\":1.0,\
    \"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// Sends one request, and returns whether its stream was whole. The client reads all that comes.
fn stream(frontend: SocketAddr, id: &str) -> (bool, usize) {
    let Ok(mut connection) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else {
        return (false, 0);
    };
    let request = format!(
        "POST /note/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 400,{EVENTS}\r\nPrefix-Hash: {id}:400\r\nDeadline-Ms: 14000\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\ntext"
    );
    drop(connection.set_read_timeout(Some(Duration::from_secs(15))));
    if connection.write_all(request.as_bytes()).is_err() {
        return (false, 0);
    }
    let (mut buffer, mut tail, mut count) = (vec![0; 64 * 1024], Vec::new(), 0);
    loop {
        match connection.read(&mut buffer) {
            Ok(0) => return (tail.ends_with(b"0\r\n\r\n"), count),
            Ok(read) => {
                count += read;
                tail.extend_from_slice(&buffer[..read]);
                let kept = tail.len().saturating_sub(16);
                tail.drain(..kept);
            }
            Err(_) => return (false, count),
        }
    }
}

fn run(folder: &Path, with_trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder);
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
    let store = Store::start(HISTORY);
    store.write("op/config", CONFIG);
    let engines: Arc<Vec<_>> = Arc::new(
        ["i-one", "i-two", "i-three"]
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
    let mut machines: Vec<Host> = (1..=3)
        .map(|index| {
            let name = format!("edge-tyrol-a-{index}");
            Host::new(&name, "tyrol-a", store.address, &temp, bounds)
        })
        .collect();
    machines.iter_mut().for_each(|host| host.start(true));
    if !machines.iter().all(|host| host.wait_ready(Duration::from_secs(20))) {
        return Err("the hosts are not ready after 20 s".to_owned());
    }
    record.line("all hosts are ready");
    thread::sleep(Duration::from_secs(5));

    let number = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = machines
        .iter()
        .flat_map(|host| [(host.name.clone(), host.frontend), (host.name.clone(), host.frontend)])
        .map(|(name, frontend)| {
            let (number, served, stop) = (number.clone(), served.clone(), stop.clone());
            let record = record.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:08x}", number.fetch_add(1, Ordering::SeqCst));
                    record.line(&format!("client sends {id} (POST /note/a) to {name}"));
                    let (whole, bytes) = stream(frontend, &id);
                    served.fetch_add(usize::from(whole), Ordering::SeqCst);
                    let end = if whole { "a whole stream" } else { "no whole stream" };
                    record.line(&format!("client got {end} for {id}, {} KB", bytes / 1024));
                    thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    engines[1].set_endless(with_trouble);
    if with_trouble {
        record.line("worker i-two is in trouble");
    }

    // The platform: a process that exceeds its memory is killed, and started again soon after.
    let ends: Arc<Mutex<Vec<usize>>> = Arc::new(Mutex::new(vec![0; machines.len()]));
    let peaks: Arc<Mutex<Vec<f64>>> = Arc::new(Mutex::new(vec![0.0; machines.len()]));
    let until = Instant::now() + TROUBLE_TIME;
    let guards: Vec<_> = machines
        .drain(..)
        .enumerate()
        .map(|(index, mut host)| {
            let (ends, peaks, record) = (ends.clone(), peaks.clone(), record.clone());
            thread::spawn(move || {
                while Instant::now() < until {
                    let memory = host.memory_mb().unwrap_or(0.0);
                    let peak = &mut peaks.lock().unwrap()[index];
                    *peak = peak.max(memory);
                    if memory > MEMORY_MB {
                        host.kill();
                        ends.lock().unwrap()[index] += 1;
                        record.line(&format!(
                            "{} uses {memory:.0} MB of {MEMORY_MB} MB and is killed",
                            host.name
                        ));
                        thread::sleep(RESTART);
                        host.start(false);
                        record.line(&format!("{} is started again", host.name));
                    }
                    thread::sleep(LOOK);
                }
                host
            })
        })
        .collect();
    let mut machines = Vec::new();
    for guard in guards {
        machines.push(guard.join().map_err(|_| "a guard failed".to_owned())?);
    }
    engines[1].set_endless(false);
    record.line("all workers are sound");
    stop.store(true, Ordering::SeqCst);
    drop(machines);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    beats.join().map_err(|_| "the heartbeats failed".to_owned())?;
    if std::env::var("KEEP_LOGS").is_err() {
        drop(std::fs::remove_dir_all(&temp));
    }

    let (ends, peaks) = (ends.lock().unwrap(), peaks.lock().unwrap());
    let failed = ends.iter().filter(|count| **count >= ENDS).count();
    let served = served.load(Ordering::SeqCst);
    let text = format!(
        "processes ended over their memory: {ends:?} times on each machine, peaks {:?} MB; {served} \
         whole streams",
        peaks.iter().map(|peak| peak.round()).collect::<Vec<_>>()
    );
    record.line(&text);
    if failed >= 2 {
        record.line(&format!(
            "BROKEN: on {failed} of 3 machines processes ended {ENDS} times or more"
        ));
    }
    println!("{text}");
    match served {
        0 => Err("no stream was served".to_owned()),
        _ => Ok(failed >= 2),
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
