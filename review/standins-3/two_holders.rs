//! The store returns from an older copy right after one host has carried out a role plan; another host, which has
//! been busy with the plan of another service meanwhile, then carries out one of its own for the same workers.

use crate::Finding;
use crate::engine::{Engine, Order, Pace};
use crate::host::{Host, receive, send};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `lease_ms` of the small installations.
const LEASE: Duration = Duration::from_millis(3_000);
/// How old the copy is from which the store returns, and how long the store is away.
const COPY_AGE: Duration = Duration::from_millis(4_000);
const AWAY: Duration = Duration::from_millis(100);
/// The heartbeat of the workers, by which they write into the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const PACE: Pace = Pace { events: 8, period: Duration::from_millis(60) };
const SERVICES: [&str; 2] = ["llm-a", "llm-b"];
/// The callers of each service at each host.
const CALLERS: usize = 20;
/// How long after the first orders a case waits for further ones.
const WATCH_TIME: Duration = Duration::from_secs(8);

fn config() -> String {
    let route = |service: &str| {
        format!(
            "{{\"name\":\"{service}\",\"hostname\":\"desk.example\",\"prefix\":\"/{service}/\",\
             \"route_kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":900,\
             \"target_gap_ms\":300,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
             \"sticky\":true,\"resumable\":true}}"
        )
    };
    let service = |service: &str| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_connections\":310,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kv_capacity\":100102,\
             \"kv_token_bytes\":96256,\"link_mbps\":5900000.0,\"stride\":1,\"handle_ttl_s\":0.5,\
             \"switch_time_s\":6.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    };
    let join = |part: &dyn Fn(&str) -> String| SERVICES.map(part).join(",");
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        join(&route),
        join(&service)
    )
}

fn start_engines(record: &Record) -> Vec<Engine> {
    let mut engines = Vec::new();
    for service in SERVICES {
        let places = [
            ("p0", "tyrol-a", "prefill"),
            ("p1", "tyrol-a", "prefill"),
            ("p2", "tyrol-b", "prefill"),
            ("d0", "tyrol-a", "decode"),
            ("d1", "tyrol-b", "decode"),
        ];
        for (name, zone, stage) in places {
            let name = format!("{service}-{name}");
            engines.push(Engine::start(&name, service, zone, stage, PACE, record));
        }
    }
    engines
}

/// Returns whether two services have had orders, each of another holder.
fn has_two_plans(orders: &[Order]) -> bool {
    let holders: BTreeSet<_> = orders.iter().map(|order| &order.holder).collect();
    holders.len() > 1
}

pub fn play(record: &Record, folder: &str, has_trouble: bool) -> Finding {
    let store = Store::start();
    store.write("op/config", &config());
    let engines = start_engines(record);
    let (beats, beating) = (store.clone(), engines.clone());
    let beat = move |sequence| {
        for engine in &beating {
            beats.write(&format!("servers/{}", engine.name), &engine.registration(sequence));
        }
    };
    beat(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            beat(sequence);
        }
    });
    let hosts = [("edge-1", "tyrol-a"), ("edge-2", "tyrol-b")];
    let hosts = hosts.map(|(name, domain)| Host::start(store.address, name, domain, folder));
    if !hosts.iter().all(Host::is_ready) {
        return Finding::CouldNotRun("the hosts are not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let ends = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for caller in 0..CALLERS * 4 {
        let (frontend, service) = (hosts[caller % 2].frontend, SERVICES[caller / 2 % 2]);
        let (ends, served, record) = (ends.clone(), served.clone(), record.clone());
        callers.push(thread::spawn(move || {
            call(caller, service, frontend, &ends, &served, &record);
        }));
    }
    let orders = || -> Vec<Order> { engines.iter().flat_map(Engine::orders).collect() };
    let deadline = Instant::now() + Duration::from_secs(30);
    while !has_two_plans(&orders()) && Instant::now() < deadline {
        store.keep_copy();
        thread::sleep(Duration::from_millis(10));
    }
    if !has_two_plans(&orders()) {
        return Finding::CouldNotRun("one host has made both plans".to_owned());
    }
    if has_trouble {
        record.note("the store is away");
        store.set_down(true);
        thread::sleep(AWAY);
        let age = store.return_from(COPY_AGE);
        store.write("op/config", &config());
        store.set_down(false);
        record.note(&format!("the store is back, from a copy {} ms old", age.as_millis()));
    }
    thread::sleep(WATCH_TIME);
    ends.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let mut found = Vec::new();
    for engine in &engines {
        for pair in engine.orders().windows(2) {
            let apart = pair[1].at - pair[0].at;
            if pair[0].holder != pair[1].holder && apart < LEASE {
                found.push(format!(
                    "{} got an order of {} (fence {}) and, {} ms later, one of {} (fence {})",
                    engine.name,
                    pair[0].holder,
                    pair[0].fence,
                    apart.as_millis(),
                    pair[1].holder,
                    pair[1].fence
                ));
            }
        }
    }
    let served = served.load(Ordering::Relaxed);
    match found.is_empty() {
        false => Finding::Broken(format!("{}; {served} streams were served", found.join("; "))),
        true => Finding::Held(format!(
            "{} orders, no worker got orders of two holders within {} ms; {served} streams were served",
            orders().len(),
            LEASE.as_millis()
        )),
    }
}

/// Sends requests one after another until the case ends.
fn call(
    caller: usize,
    service: &str,
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
        let extra = format!(
            "Model: m\r\nToken-Count: 10,8\r\nPrefix-Hash: a{caller:x}:6,b{caller:x}{number:x}:4\r\n"
        );
        let path = format!("/{service}/{id}");
        record.note(&format!("caller sends {id}"));
        let stream = send(frontend, "POST", &path, &id, 14_000, &extra, b"prompt");
        let response = stream.and_then(|stream| receive(stream, Duration::from_secs(15)));
        match response {
            Ok(response) if response.status() == 200 => {
                record.note(&format!("{id} is answered 200"));
                served.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            Ok(response) => record.note(&format!("{id} is answered {}", response.status())),
            Err(error) => record.note(&format!("{id} gets no whole answer: {error}")),
        }
        thread::sleep(Duration::from_millis(300));
    }
}
