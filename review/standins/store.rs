//! A stand-in for the platform's store: items, pages, watches, transactions and leases.
//!
//! A watch returns every change after its revision, each as it was written. Changes older than
//! `history` are discarded; a watch from before that gets 410.

use crate::http::{read_message, serve, write_response, Message};
use crate::json::{base64, Json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Where a page ends, in bytes.
const PAGE_BYTES: usize = 1_000_000;
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// The value in base64; `None` for a removal.
    value: Option<String>,
    revision: u64,
    created: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        let revision = self.revision;
        match &self.value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{},\
                 \"lease\":0}}",
                self.created
            ),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        }
    }
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    changes: Vec<(Instant2, String, Item)>,
    revision: u64,
    discarded: u64,
}

/// An instant with a default, for derived values.
#[derive(Clone, Copy)]
struct Instant2(Instant);

struct State {
    content: Content,
    copy: Content,
    down: bool,
    era: u64,
    history: Duration,
    leases: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Option<String>) -> u64 {
        let now = Instant::now();
        let content = &mut self.content;
        content.revision += 1;
        let revision = content.revision;
        let created = content.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        match item.value.is_some() {
            true => drop(content.items.insert(key.to_owned(), item.clone())),
            false => drop(content.items.remove(key)),
        }
        content.changes.push((Instant2(now), key.to_owned(), item));
        revision
    }

    fn discard(&mut self) {
        let history = self.history;
        let content = &mut self.content;
        let kept = content.changes.iter().position(|(at, ..)| at.0.elapsed() < history);
        let kept = kept.unwrap_or(content.changes.len());
        if let Some((_, _, item)) = content.changes[..kept].last() {
            content.discarded = item.revision;
        }
        content.changes.drain(..kept);
    }
}

/// A store in memory; clones share their content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    changed: Arc<Condvar>,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start(history: Duration) -> Self {
        let content = Content { revision: 10, ..Content::default() };
        let copy = content.clone();
        let state = State { content, copy, down: false, era: 0, history, leases: 0 };
        let store = Self {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            changed: Arc::new(Condvar::new()),
            state: Arc::new(Mutex::new(state)),
        };
        let handler = store.clone();
        let address = serve(move |stream| handler.serve(stream));
        Self { address, ..store }
    }

    /// Writes an item as the operator or a worker does; the return is the confirmation.
    pub fn write(&self, key: &str, text: &str) {
        self.state.lock().unwrap().put(key, Some(base64(text.as_bytes())));
        self.changed.notify_all();
    }

    /// Removes an item, as at the end of a worker.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().put(key, None);
        self.changed.notify_all();
    }

    /// While down, calls get 503.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
    }

    /// Keeps a copy of the present content.
    pub fn take_copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = state.content.clone();
    }

    /// Returns from the copy. `Store-Era` rises by one.
    pub fn return_from_copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.content = state.copy.clone();
        state.era += 1;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            let (status, body) = self.handle(&call);
            let era = self.state.lock().unwrap().era.to_string();
            let headers = [("Store-Era", era.as_str()), ("Content-Type", "application/json")];
            if !write_response(&mut writer, status, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> (&'static str, String) {
        if self.state.lock().unwrap().down {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match (call.method(), call.path()) {
            ("GET", "/-/kv-key") => self.key(&call.query("key").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(call),
            ("GET", "/-/kv-watch") => self.watch(call),
            ("POST", "/-/kv-txn") => self.transact(&call.body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                ("200 OK", format!("{{\"lease\":{},\"ttl_ms\":600000}}", state.leases))
            }
            _ => ("200 OK", "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        match state.content.items.get(key) {
            Some(item) => {
                let item = item.json(key);
                let revision = state.content.revision;
                let item = item.trim_end_matches('}');
                ("200 OK", format!("{item},\"store_revision\":{revision}}}"))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, call: &Message) -> (&'static str, String) {
        let (prefix, after) = (call.query("prefix").unwrap_or_default(), call.query("after"));
        let state = self.state.lock().unwrap();
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in &state.content.items {
            if !key.starts_with(&prefix) || after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                truncated = true;
                break;
            }
            let text = item.json(key);
            bytes += text.len();
            items.push(text);
        }
        let (items, revision) = (items.join(","), state.content.revision);
        (
            "200 OK",
            format!(
                "{{\"items\":[{items}],\"truncated\":{truncated},\"store_revision\":{revision}}}"
            ),
        )
    }

    fn watch(&self, call: &Message) -> (&'static str, String) {
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = call.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            state.discard();
            let content = &state.content;
            if after < content.discarded || after > content.revision || state.era != era {
                return ("410 Gone", "{}".to_owned());
            }
            if state.down {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            let events = content
                .changes
                .iter()
                .filter(|(_, key, item)| item.revision > after && key.starts_with(&prefix));
            let events: Vec<_> = events.map(|(_, key, item)| item.json(key)).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let list = |name: &str| call.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
        let text = |row: &Json, name: &str| -> String {
            row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
        };
        let mut state = self.state.lock().unwrap();
        for row in list("expected") {
            let known = state.content.items.get(&text(&row, "key")).map_or(0, |item| item.revision);
            if row.get("revision").and_then(Json::number) != Some(known) {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
        }
        for row in list("puts") {
            state.put(&text(&row, "key"), Some(text(&row, "value")));
        }
        for key in list("remove") {
            state.put(key.text().unwrap_or_default(), None);
        }
        let revision = state.content.revision;
        drop(state);
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}
