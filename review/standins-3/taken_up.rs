//! Workers crash and come back under their ids with a newer version of their software, and a host is killed before
//! any host has read the new records: callers take their streams up at other hosts, which go on at the old version.

#[path = "../standins-2/common.rs"]
mod common;
#[path = "engines_by_heartbeat.rs"]
mod engines;

use common::*;
use engines::{Engine, model_config};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const WORKERS: usize = 10;
/// The workers that crash: two of ten.
const CRASHING: std::ops::Range<usize> = 2..4;
const SLOTS: usize = 8;
/// The streams that begin at once, a third at each host.
const STREAMS: usize = 60;
const EVENTS: usize = 40;
const GAP: Duration = Duration::from_millis(40);
/// For how long a worker is down.
const DOWN: Duration = Duration::from_millis(100);
/// How long after the crash the streams begin, and how much later the host is killed.
const BEGIN: Duration = Duration::from_millis(130);
const KILL: Duration = Duration::from_millis(350);

#[derive(Default)]
struct Outcome {
    whole: usize,
    taken_up: usize,
    joined: Vec<String>,
    other: usize,
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let run = RunFolder::create("taken-up");
    let pids = Pids::default();
    limit_time(Duration::from_secs(110), &run, &pids);
    let store = Store::start();
    store.put("op/config", &model_config(3));
    let _prefill = Engine::start("p1", "prefill", 64, 0, GAP, &store, &record);
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
    // The workers write with every heartbeat, of 1.2 s; the crash comes right after one.
    sleep_until(record.start + Duration::from_millis(4 * 1_200 + 60));
    let began = Instant::now();
    if has_trouble() {
        workers[CRASHING].iter().for_each(Engine::go_down);
        thread::sleep(DOWN);
        workers[CRASHING].iter().for_each(|worker| worker.come_up("v2"));
    }
    sleep_until(began + BEGIN);
    let frontends: Vec<_> = hosts.iter().map(|host| host.frontend).collect();
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (outcome, record, frontends) = (outcome.clone(), record.clone(), frontends.clone());
            thread::spawn(move || follow(number, &frontends, &record, &outcome))
        })
        .collect();
    sleep_until(began + BEGIN + KILL);
    record.line("edge-1 is killed");
    hosts[0].kill();
    streams.into_iter().for_each(|stream| drop(stream.join()));
    hosts.iter_mut().for_each(Host::kill);
    let outcome = outcome.lock().unwrap();
    let text = format!(
        "{} streams were whole, {} of them taken up and {} joined from two versions; {} others",
        outcome.whole,
        outcome.taken_up,
        outcome.joined.len(),
        outcome.other
    );
    outcome.joined.iter().for_each(|line| record.line(format!("joined: stream {line}")));
    record.line(&text);
    println!("{text}");
    drop(run);
    std::process::exit(if outcome.joined.is_empty() { HELD } else { BROKEN });
}

/// Reads a stream, and takes it up once at another host if its channel breaks.
fn follow(number: usize, frontends: &[SocketAddr], record: &Record, outcome: &Mutex<Outcome>) {
    let mut events = Vec::new();
    let mut attempts = 0;
    let mut is_whole = false;
    while attempts < 2 && !is_whole {
        let frontend = frontends[(number + attempts) % frontends.len()];
        attempts += 1;
        let id = format!("{number:08x}{attempts:08x}");
        record.line(format!("client sends {id} after event {}", events.len()));
        let status = read_stream(frontend, &id, number, &mut events, &mut is_whole);
        record.line(format!("client gets {status:?} for {id}: {} events, whole: {is_whole}", events.len()));
    }
    let versions: BTreeSet<_> = events.iter().filter_map(|event| event.split(' ').next()).collect();
    let mut outcome = outcome.lock().unwrap();
    if !is_whole || events.len() != EVENTS {
        outcome.other += 1;
        return;
    }
    outcome.whole += 1;
    outcome.taken_up += usize::from(attempts > 1);
    if versions.len() > 1 {
        let change = events.windows(2).find(|pair| pair[0].split(' ').next() != pair[1].split(' ').next());
        outcome.joined.push(format!("{number}: {}", change.map(|pair| pair.join(" | ")).unwrap_or_default()));
    }
}

/// Sends a request for a stream after the events that are there, and adds those that come.
fn read_stream(
    frontend: SocketAddr,
    id: &str,
    number: usize,
    events: &mut Vec<String>,
    is_whole: &mut bool,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)).ok()?;
    let after = if events.is_empty() { String::new() } else { format!("Last-Event-Id: {}\r\n", events.len()) };
    let request = format!(
        "POST /note/{number} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 1000,3040\r\nPrefix-Hash: 5c1e07a2:200,{:x}:800\r\nDeadline-Ms: 14000\r\n{after}\
         Content-Length: 7\r\n\r\nhistory",
        number + 1
    );
    stream.write_all(request.as_bytes()).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(14)));
    let mut text = String::new();
    let mut buffer = [0; 4096];
    let mut taken = 0;
    loop {
        let length = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        let lines: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        // The last line may not be whole yet.
        let count = lines.len() - usize::from(!text.ends_with('\n') && text.lines().next_back().is_some_and(|line| line.starts_with("data: ")));
        events.extend(lines[taken.min(count)..count].iter().map(|line| (*line).to_owned()));
        taken = taken.max(count);
        if text.ends_with("0\r\n\r\n") {
            *is_whole = true;
            break;
        }
    }
    text.split(' ').nth(1)?.parse().ok()
}
