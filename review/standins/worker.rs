//! A stand-in for a plain worker: runs each request that expects it, and says so in the record.

use crate::http::{read_message, serve, write_response, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub service: String,
    pub tenant: String,
}

/// The runs of all workers of a case.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub name: String,
    pub service: String,
    delay: Duration,
    record: Record,
    runs: Runs,
    /// Counts requests on kept channels while additional bytes are sent; see [`Worker::spoil`].
    spoiled: Arc<Mutex<Option<usize>>>,
}

/// Every how many requests on kept channels get additional bytes: fewer than 0.03 of them.
const SPOILED_EVERY: usize = 34;

/// What a faulty worker sends after a complete response, but late: bytes that belong to no request.
pub const ADDITIONAL: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\nbytes that nobody asked for";

impl Worker {
    pub fn start(name: &str, service: &str, delay: Duration, record: &Record, runs: &Runs) -> Self {
        let worker = Self {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            name: name.to_owned(),
            service: service.to_owned(),
            delay,
            record: record.clone(),
            runs: runs.clone(),
            spoiled: Arc::default(),
        };
        let handler = worker.clone();
        let address = serve(move |stream| handler.serve(stream));
        Self { address, ..worker }
    }

    /// Returns the entry with which the worker registers itself.
    pub fn entry(&self, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":1765000000000}}",
            self.service, self.address
        )
    }

    /// Begins or ends the disruption: of some complete responses, additional bytes arrive late, when
    /// the next response is expected on the channel.
    pub fn spoil(&self, spoils: bool) {
        *self.spoiled.lock().unwrap() = spoils.then_some(0);
    }

    fn is_spoiled(&self) -> bool {
        match self.spoiled.lock().unwrap().as_mut() {
            Some(count) => {
                *count += 1;
                *count % SPOILED_EVERY == 0
            }
            None => false,
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut is_kept = false;
        while let Some(request) = read_message(&mut reader) {
            if std::mem::replace(&mut is_kept, true) && self.is_spoiled() {
                self.record.line(&format!(
                    "worker {} sends the additional bytes of its last response, as {} arrives",
                    self.name,
                    request.header("request-id").unwrap_or_default()
                ));
                if writer.write_all(ADDITIONAL.as_bytes()).is_err() {
                    return;
                }
            }
            if !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.path() == "/healthz" {
            let headers = [("Instance-Id", self.name.as_str())];
            return write_response(writer, "200 OK", &headers, b"");
        }
        if request.header("expect-instance") != Some(&self.name) {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return write_response(writer, "421 Misdirected Request", &headers, b"");
        }
        let tenant = request.header("tenant").unwrap_or_default().to_owned();
        let run = Run { at: Instant::now(), id: id.clone(), service: self.service.clone(), tenant };
        self.record.line(&format!(
            "worker {} of {} runs {} ({})",
            self.name,
            self.service,
            id,
            request.target()
        ));
        self.runs.0.lock().unwrap().push(run);
        std::thread::sleep(self.delay);
        let seal = format!("{}.{id}", self.name);
        let headers =
            [("Request-Id", id.as_str()), ("Server-Seal", &seal), ("Keep-Alive", "timeout=10")];
        let body = format!("{id} by {}", self.name);
        write_response(writer, "200 OK", &headers, body.as_bytes())
    }
}
