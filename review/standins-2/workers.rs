//! Workers of plain services that several scripts use.

use crate::common::*;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that has reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
}

/// The requests that wait for a slot, in their order, and the number of those that run.
#[derive(Default)]
struct Places {
    next: u64,
    running: usize,
    waiting: VecDeque<u64>,
}

/// A worker of a plain service. Clones share their state.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub born: Arc<AtomicU64>,
    service: String,
    slots: usize,
    work: Duration,
    /// The path prefix of requests that crash the worker when it begins to run them.
    crashing: Option<String>,
    down: Arc<AtomicBool>,
    places: Arc<Mutex<Places>>,
    queue: usize,
    /// The ids of the requests that it has begun to run.
    pub runs: Arc<Mutex<Vec<String>>>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
    store: Store,
}

impl Worker {
    pub fn start(name: &str, service: &str, slots: usize, queue: usize, work: Duration, crashing: Option<&str>, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            arrivals: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            service: service.to_owned(),
            slots,
            work,
            crashing: crashing.map(str::to_owned),
            down: Arc::default(),
            places: Arc::default(),
            queue,
            runs: Arc::default(),
            channels: Arc::default(),
            record: record.clone(),
            store: store.clone(),
        };
        worker.register("ready", 1);
        worker.listen(listener);
        let beating = worker.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if !beating.down.load(Ordering::Relaxed) {
                    beating.register("ready", sequence);
                }
            }
        });
        worker
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    fn register(&self, state: &str, sequence: u64) {
        let record = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"tyrol-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born.load(Ordering::Relaxed)
        );
        let _ = self.store.put(&self.key(), &record);
    }

    fn listen(&self, listener: TcpListener) {
        let worker = self.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            loop {
                if worker.down.load(Ordering::Relaxed) {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        worker.channels.lock().unwrap().push(stream.try_clone().unwrap());
                        let worker = worker.clone();
                        thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Returns how many requests it runs.
    pub fn running(&self) -> usize {
        self.places.lock().unwrap().running
    }

    /// The worker's process ends, and starts again after `pause`.
    pub fn crash(&self, pause: Duration) {
        if self.down.swap(true, Ordering::Relaxed) {
            return;
        }
        // The listener is closed by its thread within some milliseconds.
        thread::sleep(Duration::from_millis(15));
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(pause);
            let listener = loop {
                match TcpListener::bind(worker.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            worker.born.store(unix_ms(), Ordering::Relaxed);
            *worker.places.lock().unwrap() = Places::default();
            worker.down.store(false, Ordering::Relaxed);
            worker.record.line(format!("worker {} is back", worker.name));
            worker.register("ready", 1);
            worker.listen(listener);
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.down.load(Ordering::Relaxed) {
                return;
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let (status, extra) = match request.path() {
                "/healthz" => ("200 OK", vec![("Instance-Id", self.name.as_str())]),
                "/-/report" => {
                    let report = format!(
                        "{{\"born\":{},\"stage\":null,\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\
                         \"kv_used\":0,\"kv_total\":0,\"handles\":0}}",
                        self.born.load(Ordering::Relaxed)
                    );
                    if writer.write_all(&response("200 OK", &[("Content-Type", "application/json")], report.as_bytes())).is_err() {
                        return;
                    }
                    continue;
                }
                _ => match self.run(&request, &id, &writer) {
                    Some(answer) => answer,
                    None => return,
                },
            };
            let body = format!("answer to {} {id} by {}", request.target(), self.name);
            let mut headers = vec![("Request-Id", id.as_str())];
            headers.extend(extra);
            if writer.write_all(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Runs a request, or turns it away while it is full or once its time limit has passed in the
    /// queue. Returns `None` if it crashes the worker, or if its channel has closed meanwhile.
    fn run(&self, request: &Head, id: &str, stream: &TcpStream) -> Option<(&'static str, Vec<(&'static str, &'static str)>)> {
        let came = Instant::now();
        let limit = request.header("deadline-ms").and_then(|limit| limit.parse().ok()).unwrap_or(30_000);
        let end = came + Duration::from_millis(limit);
        let expected = request.header("expect-instance").is_none_or(|name| name == self.name);
        let arrival = Arrival { at: came, id: id.to_owned(), path: request.path().to_owned() };
        self.arrivals.lock().unwrap().push(arrival);
        let name = &self.name;
        self.record.line(format!("worker {name} gets {id} {} (Deadline-Ms {limit})", request.target()));
        let declined = [("Not-Executed", "1")].to_vec();
        if !expected {
            self.record.line(format!("worker {name} answers 421 to {id}"));
            return Some(("421 Misdirected Request", declined));
        }
        let ticket = {
            let mut places = self.places.lock().unwrap();
            if places.waiting.len() >= self.queue {
                drop(places);
                self.record.line(format!("worker {name} is full and does not run {id}"));
                return Some(("503 Service Unavailable", declined));
            }
            places.next += 1;
            let ticket = places.next;
            places.waiting.push_back(ticket);
            ticket
        };
        loop {
            let mut places = self.places.lock().unwrap();
            if places.waiting.front() == Some(&ticket) && places.running < self.slots {
                places.waiting.pop_front();
                places.running += 1;
                break;
            }
            let is_closed = is_closed(stream);
            if Instant::now() >= end || is_closed {
                places.waiting.retain(|waiting| *waiting != ticket);
                drop(places);
                if is_closed {
                    self.record.line(format!("worker {name} drops {id}, whose channel has closed"));
                    return None;
                }
                self.record.line(format!("worker {name} does not run {id}: its time limit has passed in the queue"));
                return Some(("503 Service Unavailable", declined));
            }
            drop(places);
            thread::sleep(Duration::from_micros(500));
        }
        self.record.line(format!("worker {name} runs {id}"));
        self.runs.lock().unwrap().push(id.to_owned());
        if self.crashing.as_ref().is_some_and(|prefix| request.path().starts_with(prefix)) {
            self.record.line(format!("worker {name} crashes under {id}"));
            self.crash(Duration::from_millis(2_000));
            return None;
        }
        let done = Instant::now() + self.work;
        sleep_until(done.min(end));
        let mut places = self.places.lock().unwrap();
        places.running = places.running.saturating_sub(1);
        if done > end {
            return Some(("504 Gateway Timeout", Vec::new()));
        }
        Some(("200 OK", vec![("Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]))
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0)) || peeked.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}

/// Returns the operator's configuration with two routes to the plain service `app`.
pub fn app_config(version: u64, timeout_ms: u64, target_ms: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":2,\"service\":\"app\",\
             \"max_attempts\":{attempts},\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\
         \"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("book", "non_idempotent", 1),
        route("look", "idempotent", 2)
    )
}

/// Returns the same configuration with one more idempotent route.
pub fn app_config_with(version: u64, timeout_ms: u64, target_ms: u64, added: &str) -> String {
    let look = "{\"name\":\"look\"";
    let config = app_config(version, timeout_ms, target_ms);
    let start = config.find(look).unwrap();
    let end = start + config[start..].find('}').unwrap() + 1;
    let route = config[start..end].replace("\"look\"", &format!("\"{added}\"")).replace("/look/", &format!("/{added}/"));
    format!("{},{route}{}", &config[..end], &config[end..])
}
