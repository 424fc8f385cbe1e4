//! A stand-in for the platform's store: items, ranges, watches, transactions and leases over HTTP.

use crate::http::{Message, read_request, write_response};
use crate::json::{Json, encode_base64, parse};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    /// The value in Base64.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    revision: u64,
}

#[derive(Default)]
struct State {
    content: Content,
    /// The copies from which the store may return, and when each was taken.
    copies: Vec<(Instant, Content)>,
    down: bool,
    era: u64,
    leases: u64,
}

/// The store; clones share its content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    changed: Arc<Condvar>,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("the store's address");
        let mut state = State::default();
        state.content.revision = 1;
        let store =
            Self { address, changed: Arc::default(), state: Arc::new(Mutex::new(state)) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes an item as the operator or a worker does.
    pub fn write(&self, key: &str, text: &str) {
        self.state.lock().expect("the store").content.put(key, encode_base64(text.as_bytes()));
        self.changed.notify_all();
    }

    /// While down, the store answers 503.
    pub fn set_down(&self, down: bool) {
        self.state.lock().expect("the store").down = down;
        self.changed.notify_all();
    }

    /// Takes a copy of the content.
    pub fn keep_copy(&self) {
        let mut state = self.state.lock().expect("the store");
        let copy = state.content.clone();
        state.copies.push((Instant::now(), copy));
    }

    /// Returns from the youngest copy of this age or more, in the next era; returns the copy's age.
    pub fn return_from(&self, age: Duration) -> Duration {
        let mut state = self.state.lock().expect("the store");
        let now = Instant::now();
        let is_old = |copy: &&(Instant, Content)| now - copy.0 >= age;
        let (taken, content) =
            state.copies.iter().rev().find(is_old).or(state.copies.first()).cloned().expect("a copy");
        state.content = content;
        state.era += 1;
        self.changed.notify_all();
        now - taken
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.state.lock().expect("the store").era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        if self.state.lock().expect("the store").down {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match (request.method(), request.path()) {
            ("GET", "/-/kv-key") => self.key(&request.query("key").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(&parse(&request.body)),
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.lock().expect("the store");
                state.leases += 1;
                let ttl = parse(&request.body).get("ttl_ms").number();
                ("200 OK", format!("{{\"lease\":{},\"ttl_ms\":{ttl}}}", state.leases))
            }
            _ => ("200 OK", "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.lock().expect("the store");
        let revision = state.content.revision;
        match state.content.items.get(key) {
            Some(item) => {
                let fields = item.fields(key);
                ("200 OK", format!("{{{fields},\"store_revision\":{revision}}}"))
            }
            None => ("404 Not Found", format!("{{\"store_revision\":{revision}}}")),
        }
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().expect("the store");
        let matching = state.content.items.iter();
        let matching = matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<_> =
            matching.map(|(key, item)| format!("{{{}}}", item.fields(key))).collect();
        let (items, revision) = (items.join(","), state.content.revision);
        let body =
            format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}");
        ("200 OK", body)
    }

    fn watch(&self, request: &Message) -> (&'static str, String) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let prefix = request.query("prefix").unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("the store");
        let era = state.era;
        loop {
            if state.down {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            if after > state.content.revision || era != state.era {
                return ("410 Gone", "{}".to_owned());
            }
            let changes = state.content.history.iter();
            let changes =
                changes.filter(|change| change.revision > after && change.key.starts_with(&prefix));
            let events: Vec<_> = changes.map(Change::to_json).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.content.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).expect("the store").0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.state.lock().expect("the store");
        for condition in body.get("expected").items() {
            let item = state.content.items.get(condition.get("key").text());
            if item.map_or(0, |item| item.revision) != condition.get("revision").number() {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
        }
        for put in body.get("puts").items() {
            let value = put.get("value").text().to_owned();
            state.content.put(put.get("key").text(), value);
        }
        for key in body.get("remove").items() {
            state.content.delete(key.text());
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.content.revision))
    }
}

impl Content {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), revision, item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change { key: key.to_owned(), revision, item: None });
        }
    }
}

impl Item {
    fn fields(&self, key: &str) -> String {
        format!(
            "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0",
            self.value, self.revision, self.created
        )
    }
}

impl Change {
    fn to_json(&self) -> String {
        match &self.item {
            Some(item) => format!("{{{}}}", item.fields(&self.key)),
            None => {
                format!("{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}", self.key, self.revision)
            }
        }
    }
}
