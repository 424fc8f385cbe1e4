//! A stand-in for the platform's key-value store that serves a part of Consul's HTTP API: modify
//! indexes, compare-and-swap, sessions with locks, and blocking reads. Its faults are outages,
//! delays and lost responses to writes.

use crate::server::StandinServer;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use rocket::data::ToByteUnit;
use rocket::http::{Header, Status};
use rocket::response::Responder;
use rocket::serde::json::Json;
use rocket::{Data, Request, Response, State, delete, get, post, put, routes};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Cursor;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The largest accepted value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The store's fault switches, set by `POST /faults`. Every switch is off by default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// The delay before each call is executed, in milliseconds.
    pub delay_ms: u64,
    /// Rejects all calls with status 500; they have no effect.
    pub down: bool,
    /// The number of writes still to be executed but answered with status 500.
    pub lose_answers: u32,
}

/// The number of calls that a store has received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Reads; a blocking read counts once, however long it waits.
    pub reads: u64,
    /// Writes, including the creation and destruction of sessions.
    pub writes: u64,
}

#[derive(Default)]
struct StoreState {
    counts: StoreCounts,
    faults: StoreFaults,
    /// The index of the latest change, from which modify indexes are taken.
    index: u64,
    /// The leases by key.
    leases: BTreeMap<String, Lease>,
    /// The expiry time of each session by its id.
    sessions: BTreeMap<String, Instant>,
    /// The modify index and value of each key.
    values: BTreeMap<String, (u64, Vec<u8>)>,
}

/// The lease on a key, which is a lock in Consul's API.
#[derive(Default)]
struct Lease {
    /// How often the lock has been acquired; Consul's `LockIndex`.
    count: u64,
    /// The session that holds the lock.
    session: Option<String>,
}

impl StoreState {
    fn is_live(&self, session: &str) -> bool {
        self.sessions.get(session).is_some_and(|end| *end > Instant::now())
    }
}

/// The content of a store, which outlives the servers that [`start`] creates for it.
#[derive(Clone)]
pub struct Store {
    /// Announces the index of each change to blocking reads.
    changed: Arc<watch::Sender<u64>>,
    state: Arc<Mutex<StoreState>>,
}

impl Default for Store {
    fn default() -> Self {
        let (changed, _) = watch::channel(0);
        Self { changed: Arc::new(changed), state: Arc::default() }
    }
}

impl Store {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
    }

    /// Returns the number of calls received so far.
    pub fn counts(&self) -> StoreCounts {
        self.state().counts
    }

    /// Returns the modify index and value of every key, for a later [`Store::restore`].
    pub fn snapshot(&self) -> BTreeMap<String, (u64, Vec<u8>)> {
        self.state().values.clone()
    }

    /// Replaces all values by an earlier snapshot, as a restore from a backup does.
    pub fn restore(&self, values: BTreeMap<String, (u64, Vec<u8>)>) {
        let mut state = self.state();
        state.values = values;
        state.index += 1;
        self.changed.send_replace(state.index);
    }

    /// Puts or deletes a value; returns false if `cas` is not the key's modify index.
    fn write(&self, key: &str, value: Option<Vec<u8>>, cas: Option<u64>) -> bool {
        let mut state = self.state();
        let current = state.values.get(key).map_or(0, |(index, _)| *index);
        if cas.is_some_and(|expected| expected != current) {
            return false;
        }
        state.index += 1;
        let index = state.index;
        match value {
            Some(value) => state.values.insert(key.to_owned(), (index, value)),
            None => state.values.remove(key),
        };
        self.changed.send_replace(index);
        true
    }

    /// Expires all sessions and with them every lease.
    pub fn expire_leases(&self) {
        self.state().sessions.clear();
    }

    /// Locks a key for a session and writes its value; returns false if the session has expired or
    /// another live session holds the lock.
    fn acquire(&self, key: &str, session: &str, value: Vec<u8>) -> bool {
        let mut state = self.state();
        let holder = state.leases.get(key).and_then(|lease| lease.session.clone());
        let held = holder.is_some_and(|holder| holder != session && state.is_live(&holder));
        if held || !state.is_live(session) {
            return false;
        }
        let lease = state.leases.entry(key.to_owned()).or_default();
        lease.count += 1;
        lease.session = Some(session.to_owned());
        drop(state);
        self.write(key, Some(value), None)
    }

    /// Unlocks a key and writes its value; returns false if the session does not hold the lock.
    fn release(&self, key: &str, session: &str, value: Vec<u8>) -> bool {
        let mut state = self.state();
        let Some(lease) = state.leases.get_mut(key) else { return false };
        if lease.session.as_deref() != Some(session) {
            return false;
        }
        lease.session = None;
        drop(state);
        self.write(key, Some(value), None)
    }

    /// Counts a call and applies the delay and outage faults.
    async fn begin_call(&self, write: bool) -> Result<(), Status> {
        let faults = {
            let mut state = self.state();
            match write {
                true => state.counts.writes += 1,
                false => state.counts.reads += 1,
            }
            state.faults.clone()
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        match faults.down {
            true => Err(Status::InternalServerError),
            false => Ok(()),
        }
    }

    /// Returns whether the response to the current write is to be lost; if so, decrements the
    /// number of responses still to lose.
    fn drops_response(&self) -> bool {
        let mut state = self.state();
        let drops = state.faults.lose_answers > 0;
        state.faults.lose_answers -= u32::from(drops);
        drops
    }
}

