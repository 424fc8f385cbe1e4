//! A host that stops begins streams late in its grace by the speed of the workers that it has seen, and cuts those
//! off that a slower worker runs, which has just been added.

use crate::Finding;
use crate::engine::{Engine, Pace};
use crate::host::{Host, receive, send};
use crate::http::{read_body, read_head};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The speeds of the workers: 1.2 and 0.55 of the usual one.
const EVENTS: usize = 112;
const FAST: Pace = Pace { events: EVENTS, period: Duration::from_millis(20) };
const SLOW: Pace = Pace { events: EVENTS, period: Duration::from_micros(43_600) };
/// The prompt and the largest number of output tokens that each request names.
const TOKEN_COUNT: &str = "1000,115";
/// The heartbeat of the workers, by which they write into the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The callers at each host, and how long they call before the stop.
const CALLERS: usize = 4;
const CALM: Duration = Duration::from_secs(9);
/// How long before the stop the slow worker is added.
const ADDED_BEFORE: Duration = Duration::from_millis(500);
/// The channels that are opened while the balancer still may, when that is, and when they are first used.
const LATE: usize = 16;
const OPENED_AT: Duration = Duration::from_millis(1_800);
const USED_AT: Duration = Duration::from_millis(3_200);
/// `grace_s`, after which the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"note\",\"hostname\":\"desk.example\",\
     \"prefix\":\"/note/\",\"route_kind\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":900,\"target_gap_ms\":300,\"priority\":1,\"service\":\"llm\",\
     \"max_attempts\":1,\"sticky\":true,\"resumable\":false}],\"services\":[{\"name\":\"llm\",\
     \"health_path\":\"/healthz\",\"max_connections\":310,\"protocol\":\"h1\",\"tls\":false,\
     \"engine\":{\"slots\":16,\"kv_capacity\":100102,\"kv_token_bytes\":96256,\
     \"link_mbps\":5900000.0,\"stride\":1,\"handle_ttl_s\":0.5,\"switch_time_s\":6.0,\
     \"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\
     \"max_body_bytes\":65536,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}

fn headers(caller: usize, number: usize) -> String {
    format!(
        "Model: m\r\nToken-Count: {TOKEN_COUNT}\r\nPrefix-Hash: a1:600,b{caller:x}{number:x}:400\r\n"
    )
}

