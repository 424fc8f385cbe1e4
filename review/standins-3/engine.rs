//! A stand-in for a model worker: it reads prompts or writes streams of events, and takes orders.

use crate::http::{Message, read_request, write_response};
use crate::json::parse;
use crate::record::Record;
use crate::worker::unix_ms;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The streams of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How many events a stream has.
    pub events: usize,
    /// The pause before each.
    pub period: Duration,
}

/// How long a worker takes to answer an order.
const ORDER_TIME: Duration = Duration::from_millis(350);

/// An order as a worker has received it.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub fence: u64,
    pub holder: String,
}

#[derive(Default)]
struct State {
    handles: u64,
    orders: Vec<Order>,
    /// The number of orders accepted.
    sequence: u64,
}

/// A model worker; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub name: String,
    pub service: String,
    zone: String,
    /// `prefill` or `decode`.
    stage: String,
    pace: Pace,
    born: u64,
    state: Arc<Mutex<State>>,
}

impl Engine {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        stage: &str,
        pace: Pace,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let engine = Self {
            address: listener.local_addr().expect("the worker's address"),
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            stage: stage.to_owned(),
            pace,
            born: unix_ms(),
            state: Arc::default(),
        };
        let (server, record) = (engine.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        engine
    }

    /// Returns the record that the worker writes into the platform's store.
    pub fn registration(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\"slots\":16,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{},\
             \"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]}}",
            self.service, self.address, self.zone, self.born, self.stage
        )
    }

    /// Returns the orders that the worker has received.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().expect("the worker").orders.clone()
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.answer(&request, &mut writer, record).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        record: &Record,
    ) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default();
        let json = ("Content-Type", "application/json");
        match (request.method(), request.path()) {
            ("GET", "/-/report") => {
                let body = format!(
                    "{{\"stage\":\"{}\",\"models\":[],\"busy\":false,\"sequence\":{},\"queued\":0,\
                     \"active\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{}}}",
                    self.stage,
                    self.state.lock().expect("the worker").sequence,
                    self.born
                );
                return write_response(writer, "200 OK", &[json], body.as_bytes());
            }
            ("POST", "/-/order") => return self.take_order(request, writer, record),
            ("DELETE", _) => return write_response(writer, "200 OK", &[json], b"{}"),
            _ => {}
        }
        let is_prefill = request.header("stage") == Some("prefill");
        if is_prefill != (self.stage == "prefill") {
            let headers = [("Request-Id", id), ("Not-Executed", "1")];
            return write_response(writer, "421 Misdirected Request", &headers, b"");
        }
        if is_prefill {
            let handle = {
                let mut state = self.state.lock().expect("the worker");
                state.handles += 1;
                format!("{}x{}", self.born, state.handles)
            };
            let body =
                format!("{{\"transfer_handle\":\"{handle}\",\"token_count\":10,\"version\":1}}");
            return write_response(writer, "200 OK", &[json, ("Request-Id", id)], body.as_bytes());
        }
        record.run(id, &self.name);
        let after: usize =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Server-Seal: seal-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in after + 1..=self.pace.events {
            thread::sleep(self.pace.period);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        record.note(&format!("{} has written all of {id}", self.name));
        Ok(())
    }

    fn take_order(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        record: &Record,
    ) -> std::io::Result<()> {
        let body = parse(&request.body);
        let (holder, fence) = (body.get("holder").text().to_owned(), body.get("fencing_token").number());
        let mut state = self.state.lock().expect("the worker");
        let accepts = body.get("expected").number() == state.sequence;
        state.sequence += u64::from(accepts);
        let status = if accepts { "202 Accepted" } else { "409 Conflict" };
        record.note(&format!(
            "order at {}: holder {holder}, fence {fence}, {}: answered {status}",
            self.name,
            body.get("stage").text()
        ));
        state.orders.push(Order { at: Instant::now(), fence, holder });
        drop(state);
        thread::sleep(ORDER_TIME);
        write_response(writer, status, &[("Content-Type", "application/json")], b"{}")
    }
}
