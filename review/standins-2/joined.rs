//! While the store is down, a worker crashes, comes back under its id with a newer version of its
//! software and crashes once more: streams are joined from two versions.

#[path = "common.rs"]
mod common;
#[path = "engines.rs"]
mod engines;

use common::*;
use engines::{Engine, model_config};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
/// One worker of ten crashes at a time.
const WORKERS: usize = 10;
const SLOTS: usize = 4;
const CLIENTS: usize = 30;
const EVENTS: usize = 40;
const GAP: Duration = Duration::from_millis(40);
/// How often the store is down, and for how long.
const OUTAGES: usize = 4;
const OUTAGE: Duration = Duration::from_secs(8);
/// The time between two outages of the store.
const CALM: Duration = Duration::from_secs(8);
/// For how long a worker is down each time, and how long it is up in between.
const DOWN: Duration = Duration::from_millis(500);
const UP: Duration = Duration::from_millis(4_500);

#[derive(Default)]
struct Outcome {
    complete: usize,
    other: usize,
    joined: Vec<String>,
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let run = RunFolder::create("joined");
    let pids = Pids::default();
    limit_time(Duration::from_secs(110), &run, &pids);
    let store = Store::start();
    store.put("op/config", &model_config(3));
    let _prefill = Engine::start("p1", "prefill", 32, 0, GAP, &store, &record);
    let workers: Vec<_> = (1..=WORKERS)
        .map(|number| Engine::start(&format!("w{number}"), "decode", SLOTS, EVENTS, GAP, &store, &record))
        .collect();
    let mut hosts: Vec<_> = (1..=HOSTS)
        .map(|number| Host::new(&format!("edge-{number}"), "tyrol-a", store.address, &run.0, &pids))
        .collect();
    hosts.iter_mut().for_each(|host| host.start(true));
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(20))) {
        cannot_run("the hosts are not ready", &run.0, &pids);
    }
    thread::sleep(Duration::from_secs(3));
    let ends = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (ends, numbers, outcome) = (ends.clone(), numbers.clone(), outcome.clone());
            let (frontend, record) = (hosts[client % HOSTS].frontend, record.clone());
            thread::spawn(move || {
                // Clients come at different times.
                thread::sleep(Duration::from_millis(client as u64 * 2_000 / CLIENTS as u64));
                while !ends.load(Ordering::Relaxed) {
                    let number = numbers.fetch_add(1, Ordering::Relaxed) + 1;
                    request(frontend, number, &record, &outcome);
                    thread::sleep(Duration::from_millis(100 + number * 37 % 600));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for worker in workers.iter().take(OUTAGES) {
        let began = Instant::now();
        if has_trouble() {
            record.line("the store is down");
            store.down.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(500));
            worker.go_down();
            thread::sleep(DOWN);
            worker.come_up("v2");
            thread::sleep(UP);
            worker.go_down();
            thread::sleep(DOWN);
            worker.come_up("v2");
        }
        sleep_until(began + OUTAGE);
        if store.down.swap(false, Ordering::SeqCst) {
            record.line("the store is up");
        }
        thread::sleep(CALM);
    }
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    hosts.iter_mut().for_each(Host::kill);
    let outcome = outcome.lock().unwrap();
    let text = format!(
        "{} answers were complete, {} of them joined from two versions; {} others",
        outcome.complete,
        outcome.joined.len(),
        outcome.other
    );
    outcome.joined.iter().for_each(|line| record.line(line));
    record.line(&text);
    println!("{text}");
    drop(run);
    std::process::exit(if outcome.joined.is_empty() { HELD } else { BROKEN });
}

fn request(frontend: std::net::SocketAddr, number: u64, record: &Record, outcome: &Mutex<Outcome>) {
    let id = format!("{number:016x}");
    let prefix = format!("5c1e07a2:200,{number:x}:800");
    let headers = [
        ("Model", "m"),
        ("Token-Count", "1000,3040"),
        ("Prefix-Hash", prefix.as_str()),
        ("Deadline-Ms", "14000"),
    ];
    let answer = send(frontend, "POST", "/note/1", &id, &headers, b"binding history", Duration::from_secs(14));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let events: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let versions: BTreeSet<_> = events.iter().filter_map(|event| event.split(' ').next()).collect();
    let mut outcome = outcome.lock().unwrap();
    if answer.status != 200 || events.len() != EVENTS {
        outcome.other += 1;
        record.line(format!("client gets {} with {} events for {id}", answer.status, events.len()));
        return;
    }
    outcome.complete += 1;
    if versions.len() > 1 {
        let change = events.windows(2).find(|pair| pair[0].split(' ').next() != pair[1].split(' ').next());
        let change = change.map(|pair| pair.join(" | ")).unwrap_or_default();
        record.line(format!("client gets 200, complete, joined from two versions, for {id}: {change}"));
        outcome.joined.push(format!("{id}: {change}"));
    }
}
