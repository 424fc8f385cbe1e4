//! Runs a stand-in server in its own runtime, on its own port, until it is killed.

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::{Build, Rocket};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The time within which a stand-in must accept connections.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of runtime threads of each stand-in.
const WORKER_THREADS: usize = 2;

/// Lets a stand-in's request handler kill its own server, to simulate a crash.
#[derive(Clone)]
pub struct KillSwitch(Sender<()>);

impl KillSwitch {
    /// Breaks the server's connections and closes its port, without waiting for either.
    pub fn kill(&self) {
        let _ = self.0.send(());
    }
}

/// A running stand-in server; dropping it kills it.
pub struct StandinServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// `None` once the server has been killed.
    runtime: Arc<Mutex<Option<Runtime>>>,
}

impl StandinServer {
    /// Starts the application that `build` returns and waits until it accepts connections. Port 0
    /// selects a free port.
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
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .expect("a runtime starts");
        runtime.spawn(async move {
            if let Err(error) = rocket.launch().await {
                eprintln!("stand-in server on {address} failed: {error}");
            }
        });
        let runtime = Arc::new(Mutex::new(Some(runtime)));
        stop_on_kill(runtime.clone(), receiver);
        wait_until_listening(address);
        Self { address, runtime }
    }

    /// Breaks the server's connections and closes its port, as the death of its process would.
    pub fn kill(&self) {
        stop(&self.runtime);
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports to allocate. They lie below the system's ephemeral ports, so that no connection or
/// listener with a system-assigned port can occupy one before its server starts.
const PORTS: Range<u16> = 10_000..32_000;

/// The number of ports that this process has tried so far, free or not.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Read while processes are started and written while ports are tried: a process that has been forked and
/// does not run its program yet holds the sockets of the attempts, and the ports seem occupied.
static FORKS: RwLock<()> = RwLock::new(());

/// Starts a process.
///
/// # Errors
///
/// Returns an error when the program cannot be run.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    let _forks = FORKS.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Returns the loopback address of this process, which is derived from its process id. Outgoing
/// connections use 127.0.0.1, so their ports never conflict with a listener on this address.
pub fn process_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, middle, low)
}

/// Replaces port 0 by a free port, for both TCP and UDP.
///
/// Until the range is exhausted, no port is allocated or tried a second time: even a brief attempt
/// to bind an allocated port could make the bind of the server that it is meant for fail.
pub fn with_free_port(address: SocketAddr) -> SocketAddr {
    if address.port() != 0 {
        return address;
    }
    let _forks = FORKS.write().unwrap_or_else(PoisonError::into_inner);
    for _ in PORTS {
        let number = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let found = SocketAddr::new(address.ip(), port);
        if TcpListener::bind(found).is_ok() && UdpSocket::bind(found).is_ok() {
            return found;
        }
    }
    panic!("no free port on {}", address.ip());
}

/// Returns this process's loopback address with a free port.
pub fn free_address() -> SocketAddr {
    with_free_port(SocketAddr::from((process_loopback(), 0)))
}

/// Stops the server once its kill switch is used.
fn stop_on_kill(runtime: Arc<Mutex<Option<Runtime>>>, receiver: Receiver<()>) {
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

fn wait_until_listening(address: SocketAddr) {
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        if std::net::TcpStream::connect(address).is_ok() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("the stand-in on {address} does not accept connections");
}
