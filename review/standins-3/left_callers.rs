//! Callers leave while their calls, which may run at most once, wait for a worker that has gone dark.
//!
//! A wave of calls fills all slots. A worker that is dark accepts no connection, so that the calls placed
//! there fail after the time for connecting, and wait again; meanwhile some of their callers have left.

use crate::Finding;
use crate::host::{Host, receive, send};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SLOTS: usize = 16;
const WORKERS: usize = 4;
/// How long a call takes.
const WORK: Duration = Duration::from_millis(900);
/// The calls of one wave: all slots, and a few that wait.
const WAVE: usize = 72;
/// How many callers of ten leave in every other wave, and when.
const LEAVING_OF_TEN: usize = 3;
const LEAVES_AFTER: Duration = Duration::from_millis(200);
const CALLER_LIMIT_MS: u64 = 6_000;
/// The time between two waves.
const WAVE_PERIOD: Duration = Duration::from_millis(4_500);
/// How long a worker is dark.
const DARK_TIME: Duration = Duration::from_millis(2_500);
/// The heartbeat of the workers, by which they write into the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// "More than a few" requests, and how long after the caller has left they count.
const A_FEW: usize = 5;
const AFTER: Duration = Duration::from_millis(500);

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"file\",\"hostname\":\"desk.example\",\
     \"prefix\":\"/file/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":6000,\
     \"target_latency_ms\":2000,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\
     \"sticky\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\
     \"max_connections\":400,\"protocol\":\"h1\",\"tls\":false}],\"limits\":\
     {\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

pub fn play(record: &Record, folder: &str, has_trouble: bool) -> Finding {
    let store = Store::start();
    store.write("op/config", &config());
    let names = (0..WORKERS).map(|index| format!("w{index}"));
    let workers: Vec<_> =
        names.map(|name| Worker::start(&name, "desk", SLOTS, WORK, record)).collect();
    let register = |worker: &Worker| {
        store.write(&format!("servers/{}", worker.name), &worker.registration("ready"));
    };
    workers.iter().for_each(register);
    let beats = (store.clone(), workers.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            for worker in beats.1.iter().filter(|worker| !worker.is_dark()) {
                beats.0.write(&format!("servers/{}", worker.name), &worker.registration("ready"));
            }
        }
    });
    let host = Host::start(store.address, "edge-1", "tyrol-a", folder);
    if !host.is_ready() {
        return Finding::CouldNotRun("the host is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let left: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let served = Arc::new(Mutex::new(0));
    let mut callers = Vec::new();
    for wave in 0..WORKERS * 2 {
        // Every other wave comes while one worker is dark; each worker is once.
        let dark = workers.get(wave / 2).filter(|_| has_trouble && wave % 2 == 1);
        if let Some(worker) = dark {
            record.note(&format!("{} goes dark", worker.name));
            worker.go_dark();
        }
        let started = Instant::now();
        let gate = Arc::new(AtomicBool::new(false));
        for index in 0..WAVE {
            let id = format!("call-{wave}-{index}");
            let (record, left, served) = (record.clone(), left.clone(), served.clone());
            let (frontend, gate) = (host.frontend, gate.clone());
            callers.push(thread::spawn(move || {
                while !gate.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_micros(200));
                }
                record.note(&format!("caller sends {id}"));
                let path = format!("/file/{id}");
                let sent = send(frontend, "POST", &path, &id, CALLER_LIMIT_MS, "", b"form");
                let Ok(stream) = sent else { return record.note(&format!("{id} is not sent")) };
                if wave % 2 == 1 && index % 10 < LEAVING_OF_TEN {
                    thread::sleep(LEAVES_AFTER);
                    drop(stream);
                    record.note(&format!("caller of {id} leaves"));
                    left.lock().expect("the callers").push((id, Instant::now()));
                    return;
                }
                match receive(stream, Duration::from_millis(CALLER_LIMIT_MS + 500)) {
                    Ok(response) => {
                        record.note(&format!("{id} is answered {}", response.status()));
                        *served.lock().expect("the answers") += usize::from(response.status() == 200);
                    }
                    Err(error) => record.note(&format!("{id} gets no answer: {error}")),
                }
            }));
        }
        gate.store(true, Ordering::Release);
        if let Some(worker) = dark {
            thread::sleep(DARK_TIME.saturating_sub(started.elapsed()));
            worker.restart();
            register(worker);
            record.note(&format!("{} is back", worker.name));
        }
        thread::sleep(WAVE_PERIOD.saturating_sub(started.elapsed()));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(host);
    let left = left.lock().expect("the callers");
    let late: Vec<_> = left
        .iter()
        .filter(|(id, at)| record.arrivals(id).iter().any(|arrival| *arrival > *at + AFTER))
        .map(|(id, _)| id.as_str())
        .collect();
    let served = *served.lock().expect("the answers");
    let summary = format!(
        "{} of {} requests whose caller had left reached a worker over {} ms later ({}); {served} \
         calls were served",
        late.len(),
        left.len(),
        AFTER.as_millis(),
        late.join(", ")
    );
    match late.len() > A_FEW {
        true => Finding::Broken(summary),
        false => Finding::Held(summary),
    }
}
