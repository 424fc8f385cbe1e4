//! A stand-in for a plain worker, which may go dark: it then neither accepts nor answers.

use crate::http::{read_request, write_response};
use crate::record::Record;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    /// Changes the number of connections that a listening socket queues.
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// How often the listener looks for a connection.
const ACCEPT_PERIOD: Duration = Duration::from_millis(1);
/// The backlog of a worker that takes connections.
const BACKLOG: i32 = 512;

struct State {
    connections: Mutex<Vec<TcpStream>>,
    is_dark: AtomicBool,
    /// The requests that run, and a signal for each change of it.
    running: Mutex<usize>,
    ended: Condvar,
    born: AtomicU64,
    sequence: AtomicU64,
}

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub name: String,
    pub service: String,
    pub slots: usize,
    state: Arc<State>,
    listener: Arc<TcpListener>,
    /// Fills the queue of the listener while the worker is dark.
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    /// Starts a worker that takes `work` for each request.
    pub fn start(name: &str, service: &str, slots: usize, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let address = listener.local_addr().expect("the worker's address");
        let state = Arc::new(State {
            connections: Mutex::default(),
            is_dark: AtomicBool::new(false),
            running: Mutex::new(0),
            ended: Condvar::new(),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(1),
        });
        let worker = Self {
            address,
            name: name.to_owned(),
            service: service.to_owned(),
            slots,
            state,
            listener: Arc::new(listener),
            fillers: Arc::default(),
        };
        worker.set_backlog(BACKLOG);
        let (server, record) = (worker.clone(), record.clone());
        thread::spawn(move || server.accept(work, &record));
        worker
    }

    /// Returns the record that the worker writes into the platform's store, with the next sequence number.
    pub fn registration(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"tyrol-a\",\"version\":\"1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.state.sequence.fetch_add(1, Ordering::Relaxed),
            self.state.born.load(Ordering::Relaxed)
        )
    }

    pub fn is_dark(&self) -> bool {
        self.state.is_dark.load(Ordering::Relaxed)
    }

    /// Loses power: from now on the worker accepts no connection and says nothing on those that it has.
    pub fn go_dark(&self) {
        self.state.is_dark.store(true, Ordering::Relaxed);
        thread::sleep(ACCEPT_PERIOD * 5);
        self.set_backlog(0);
        let mut fillers = self.fillers.lock().expect("the fillers");
        while fillers.len() < 64 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(50)) {
                Ok(filler) => fillers.push(filler),
                Err(_) => return,
            }
        }
    }

    /// Starts again as another process under the same name: what it had is gone.
    pub fn restart(&self) {
        self.fillers.lock().expect("the fillers").clear();
        for connection in self.state.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.state.born.store(unix_ms(), Ordering::Relaxed);
        self.state.sequence.store(1, Ordering::Relaxed);
        self.set_backlog(BACKLOG);
        self.state.is_dark.store(false, Ordering::Relaxed);
    }

    fn set_backlog(&self, backlog: i32) {
        // SAFETY: the descriptor is that of a listening socket, which `self` keeps open.
        let changed = unsafe { listen(self.listener.as_raw_fd(), backlog) };
        assert_eq!(changed, 0, "the backlog is changed");
    }

    fn accept(&self, work: Duration, record: &Record) {
        loop {
            thread::sleep(ACCEPT_PERIOD);
            while !self.is_dark() {
                let Ok((stream, _)) = self.listener.accept() else { break };
                let (server, record) = (self.clone(), record.clone());
                thread::spawn(move || server.serve(stream, work, &record));
            }
        }
    }

    fn serve(&self, stream: TcpStream, work: Duration, record: &Record) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.state.connections.lock().expect("the connections").push(kept);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.is_dark() {
                return;
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            record.arrival(&id, &self.name);
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.name) {
                let _ = write_response(
                    &mut writer,
                    "421 Misdirected Request",
                    &[("Request-Id", &id), ("Not-Executed", "1")],
                    b"",
                );
                continue;
            }
            let mut running = self.state.running.lock().expect("the requests");
            while *running >= self.slots {
                running = self.state.ended.wait(running).expect("the requests");
            }
            *running += 1;
            drop(running);
            record.run(&id, &self.name);
            thread::sleep(work);
            *self.state.running.lock().expect("the requests") -= 1;
            self.state.ended.notify_one();
            if self.is_dark() {
                return;
            }
            let seal = format!("seal-{id}");
            let headers =
                [("Request-Id", id.as_str()), ("Server-Seal", &seal), ("Keep-Alive", "timeout=1")];
            if write_response(&mut writer, "200 OK", &headers, b"done\n").is_err() {
                return;
            }
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
