//! A link on loopback that can be cut: bytes are then held back in both directions.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL_PERIOD: Duration = Duration::from_millis(2);

/// A link to an address; clones share its state.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a link");
        let address = listener.local_addr().expect("the link's address");
        let link = Self { address, is_cut: Arc::default() };
        let server = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let ends = (near.try_clone(), far.try_clone());
                    let (Ok(near_out), Ok(far_out)) = ends else { return };
                    let other = server.clone();
                    thread::spawn(move || other.forward(far, near_out));
                    server.forward(near, far_out);
                });
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length) = from.read(&mut buffer) {
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(POLL_PERIOD);
                if length > 0 && is_closed(&from) {
                    // What was held back is lost with its sender's connection.
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Returns whether the other side has closed a connection from which all bytes were read.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    closed
}
