//! A stand-in for a model worker of the stage `decode`: streams events that name its software
//! version. It can end and start again under its id and address, with another version.

use crate::http::{read_message, write_response, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How many bytes a worker in trouble writes at a time, and the pause after them: 1,000 Mbit/s.
const ENDLESS_BYTES: usize = 64 * 1024;
const ENDLESS_PAUSE: Duration = Duration::from_micros(500);

/// How many times as long a slow worker takes, and how often it sends a byte meanwhile.
const SLOWNESS: u32 = 5;
const BYTE_PERIOD: Duration = Duration::from_millis(250);

struct Process {
    connections: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
    /// Whether bodies come without end, as bytes that are no answer.
    endless: AtomicBool,
    /// Whether the worker is slow, and sends a byte now and then.
    slow: AtomicBool,
    version: String,
}

pub struct Engine {
    pub address: SocketAddr,
    pub name: String,
    born: AtomicU64,
    events: usize,
    gap: Duration,
    process: Mutex<Option<Arc<Process>>>,
    record: Record,
    service: String,
}

impl Engine {
    pub fn new(name: &str, service: &str, events: usize, gap: Duration, record: &Record) -> Self {
        Self {
            address: crate::http::free_address(),
            name: name.to_owned(),
            born: AtomicU64::new(1_765_000_000_000),
            events,
            gap,
            process: Mutex::new(None),
            record: record.clone(),
            service: service.to_owned(),
        }
    }

    /// Starts a process of this software version.
    pub fn start(&self, version: &str) {
        let process = Arc::new(Process {
            connections: Mutex::default(),
            ended: AtomicBool::new(false),
            endless: AtomicBool::new(false),
            slow: AtomicBool::new(false),
            version: version.to_owned(),
        });
        // The port of a process that has just ended may take a moment to be free.
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        self.born.fetch_add(10_000, Ordering::SeqCst);
        *self.process.lock().unwrap() = Some(process.clone());
        self.record.line(&format!("worker {} starts with version {version}", self.name));
        let (name, record) = (self.name.clone(), self.record.clone());
        let (events, gap) = (self.events, self.gap);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if process.ended.load(Ordering::SeqCst) {
                    return;
                }
                drop(stream.set_nodelay(true));
                if let Ok(clone) = stream.try_clone() {
                    process.connections.lock().unwrap().push(clone);
                }
                let (process, name, record) = (process.clone(), name.clone(), record.clone());
                thread::spawn(move || serve(&process, &name, &record, stream, events, gap));
            }
        });
    }

    /// Begins or ends the disruption: bodies are line feeds without end, until the caller closes.
    pub fn set_endless(&self, endless: bool) {
        if let Some(process) = self.process.lock().unwrap().as_ref() {
            process.endless.store(endless, Ordering::SeqCst);
        }
    }

    /// Begins or ends the disruption: the worker is slow, and sends a line feed now and then while the
    /// next event of a stream isn't ready. Between events, line feeds mean nothing.
    pub fn set_slow(&self, slow: bool) {
        if let Some(process) = self.process.lock().unwrap().as_ref() {
            process.slow.store(slow, Ordering::SeqCst);
        }
    }

    /// Ends the process: it listens no more, and its channels close.
    pub fn end(&self) {
        let Some(process) = self.process.lock().unwrap().take() else { return };
        process.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends.
        drop(TcpStream::connect(self.address));
        thread::sleep(Duration::from_millis(10));
        for connection in process.connections.lock().unwrap().iter() {
            drop(connection.shutdown(Shutdown::Both));
        }
        self.record.line(&format!("worker {} ends", self.name));
    }

    /// Returns the entry with which the worker registers itself; `None` while it doesn't run.
    pub fn entry(&self, zone: &str, state: &str, sequence: u64) -> Option<String> {
        let process = self.process.lock().unwrap();
        let version = &process.as_ref()?.version;
        Some(format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":32,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{},\"stage\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}]}}",
            self.service, self.address, self.born.load(Ordering::SeqCst)
        ))
    }
}

fn serve(
    process: &Process,
    name: &str,
    record: &Record,
    stream: TcpStream,
    events: usize,
    gap: Duration,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        if !answer(process, name, record, &request, &mut writer, events, gap) {
            return;
        }
    }
}

fn answer(
    process: &Process,
    name: &str,
    record: &Record,
    request: &Message,
    writer: &mut TcpStream,
    events: usize,
    gap: Duration,
) -> bool {
    let id = request.header("request-id").unwrap_or_default().to_owned();
    if request.path().starts_with("/-/") || request.path() == "/healthz" {
        return write_response(writer, "200 OK", &[("Instance-Id", name)], b"{}");
    }
    if request.header("expect-instance") != Some(name) || request.header("stage").is_some() {
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        return write_response(writer, "421 Misdirected Request", &headers, b"");
    }
    let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let version = &process.version;
    record.line(&format!("worker {name} ({version}) runs {id} after event {after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
         Server-Seal: {name}.{id}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut sound = writer.write_all(head.as_bytes()).is_ok();
    if process.endless.load(Ordering::SeqCst) {
        record.line(&format!("worker {name} sends a body without end for {id}"));
        let bytes =
            [&format!("{ENDLESS_BYTES:x}\r\n").into_bytes()[..], &[b'\n'; ENDLESS_BYTES], b"\r\n"]
                .concat();
        let mut sent = 0;
        while sound {
            sound = writer.write_all(&bytes).is_ok();
            sent += ENDLESS_BYTES;
            thread::sleep(ENDLESS_PAUSE);
        }
        record.line(&format!("the caller closes the channel of {id} after {} KB", sent / 1024));
        return false;
    }
    for index in after + 1..=events {
        thread::sleep(gap);
        if process.slow.load(Ordering::SeqCst) {
            let mut left = gap * (SLOWNESS - 1);
            let mut bytes = 0;
            while left > BYTE_PERIOD {
                thread::sleep(BYTE_PERIOD);
                left -= BYTE_PERIOD;
                sound = sound && writer.write_all(b"1\r\n\n\r\n").is_ok();
                bytes += 1;
            }
            thread::sleep(left);
            record.line(&format!(
                "worker {name} sends {bytes} line feeds before event {index} of {id}"
            ));
        }
        let event = format!("id: {index}\ndata: token {index} of {version}\n\n");
        sound = sound && !process.ended.load(Ordering::SeqCst);
        sound = sound && write!(writer, "{:x}\r\n{event}\r\n", event.len()).is_ok();
        if !sound {
            return false;
        }
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}
