//! Runs a stand-in on a port of its own until it is killed.

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::{Build, Rocket};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// How long a stand-in may take to accept connections.
const START_LIMIT: Duration = Duration::from_secs(10);
const WORKERS: usize = 2;

/// Lets a stand-in end itself as a crash would.
#[derive(Clone)]
pub struct KillSwitch(Sender<()>);

impl KillSwitch {
    /// Breaks the stand-in's connections and closes its port.
    pub fn kill(&self) {
        let _ = self.0.send(());
    }
}

/// A running stand-in; dropping it kills it.
pub struct StandinServer {
    /// Where it is reached.
    pub address: SocketAddr,
    runtime: Arc<Mutex<Option<Runtime>>>,
}

impl StandinServer {
    /// Starts what `build` returns on an address; port 0 takes a free one.
    pub fn start(
        address: SocketAddr,
        build: impl FnOnce(Rocket<Build>, KillSwitch) -> Rocket<Build>,
    ) -> Self {
        let address = with_free_port(address);
        let config = Config {
            address: address.ip(),
            log_level: LogLevel::Off,
            cli_colors: false,
            port: address.port(),
            shutdown: Shutdown { ctrlc: false, signals: Default::default(), ..Shutdown::default() },
            ..Config::release_default()
        };
        let (sender, receiver) = channel();
        let rocket = build(rocket::custom(config), KillSwitch(sender));
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .expect("a runtime starts");
        runtime.spawn(async move {
            if let Err(error) = rocket.launch().await {
                eprintln!("standins: {error}");
            }
        });
        let runtime = Arc::new(Mutex::new(Some(runtime)));
        await_kill(runtime.clone(), receiver);
        wait_until_open(address);
        Self { address, runtime }
    }

    /// Ends the stand-in as the death of its process would.
    pub fn kill(&self) {
        stop(&self.runtime);
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports that are given out. Connections and listeners whose port the system chooses have higher
/// ones, so none of them can be in the way of a server that starts later.
const PORTS: Range<u16> = 10_000..32_000;

/// How many ports this process has given out.
static GIVEN: AtomicU16 = AtomicU16::new(0);

/// Returns this process's own loopback address. Connections come from 127.0.0.1, so no port that
/// one of them uses stands in the way of a listener here.
pub fn process_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, middle, low)
}

/// Returns the address with a free port in place of 0. No port is given out twice, or tried once it has
/// been given out: even a short try could be in the way of the server that is meant to have it.
pub fn with_free_port(address: SocketAddr) -> SocketAddr {
    if address.port() != 0 {
        return address;
    }
    for _ in PORTS {
        let number = GIVEN.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let found = SocketAddr::new(address.ip(), port);
        if TcpListener::bind(found).is_ok() && UdpSocket::bind(found).is_ok() {
            return found;
        }
    }
    panic!("{} has no free port", address.ip());
}

/// Returns an address on loopback with a free port.
pub fn free_address() -> SocketAddr {
    with_free_port(SocketAddr::from((process_loopback(), 0)))
}

fn await_kill(runtime: Arc<Mutex<Option<Runtime>>>, receiver: Receiver<()>) {
    thread::spawn(move || {
        if receiver.recv().is_ok() {
            stop(&runtime);
        }
    });
}

fn stop(runtime: &Mutex<Option<Runtime>>) {
    let runtime = runtime.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(runtime) = runtime {
        runtime.shutdown_timeout(Duration::from_millis(200));
    }
}

fn wait_until_open(address: SocketAddr) {
    let started = Instant::now();
    while started.elapsed() < START_LIMIT {
        if std::net::TcpStream::connect(address).is_ok() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("the stand-in at {address} does not accept connections");
}
