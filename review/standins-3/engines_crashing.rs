//! Workers of a model service like those of the second review; a request whose own part has 801 tokens crashes the decode
//! worker that begins to run it, which is back after 1.5 s.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A model worker. Clones share their state.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    address: SocketAddr,
    born: Arc<AtomicU64>,
    /// The version of its software, which each event names.
    version: Arc<Mutex<String>>,
    stage: &'static str,
    slots: usize,
    events: usize,
    gap: Duration,
    /// Counts the process's lifetimes; a stream ends with the one in which it began.
    lifetime: Arc<AtomicU64>,
    is_up: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
    store: Store,
}

impl Engine {
    pub fn start(name: &str, stage: &'static str, slots: usize, events: usize, gap: Duration, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            version: Arc::new(Mutex::new("v1".to_owned())),
            stage,
            slots,
            events,
            gap,
            lifetime: Arc::new(AtomicU64::new(1)),
            is_up: Arc::new(AtomicBool::new(true)),
            channels: Arc::default(),
            record: record.clone(),
            store: store.clone(),
        };
        engine.register(1);
        engine.listen(listener);
        let beating = engine.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if beating.is_up.load(Ordering::SeqCst) {
                    beating.register(sequence);
                }
            }
        });
        engine
    }

    /// Writes the entry of the worker in the store.
    fn register(&self, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"tyrol-a\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{},\"stage\":\"{}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]}}",
            self.address,
            self.version.lock().unwrap(),
            self.slots,
            self.born.load(Ordering::SeqCst),
            self.stage
        );
        let _ = self.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn listen(&self, listener: TcpListener) {
        let engine = self.clone();
        let lifetime = self.lifetime.load(Ordering::SeqCst);
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while engine.lives(lifetime) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        engine.channels.lock().unwrap().push(stream.try_clone().unwrap());
                        let engine = engine.clone();
                        thread::spawn(move || engine.serve(stream, lifetime));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn lives(&self, lifetime: u64) -> bool {
        self.is_up.load(Ordering::SeqCst) && self.lifetime.load(Ordering::SeqCst) == lifetime
    }

    /// The process ends: its port and its channels are closed.
    pub fn go_down(&self) {
        self.record.line(format!("worker {} goes down", self.name));
        self.is_up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// A new process starts under the same id and address, with this version of the software.
    pub fn come_up(&self, version: &str) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        *self.version.lock().unwrap() = version.to_owned();
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.lifetime.fetch_add(1, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.record.line(format!("worker {} is up and runs {version}", self.name));
        self.listen(listener);
        self.register(1);
    }

    fn serve(&self, stream: TcpStream, lifetime: u64) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if !self.lives(lifetime) {
                return;
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let version = self.version.lock().unwrap().clone();
            let is_expected = request.header("expect-instance").is_none_or(|name| name == self.name);
            let json = |body: &str| response("200 OK", &[("Content-Type", "application/json")], body.as_bytes());
            let answer = if request.path() == "/-/report" {
                json(&format!(
                    "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                     \"sequence\":0,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":75851,\"handles\":0,\"born\":{}}}",
                    self.stage,
                    self.born.load(Ordering::SeqCst)
                ))
            } else if request.method() == "DELETE" {
                json("{}")
            } else if request.path() == "/healthz" {
                response("200 OK", &[("Instance-Id", &self.name)], b"")
            } else if !is_expected || (request.header("stage") == Some("prefill")) != (self.stage == "prefill") {
                self.record.line(format!("worker {} answers 421 to {id}", self.name));
                response("421 Misdirected Request", &[("Request-Id", &id), ("Not-Executed", "1")], b"")
            } else if self.stage == "prefill" {
                thread::sleep(Duration::from_millis(20));
                let body = format!("{{\"transfer_handle\":\"h{id}\",\"token_count\":1000,\"version\":1}}");
                response("200 OK", &[("Request-Id", &id), ("Content-Type", "application/json")], body.as_bytes())
            } else {
                if !self.stream(&request, &id, &version, lifetime, &mut writer) {
                    return;
                }
                continue;
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn stream(&self, request: &Head, id: &str, version: &str, lifetime: u64, writer: &mut TcpStream) -> bool {
        if request.header("prefix-hash").is_some_and(|parts| parts.ends_with(":801")) {
            self.record.line(format!("worker {} crashes under {id}", self.name));
            let engine = self.clone();
            thread::spawn(move || {
                engine.go_down();
                thread::sleep(Duration::from_millis(1_500));
                engine.come_up("v1");
            });
            thread::sleep(Duration::from_millis(50));
            return false;
        }
        let after: usize = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record.line(format!("worker {} ({version}) runs {id} after event {after}", self.name));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for index in after + 1..=self.events {
            thread::sleep(self.gap);
            if !self.lives(lifetime) {
                return false;
            }
            let event = format!("id: {index}\ndata: {version} {} {index}\n\n", self.name);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns the operator's configuration with a resumable route to the model service `llm`.
pub fn model_config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"note\",\"hostname\":\"desk.example\",\"prefix\":\"/note/\",\
         \"route_kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":900,\"target_gap_ms\":300,\"priority\":1,\
         \"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":230,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":32,\"kv_capacity\":75851,\"kv_token_bytes\":131072,\"link_mbps\":5900000.0,\"stride\":76,\
         \"handle_ttl_s\":0.5,\"switch_time_s\":6.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}