/// Starts a server on an address for the content of `store`.
pub fn start(address: SocketAddr, store: &Store) -> StandinServer {
    let store = store.clone();
    StandinServer::start(address, |rocket, _kill| {
        rocket.manage(store).mount(
            "/",
            routes![counts, create_session, destroy_session, faults, read, remove, write],
        )
    })
}

/// The response to a read.
struct ReadResponse {
    /// The JSON list of the key's one value; empty if the key does not exist.
    body: String,
    /// The value of the `X-Consul-Index` header.
    index: u64,
}

impl<'r> Responder<'r, 'static> for ReadResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        if self.body.is_empty() {
            response.status(Status::NotFound);
        }
        response
            .header(Header::new("X-Consul-Index", self.index.to_string()))
            .sized_body(self.body.len(), Cursor::new(self.body))
            .ok()
    }
}

#[get("/v1/kv/<key..>?<index>&<wait>")]
async fn read(
    store: &State<Store>,
    key: PathBuf,
    index: Option<u64>,
    wait: Option<&str>,
) -> Result<ReadResponse, Status> {
    store.begin_call(false).await?;
    let key = key.to_string_lossy().into_owned();
    let wait = wait.and_then(|wait| wait.trim_end_matches("ms").parse().ok()).unwrap_or(0);
    let mut changes = store.changed.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
    while index.is_some_and(|index| store.modify_index(&key) <= index) {
        let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
        if changed.is_err() {
            break;
        }
        if store.state().faults.down {
            return Err(Status::InternalServerError);
        }
    }
    let state = store.state();
    let (body, at) = match state.values.get(&key) {
        Some((at, value)) => {
            let value = BASE64_STANDARD.encode(value);
            let lock_index = state.leases.get(&key).map_or(0, |lease| lease.count);
            let pairs =
                json!([{ "Key": key, "Value": value, "ModifyIndex": at, "LockIndex": lock_index }]);
            (pairs.to_string(), *at)
        }
        None => (String::new(), state.index),
    };
    Ok(ReadResponse { body, index: at.max(1) })
}

impl Store {
    /// Returns the modify index of a key, or 0 if the key does not exist.
    fn modify_index(&self, key: &str) -> u64 {
        let state = self.state();
        state.values.get(key).map_or(0, |(index, _)| *index)
    }
}

#[derive(Deserialize)]
struct SessionRequest {
    /// The session's time to live in seconds, as in `15s`.
    #[serde(rename = "TTL")]
    ttl: String,
}

#[put("/v1/session/create", data = "<request>")]
async fn create_session(
    store: &State<Store>,
    request: Json<SessionRequest>,
) -> Result<Json<serde_json::Value>, Status> {
    store.begin_call(true).await?;
    let seconds = request.ttl.trim_end_matches('s').parse().map_err(|_| Status::BadRequest)?;
    let mut state = store.state();
    state.index += 1;
    let id = format!("session-{}", state.index);
    state.sessions.insert(id.clone(), Instant::now() + Duration::from_secs(seconds));
    Ok(Json(json!({ "ID": id })))
}

#[put("/v1/session/destroy/<id>")]
async fn destroy_session(store: &State<Store>, id: &str) -> Result<&'static str, Status> {
    store.begin_call(true).await?;
    store.state().sessions.remove(id);
    Ok("true")
}

#[put("/v1/kv/<key..>?<cas>&<acquire>&<release>", data = "<data>")]
async fn write(
    store: &State<Store>,
    key: PathBuf,
    cas: Option<u64>,
    acquire: Option<&str>,
    release: Option<&str>,
    data: Data<'_>,
) -> Result<&'static str, Status> {
    store.begin_call(true).await?;
    let body = data.open(MAX_VALUE_BYTES.bytes()).into_bytes().await;
    let body = body.map_err(|_| Status::BadRequest)?;
    if !body.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    let (key, body) = (key.to_string_lossy(), body.into_inner());
    let written = match (acquire, release) {
        (Some(session), _) => store.acquire(&key, session, body),
        (None, Some(session)) => store.release(&key, session, body),
        (None, None) => store.write(&key, Some(body), cas),
    };
    if store.drops_response() {
        return Err(Status::InternalServerError);
    }
    Ok(if written { "true" } else { "false" })
}

#[delete("/v1/kv/<key..>")]
async fn remove(store: &State<Store>, key: PathBuf) -> Result<&'static str, Status> {
    store.begin_call(true).await?;
    store.write(&key.to_string_lossy(), None, None);
    Ok("true")
}

#[get("/counts")]
fn counts(store: &State<Store>) -> Json<StoreCounts> {
    Json(store.counts())
}

#[post("/faults", data = "<faults>")]
fn faults(store: &State<Store>, faults: Json<StoreFaults>) -> Status {
    store.set_faults(faults.into_inner());
    Status::NoContent
}