pub fn play(record: &Record, folder: &str, has_trouble: bool) -> Finding {
    let store = Store::start();
    store.write("op/config", &config());
    let engine = |name, stage, pace| Engine::start(name, "llm", "tyrol-a", stage, pace, record);
    let engines = vec![
        engine("p0", "prefill", FAST),
        engine("d0", "decode", FAST),
        engine("d1", "decode", FAST),
        engine("d2", "decode", FAST),
        engine("d4", "decode", FAST),
    ];
    let added = engine("d3", "decode", SLOW);
    let register = |store: &Store, engine: &Engine, sequence| {
        store.write(&format!("servers/{}", engine.name), &engine.registration(sequence));
    };
    engines.iter().for_each(|engine| register(&store, engine, 1));
    let is_added = Arc::new(AtomicBool::new(false));
    let (beats, beating, last, joins) =
        (store.clone(), engines.clone(), added.clone(), is_added.clone());
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            beating.iter().for_each(|engine| register(&beats, engine, sequence));
            if joins.load(Ordering::Relaxed) {
                register(&beats, &last, sequence);
            }
        }
    });
    let start = |name| Host::start(store.address, name, "tyrol-a", folder);
    let (mut stopping, staying) = (start("edge-1"), start("edge-2"));
    if !stopping.is_ready() || !staying.is_ready() {
        return Finding::CouldNotRun("the hosts are not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let ends = [Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false))];
    let served = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for caller in 0..CALLERS * 2 {
        let frontend = [stopping.frontend, staying.frontend][caller % 2];
        let (ends, served, record) = (ends[caller % 2].clone(), served.clone(), record.clone());
        callers.push(thread::spawn(move || call(caller, frontend, &ends, &served, &record)));
    }
    thread::sleep(CALM - ADDED_BEFORE);
    record.note("d3 is added");
    register(&store, &added, 1);
    is_added.store(true, Ordering::Relaxed);
    thread::sleep(ADDED_BEFORE);
    ends[0].store(true, Ordering::Relaxed);
    let began = Instant::now();
    if has_trouble {
        record.note("edge-1 gets SIGTERM");
        stopping.signal("TERM");
    }
    let late: Vec<_> = (0..LATE)
        .map(|number| {
            let (record, frontend) = (record.clone(), stopping.frontend);
            thread::spawn(move || call_late(number, frontend, began, &record))
        })
        .collect();
    // The platform kills the process at the end of the grace.
    thread::sleep(GRACE.saturating_sub(began.elapsed()));
    if has_trouble {
        stopping.signal("KILL");
        stopping.wait();
        record.note("the grace of edge-1 is over");
    }
    ends[1].store(true, Ordering::Relaxed);
    let outcomes: Vec<_> = late.into_iter().filter_map(|late| late.join().ok()).collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop((stopping, staying));
    let count = |wanted| outcomes.iter().filter(|outcome| **outcome == wanted).count();
    let summary = format!(
        "of {LATE} requests that were sent {} ms after the signal {} were answered, {} refused and {} \
         cut off after they had been passed on; {} streams were served before and beside them",
        USED_AT.as_millis(),
        count(Outcome::Whole),
        count(Outcome::Refused),
        count(Outcome::CutOff),
        served.load(Ordering::Relaxed)
    );
    match count(Outcome::CutOff) > 0 {
        true => Finding::Broken(summary),
        false => Finding::Held(summary),
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Whole,
    Refused,
    CutOff,
    NotSent,
}

/// Sends one request on a channel that was opened earlier.
fn call_late(number: usize, frontend: SocketAddr, began: Instant, record: &Record) -> Outcome {
    let id = format!("late-{number}");
    thread::sleep(OPENED_AT.saturating_sub(began.elapsed()));
    let Ok(mut stream) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else {
        return Outcome::NotSent;
    };
    let _ = stream.set_nodelay(true);
    thread::sleep(USED_AT.saturating_sub(began.elapsed()));
    record.note(&format!("caller sends {id} on a channel opened before"));
    let request = format!(
        "POST /note/{id} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 14000\r\n\
         {}Content-Length: 6\r\n\r\nprompt",
        headers(99, number)
    );
    if stream.write_all(request.as_bytes()).is_err() {
        record.note(&format!("{id} is not taken"));
        return Outcome::NotSent;
    }
    let _ = stream.set_read_timeout(Some(Duration::from_secs(14)));
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader);
    let Ok(Some(mut response)) = head else {
        let was_run = !record.runs(&id).is_empty();
        record.note(&format!("{id} gets no answer; run: {was_run}"));
        return if was_run { Outcome::CutOff } else { Outcome::NotSent };
    };
    let whole = read_body(&mut reader, &mut response, true).is_ok();
    let status = response.status();
    record.note(&format!("{id} gets {status}, whole: {whole}"));
    match (status, whole) {
        (_, false) => Outcome::CutOff,
        (200, true) => Outcome::Whole,
        (_, true) => Outcome::Refused,
    }
}

/// Sends requests one after another until the case ends.
fn call(
    caller: usize,
    frontend: SocketAddr,
    ends: &AtomicBool,
    served: &AtomicUsize,
    record: &Record,
) {
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("note-{caller}-{number}");
        record.note(&format!("caller sends {id}"));
        let path = format!("/note/{id}");
        let extra = headers(caller, number);
        let stream = send(frontend, "POST", &path, &id, 14_000, &extra, b"prompt");
        match stream.and_then(|stream| receive(stream, Duration::from_secs(15))) {
            Ok(response) => {
                record.note(&format!("{id} gets {}, whole", response.status()));
                served.fetch_add(usize::from(response.status() == 200), Ordering::Relaxed);
            }
            Err(error) => record.note(&format!("{id} gets no whole answer: {error}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
}
