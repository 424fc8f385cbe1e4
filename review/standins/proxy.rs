//! A loopback link to one server: with a rate, and cut while that is wanted.

use crate::http::serve;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How many bytes are passed on at a time.
const CHUNK_BYTES: usize = 8 * 1024;
const POLL: Duration = Duration::from_millis(5);

struct Link {
    /// Bits per second towards the client; 0 without a limit.
    rate: f64,
    cut: AtomicBool,
    /// When the next byte towards the client may be passed on.
    free_at: Mutex<Instant>,
    target: Mutex<SocketAddr>,
}

/// A link; clones are the same one.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Link>,
}

impl Proxy {
    pub fn start(target: SocketAddr, mbit_per_s: f64) -> Self {
        let link = Arc::new(Link {
            rate: mbit_per_s * 1e6,
            cut: AtomicBool::new(false),
            free_at: Mutex::new(Instant::now()),
            target: Mutex::new(target),
        });
        let served = link.clone();
        let address = serve(move |stream| forward(&served, stream));
        Self { address, link }
    }

    /// Cuts the link, or heals it. A cut resets open connections and passes nothing on.
    pub fn set_cut(&self, cut: bool) {
        self.link.cut.store(cut, Ordering::SeqCst);
    }

    /// Sends new connections to another server.
    pub fn set_target(&self, target: SocketAddr) {
        *self.link.target.lock().unwrap() = target;
    }
}

fn forward(link: &Arc<Link>, client: TcpStream) {
    if link.cut.load(Ordering::SeqCst) {
        return;
    }
    let target = *link.target.lock().unwrap();
    let Ok(server) = TcpStream::connect(target) else { return };
    drop(server.set_nodelay(true));
    let (Ok(to), Ok(from)) = (client.try_clone(), server.try_clone()) else { return };
    let back = link.clone();
    let other = thread::spawn(move || copy(&back, from, to, true));
    copy(link, client, server, false);
    drop(other.join());
}

fn copy(link: &Link, mut from: TcpStream, mut to: TcpStream, limited: bool) {
    let mut buffer = [0; CHUNK_BYTES];
    drop(from.set_read_timeout(Some(POLL)));
    loop {
        if link.cut.load(Ordering::SeqCst) {
            drop(from.shutdown(Shutdown::Both));
            drop(to.shutdown(Shutdown::Both));
            return;
        }
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        if limited && link.rate > 0.0 {
            let wait = {
                let mut free_at = link.free_at.lock().unwrap();
                let start = (*free_at).max(Instant::now());
                *free_at = start + Duration::from_secs_f64(read as f64 * 8.0 / link.rate);
                *free_at
            };
            thread::sleep(wait.saturating_duration_since(Instant::now()));
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Write));
    drop(from.shutdown(Shutdown::Read));
}
