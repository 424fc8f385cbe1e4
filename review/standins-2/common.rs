//! Stand-ins of the review's scripts: the platform's store, workers and clients over HTTP/1.1, and
//! the start of the project's hosts. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Writes `record.txt`: what was sent, answered and run, each line with its time in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Whether the script brings about its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder of the case, which is the first argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the folder of the case as an argument"))
}

/// Ends the script with status 2, and all hosts that it started, if it takes too long to be a result.
pub fn limit_time(limit: Duration, run: &RunFolder, pids: &Pids) {
    let (folder, pids) = (run.0.clone(), pids.clone());
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("it takes too long", &folder, &pids);
    });
}

/// Ends all hosts that were started, and the script with status 2.
pub fn cannot_run(why: &str, folder: &Path, pids: &Pids) -> ! {
    eprintln!("the case could not run: {why}");
    for pid in pids.lock().unwrap().iter() {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
    let _ = fs::remove_dir_all(folder);
    std::process::exit(NOT_RUN);
}

/// The processes of the hosts that run.
pub type Pids = Arc<Mutex<Vec<u32>>>;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = BTreeMap::new();
                loop {
                    Self::skip(bytes, at);
                    if *bytes.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Self::Table(table));
                    }
                    if bytes[*at] == b',' {
                        *at += 1;
                        continue;
                    }
                    let Self::Text(key) = Self::value(bytes, at)? else { return None };
                    Self::skip(bytes, at);
                    if *bytes.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    table.insert(key, Self::value(bytes, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *bytes.get(*at)?;
                    *at += 1;
                    match byte {
                        b'"' => return Some(Self::Text(String::from_utf8(text).ok()?)),
                        b'\\' => {
                            let escaped = *bytes.get(*at)?;
                            *at += 1;
                            text.push(match escaped {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Self::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Self::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Self::Null)
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|b| matches!(b, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Self::Number)
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The method and the target of a request, or the status line of a response.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Head {
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()?;
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            bytes.push(match byte {
                b'%' => {
                    let digits = [rest.next()?, rest.next()?];
                    u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
                }
                b'+' => b' ',
                other => other,
            });
        }
        String::from_utf8(bytes).ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Some(head);
        }
        match head.line.is_empty() {
            true => head.line = line.to_owned(),
            false => {
                let (name, value) = line.split_once(':')?;
                head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a request with its body, or the rest of a response that has an end of its own.
pub fn read_message(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = read_head(reader)?;
    if head.header("transfer-encoding").is_some_and(|value| value.ends_with("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(head);
            }
            head.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    head.body = body;
    Some(head)
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --------------------------------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, (String, u64, u64)>,
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

/// The platform's store: items, ranges, watches, transactions and leases (which do not end).
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    changed: Arc<Condvar>,
    state: Arc<Mutex<StoreState>>,
    leases: Arc<AtomicU64>,
    /// While down, the store answers no call and takes no entry of a worker.
    pub down: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Self {
            address: listener.local_addr().unwrap(),
            changed: Arc::default(),
            state: Arc::new(Mutex::new(state)),
            leases: Arc::default(),
            down: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes an item, unless the store is down; returns whether it has.
    pub fn put(&self, key: &str, value: &str) -> bool {
        if self.down.load(Ordering::SeqCst) {
            return false;
        }
        self.put_encoded(key, &base64(value.as_bytes()));
        true
    }

    fn put_encoded(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        state.items.insert(key.to_owned(), (value.to_owned(), revision, created));
        state.history.push((revision, key.to_owned(), Some(value.to_owned())));
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.down.load(Ordering::SeqCst) {
                // The channel stays open without an answer until the store is back.
                while self.down.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let (status, body) = self.handle(&request);
            if self.down.load(Ordering::SeqCst) {
                continue;
            }
            let json = [("Content-Type", "application/json")];
            if writer.write_all(&response(status, &json, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Head) -> (&'static str, String) {
        match (request.method(), request.path()) {
            ("GET", "/-/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let state = self.state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        let rest = text.trim_end_matches('}');
                        ("200 OK", format!("{rest},\"store_revision\":{}}}", state.revision))
                    }
                    None => ("404 Not Found", format!("{{\"store_revision\":{}}}", state.revision)),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let state = self.state.lock().unwrap();
                let items: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let (items, revision) = (items.join(","), state.revision);
                ("200 OK", format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}"))
            }
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(&request.body),
            ("POST", "/-/kv-lease") => {
                let ttl = Json::parse(&request.body);
                let ttl = ttl.as_ref().and_then(|body| body.get("ttl_ms")).map_or(600_000, Json::number);
                let lease = self.leases.fetch_add(1, Ordering::Relaxed) + 1;
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            (_, path) if path.starts_with("/-/kv-keep/") || path.starts_with("/-/kv-lease-end/") => {
                ("200 OK", "{\"ttl_ms\":600000}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Head) -> (&'static str, String) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after");
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item_json(key, &(value.clone(), *revision, *revision)),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.down.load(Ordering::SeqCst) {
                let (events, revision) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
        let list = |name| body.get(name).map_or(&[][..], Json::list);
        for condition in list("expected") {
            let key = condition.get("key").map_or("", Json::text);
            let expected = condition.get("revision").map_or(0, Json::number);
            let state = self.state.lock().unwrap();
            let item = state.items.get(key);
            if item.map_or(0, |item| item.1) != expected {
                let items = item.map(|item| item_json(key, item)).unwrap_or_default();
                return ("412 Precondition Failed", format!("{{\"items\":[{items}]}}"));
            }
        }
        let mut revision = self.state.lock().unwrap().revision;
        for put in list("puts") {
            let value = put.get("value").map_or("", Json::text);
            revision = self.put_encoded(put.get("key").map_or("", Json::text), value);
        }
        for key in list("remove") {
            self.remove(key.text());
        }
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn item_json(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

// ----------------------------------------------------------------------------------- processes

/// The addresses and the settings of one host of the project.
pub struct Host {
    pub name: String,
    pub domain: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    peer: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    pids: Pids,
}

impl Host {
    pub fn new(name: &str, domain: &str, store: SocketAddr, folder: &Path, pids: &Pids) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            frontend: free_address(),
            readiness: free_address(),
            peer: free_address(),
            metrics: free_address(),
            store,
            folder: folder.to_owned(),
            child: None,
            pids: pids.clone(),
        }
    }

    /// Starts the program of the deploy file with the settings that its template yields.
    pub fn start(&mut self, first_start: bool) {
        let settings = format!(
            "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"split\", \
             \"stream\", \"engine\", \"platform\"]\n\
             domain = \"{}\"\nfirst_start = {first_start}\nfrontend = \"{}\"\nhost = \"{}\"\n\
             metrics = \"{}\"\nnews_limit_ms = 2000\npeer = \"{}\"\nreadiness = \"{}\"\n\
             remote_cost_ms = 5\nstop_grace_s = 8\nstore = \"{}\"\n\n\
             [retries]\nfloor = 54\nratio = 0.2\nwindow_s = 10\n",
            self.domain, self.frontend, self.name, self.metrics, self.peer, self.readiness, self.store
        );
        let path = self.folder.join(format!("{}.toml", self.name));
        fs::write(&path, settings).expect("the settings are written");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new("target/release/apricotrun-host")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("APRICOTRUN_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        let Ok(child) = child else {
            cannot_run("target/release/apricotrun-host does not start", &self.folder, &self.pids);
        };
        self.pids.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.pids.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let probe = format!("GET /-/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.readiness);
        if stream.write_all(probe.as_bytes()).is_err() {
            return false;
        }
        read_head(&mut BufReader::new(stream)).is_some_and(|head| head.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder for the files of one run, removed at its end.
pub struct RunFolder(pub PathBuf);

impl RunFolder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("apricotrun-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

// ------------------------------------------------------------------------------------- clients

/// What a client got for one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if the channel ended or was given up before a whole answer had come.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the client closed the channel because it left, if it did.
    pub left_at: Option<Instant>,
}

/// Sends one request on a new channel and waits for its whole answer, at most for `patience`.
pub fn send(frontend: SocketAddr, method: &str, path: &str, id: &str, headers: &[(&str, &str)], body: &[u8], patience: Duration) -> Answer {
    let lost = Answer { status: 0, headers: Vec::new(), body: Vec::new(), left_at: None };
    let end = Instant::now() + patience;
    let Ok(mut stream) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else { return lost };
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return lost;
    }
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    match read_message(&mut reader) {
        Some(head) => Answer { status: head.status(), headers: head.headers, body: head.body, left_at: None },
        None => {
            let has_left = Instant::now() >= end;
            let _ = stream.shutdown(Shutdown::Both);
            Answer { left_at: has_left.then(Instant::now), ..lost }
        }
    }
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
