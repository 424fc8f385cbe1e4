//! Starts `apricotrun-host` with the command of the deploy file, and talks to it as the platform and callers do.

use crate::http::{Message, read_body, read_head};
use std::fs;
use std::io::{BufReader, Write};
use crate::worker::unix_ms;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/apricotrun-host";

/// A running host; dropping it kills the process.
pub struct Host {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    process: Child,
    settings: PathBuf,
}

/// The ports from which hosts get theirs: below those that the kernel gives to connections.
const PORTS: std::ops::Range<u64> = 12_000..32_000;

/// Returns an address on loopback that is free for TCP and UDP and that was not returned before.
pub fn free_address() -> SocketAddr {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 97 + unix_ms();
    loop {
        let number = first + LAST.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Host {
    /// Starts a host of a failure domain and waits until it is ready.
    pub fn start(store: SocketAddr, name: &str, domain: &str, folder: &str) -> Self {
        let (frontend, readiness, peer) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        // Like `deploy/host.toml` with the figures of a small installation's sheet.
        let text = format!(
            "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \
             \"split\", \"stream\", \"engine\", \"platform\"]\n\
             domain = \"{domain}\"\nfirst_start = true\nfrontend = \"{frontend}\"\n\
             host = \"{name}\"\nmetrics = \"{metrics}\"\nnews_limit_ms = 2000\npeer = \"{peer}\"\n\
             readiness = \"{readiness}\"\nremote_cost_ms = 5\nstop_grace_s = 8\n\
             store = \"{store}\"\n\n[retries]\nfloor = 54\nratio = 0.2\nwindow_s = 10\n"
        );
        let settings = PathBuf::from(format!("{folder}/{name}.toml"));
        fs::write(&settings, text).expect("the settings are written");
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        let output = fs::File::create(&log).expect("the log is created");
        let errors = output.try_clone().expect("the log");
        let process = Command::new(PROGRAM)
            .env("APRICOTRUN_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the host starts");
        let host = Self { frontend, readiness, process, settings };
        let deadline = Instant::now() + Duration::from_secs(15);
        while !host.is_ready() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        host
    }

    pub fn is_ready(&self) -> bool {
        let exchange = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        exchange().unwrap_or(false)
    }

    /// Sends the process a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) {
        let _ = self.process.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Opens a connection to a host and sends a request on it.
pub fn send(
    host: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &[u8],
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(stream)
}

/// Reads the response to a request; an error if the connection ends before it is whole.
pub fn receive(stream: TcpStream, limit: Duration) -> std::io::Result<Message> {
    stream.set_read_timeout(Some(limit))?;
    let mut reader = BufReader::new(stream);
    let Some(mut response) = read_head(&mut reader)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    read_body(&mut reader, &mut response, true)?;
    Ok(response)
}
