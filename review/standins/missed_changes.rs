//! A host loses the store for some seconds, in which the configuration changes several times.
//! Afterwards it has to serve by the newest version; see claim.txt.

mod host;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use host::{Bounds, Host};
use http::call;
use proxy::Proxy;
use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use store::Store;
use worker::{Runs, Worker};

/// The figures of `tariq-roads-grown.toml` and its sheet.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const HISTORY: Duration = Duration::from_secs(20);
const LINK_MBPS: f64 = 10.0;
const CUT: Duration = Duration::from_millis(5_500);
const ADDED_ROUTES: usize = 1_400;
const CHANGE_GAP: Duration = Duration::from_millis(800);
const CHANGES: u64 = 5;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Returns a configuration. From the second version on, each moves the route `/moved/` to the
/// other service and adds the route `/new-VERSION/`, as `config_change` does.
fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"site.example\",\"prefix\":\"{prefix}\",\
             \"route_kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":300,\
             \"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\"sticky\":false,\
             \"resumable\":false}}"
        )
    };
    let moved = if version % 2 == 1 { "app-one" } else { "app-two" };
    let mut routes = vec![route("look", "/look/", "app-one"), route("moved", "/moved/", moved)];
    for index in 2..=version {
        let name = format!("new-{index}");
        routes.push(route(&name, &format!("/{name}/"), "app-one"));
    }
    for index in 0..ADDED_ROUTES {
        let name = format!("r-{index:06}");
        routes.push(route(&name, &format!("/added-{index:06}/"), "app-one"));
    }
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":450,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        service("app-one"),
        service("app-two")
    )
}

/// A probe of the configuration in force at a host.
struct Probe {
    host: usize,
    id: String,
    path: String,
    sent: Instant,
    status: u16,
}

fn send(
    hosts: &[(String, std::net::SocketAddr)],
    host: usize,
    path: &str,
    record: &Record,
    probes: &Mutex<Vec<Probe>>,
) {
    let (name, frontend) = &hosts[host];
    let mut known = probes.lock().unwrap();
    let id = format!("q{:05}", known.len());
    let sent = Instant::now();
    known.push(Probe { host, id: id.clone(), path: path.to_owned(), sent, status: 0 });
    let index = known.len() - 1;
    drop(known);
    record.line(&format!("client sends {id} (GET {path}) to {name}"));
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n"
    );
    let answer = call(*frontend, &head, b"", Duration::from_secs(5));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("client gets {status} for {id}"));
    probes.lock().unwrap()[index].status = status;
}

fn run(folder: &Path, with_trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder);
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    std::fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
    let store = Store::start(HISTORY);
    let runs = Runs::default();
    let delay = Duration::from_millis(20);
    let workers = [
        Worker::start("i-one-1", "app-one", delay, &record, &runs),
        Worker::start("i-one-2", "app-one", delay, &record, &runs),
        Worker::start("i-two-1", "app-two", delay, &record, &runs),
        Worker::start("i-two-2", "app-two", delay, &record, &runs),
    ];
    store.write("op/config", &config(1));
    let stop = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, workers, stop) = (store.clone(), workers.clone(), stop.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for worker in &workers {
                    let key = format!("servers/{}", worker.name);
                    store.write(&key, &worker.entry("amman-a", sequence));
                }
                thread::sleep(HEARTBEAT);
                if stop.load(Ordering::SeqCst) {
                    return;
                }
            }
        })
    };
    let bounds = Bounds { config_apply_ms: 3_000, budget_slack: 170, revoke_ms: None };
    let links = [Proxy::start(store.address, LINK_MBPS), Proxy::start(store.address, LINK_MBPS)];
    let mut machines: Vec<Host> = (0..2)
        .map(|index| {
            let name = format!("edge-amman-a-{}", index + 1);
            Host::new(&name, "amman-a", links[index].address, &temp, bounds)
        })
        .collect();
    machines.iter_mut().for_each(|host| host.start(true));
    if !machines.iter().all(|host| host.wait_ready(Duration::from_secs(20))) {
        return Err("the hosts are not ready after 20 s".to_owned());
    }
    record.line("both hosts are ready");
    thread::sleep(Duration::from_secs(5));

    let hosts: Arc<Vec<_>> =
        Arc::new(machines.iter().map(|host| (host.name.clone(), host.frontend)).collect());
    let confirmed: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let probes: Arc<Mutex<Vec<Probe>>> = Arc::default();
    let clients: Vec<_> = (0..2)
        .map(|host| {
            let (hosts, probes, record) = (hosts.clone(), probes.clone(), record.clone());
            let (stop, confirmed) = (stop.clone(), confirmed.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    send(&hosts, host, "/look/a", &record, &probes);
                    send(&hosts, host, "/moved/a", &record, &probes);
                    let newest = confirmed.lock().unwrap().last().map(|(version, _)| *version);
                    if let Some(version) = newest {
                        send(&hosts, host, &format!("/new-{version}/a"), &record, &probes);
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();

    if with_trouble {
        links[0].set_cut(true);
        record.line("edge-amman-a-1 is cut off from the store");
    }
    let cut_at = Instant::now();
    for version in 2..2 + CHANGES {
        thread::sleep(CHANGE_GAP);
        store.write("op/config", &config(version));
        confirmed.lock().unwrap().push((version, Instant::now()));
        record.line(&format!("the store confirms version {version} of the configuration"));
    }
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    links[0].set_cut(false);
    let healed_at = Instant::now();
    record.line("all links are sound");
    thread::sleep(Duration::from_secs(24));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    beats.join().map_err(|_| "the heartbeats failed".to_owned())?;
    drop(machines);
    if std::env::var("KEEP_LOGS").is_err() {
        drop(std::fs::remove_dir_all(&temp));
    }

    // Only the machine that was cut off has to be in touch again before it is judged.
    let (last, last_at) = *confirmed.lock().unwrap().last().ok_or("no version was confirmed")?;
    let service = if last % 2 == 1 { "app-one" } else { "app-two" };
    let runs = runs.0.lock().unwrap();
    let (mut judged, mut old_service, mut not_found) = (0, 0, 0);
    for probe in probes.lock().unwrap().iter() {
        let touched = healed_at + STABLE_WINDOW;
        let from = if probe.host == 0 {
            touched.max(last_at + CONFIG_APPLY)
        } else {
            last_at + CONFIG_APPLY
        };
        if probe.sent < from {
            continue;
        }
        judged += 1;
        let ran_by = runs.iter().find(|run| run.id == probe.id).map(|run| run.service.as_str());
        let is_old = probe.path.starts_with("/moved/") && ran_by.is_some_and(|by| by != service);
        let is_missing = probe.path.starts_with("/new-") && probe.status == 404;
        if is_old || is_missing {
            record.line(&format!(
                "BROKEN: {} (GET {}) was sent to {} at {} ms, {} ms after the confirmation of \
                 version {last}, and {}",
                probe.id,
                probe.path,
                hosts[probe.host].0,
                record.ms(probe.sent),
                (probe.sent - last_at).as_millis(),
                if is_old { "ran at the old service" } else { "got 404" }
            ));
        }
        old_service += usize::from(is_old);
        not_found += usize::from(is_missing);
    }
    let broken = old_service + not_found > 0;
    let text = format!(
        "judged {judged} requests: {old_service} ran at the service of an older version, \
         {not_found} got 404 for a route that is there"
    );
    record.line(&text);
    println!("{text}");
    match judged {
        0 => Err("no request was judged".to_owned()),
        _ => Ok(broken),
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
