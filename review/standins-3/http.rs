//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, Write};

/// A request or a response without its body's framing.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a field of a request's query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%')
            .then(|| bytes.get(index + 1..index + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        out.push(escaped.unwrap_or(if bytes[index] == b'+' { b' ' } else { bytes[index] }));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the start line and the headers; `None` if the connection ends before a first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start.truncate(message.start.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body of a message whose head has been read. A response that names neither a length nor chunks
/// ends with its connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|coding| coding.ends_with("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::other("a chunk without a size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    match length {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if is_response && message.status() != 204 => {
            reader.read_to_end(&mut message.body).map(|_| ())
        }
        None => Ok(()),
    }
}

/// Reads a whole request; `None` if the connection ends before one.
pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut request = read_head(reader).ok()??;
    read_body(reader, &mut request, false).ok()?;
    Some(request)
}

/// Writes a response with a length.
pub fn write_response(
    writer: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}
