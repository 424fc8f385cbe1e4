//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A request or a response with its whole body; names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()?;
        Some(decode_percent(value))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one message; `None` if the connection ended or broke before its end.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response with a length; returns whether that succeeded.
pub fn write_response(
    writer: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    writer.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Serves each connection to a free loopback port in a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            drop(stream.set_nodelay(true));
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// The ports from which free ones are taken: below those that the kernel gives to clients, so that no
/// client has the port of a process that starts again.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 16_000;

/// Returns a loopback address with a port that is free now, another one each time.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let offset =
            std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = (FIRST_PORT + offset % PORTS) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
    panic!("no port is free");
}

/// Sends one request on a new connection; `None` without a complete response in time.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!("{head}Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    stream.write_all(&[text.as_bytes(), body].concat()).ok()?;
    let left = limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    read_message(&mut BufReader::new(stream))
}
