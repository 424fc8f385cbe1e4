//! A worker crashes, comes back under its id with a newer version of its software and crashes once more, all before
//! a host has read its new record: streams that began at the new process go on at the old version.

#[path = "../standins-2/common.rs"]
mod common;
#[path = "../standins-2/engines.rs"]
mod engines;

use common::*;
use engines::{Engine, model_config};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
/// One worker of ten crashes at a time.
const WORKERS: usize = 10;
const SLOTS: usize = 4;
/// The streams of one round, all begun at once; a third at each host.
const STREAMS: usize = 30;
const EVENTS: usize = 30;
const GAP: Duration = Duration::from_millis(40);
/// How many workers crash, one in each round.
const ROUNDS: usize = 9;
const ROUND: Duration = Duration::from_secs(6);
/// For how long a worker is down each time, and how long it is up in between.
const DOWN: Duration = Duration::from_millis(100);
const UP: Duration = Duration::from_millis(450);
/// How long after the first crash the streams of a round begin.
const BEGIN: Duration = Duration::from_millis(130);

#[derive(Default)]
struct Outcome {
    complete: usize,
    other: usize,
    joined: Vec<String>,
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let run = RunFolder::create("joined-again");
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
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    for (round, worker) in workers.iter().take(ROUNDS).enumerate() {
        let began = Instant::now();
        let crashing = worker.clone();
        let crashes = thread::spawn(move || {
            if !has_trouble() {
                return;
            }
            for pause in [UP, Duration::ZERO] {
                crashing.go_down();
                thread::sleep(DOWN);
                crashing.come_up("v2");
                thread::sleep(pause);
            }
        });
        sleep_until(began + BEGIN);
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (outcome, record) = (outcome.clone(), record.clone());
                let frontend = hosts[number % HOSTS].frontend;
                let number = (round * STREAMS + number + 1) as u64;
                thread::spawn(move || request(frontend, number, &record, &outcome))
            })
            .collect();
        streams.into_iter().for_each(|stream| drop(stream.join()));
        let _ = crashes.join();
        sleep_until(began + ROUND);
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
        ("Token-Count", "1000,2280"),
        ("Prefix-Hash", prefix.as_str()),
        ("Deadline-Ms", "14000"),
    ];
    record.line(format!("client sends {id}"));
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
    if versions.len() < 2 {
        record.line(format!("client gets 200, complete, for {id}"));
        return;
    }
    let change = events.windows(2).find(|pair| pair[0].split(' ').next() != pair[1].split(' ').next());
    let change = change.map(|pair| pair.join(" | ")).unwrap_or_default();
    record.line(format!("client gets 200, complete, joined from two versions, for {id}: {change}"));
    outcome.joined.push(format!("{id}: {change}"));
}
