//! A key-value store over Consul's HTTP API: versions, compare-and-swap, sessions and blocking
//! reads.

use crate::coordination::orders::FencingToken;
use crate::coordination::store::{KeyStore, LeaseGrant, StoreError, StoreVersion, StoredValue};
use crate::prelude::*;
use crate::transport::client::{client_builder, read_bounded};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Timeout of one call, in addition to the wait of a blocking read.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest response, in bytes; a value has at most 512 KB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The value of a lease key whose holder released the lease.
const RELEASED: &str = "given back";
/// The number of calls per second that one daemon may make on average.
const CALLS_PER_SECOND: f64 = 20.0;
/// The number of calls that one daemon may make at once.
const CALL_BURST: f64 = 100.0;

/// A token bucket that limits the rate of calls to the store.
#[derive(Debug)]
struct CallBudget {
    refilled_at: Instant,
    available: f64,
}

impl CallBudget {
    fn try_take(&mut self, now: Instant) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64() * CALLS_PER_SECOND;
        self.refilled_at = now;
        self.available = (self.available + refill).min(CALL_BURST);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// An adapter for a Consul store.
#[derive(Debug)]
pub struct ConsulStore {
    budget: Mutex<CallBudget>,
    client: Client,
    root: String,
}

impl ConsulStore {
    /// Creates an adapter for the store at an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let client = client_builder().connect_timeout(CALL_TIMEOUT).build()?;
        let budget = CallBudget { refilled_at: Instant::now(), available: CALL_BURST };
        let root = format!("http://{address}/v1");
        Ok(Self { budget: Mutex::new(budget), client, root })
    }

    fn url(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.root)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, StoreError> {
        let now = Instant::now();
        if !self.budget.lock().unwrap_or_else(PoisonError::into_inner).try_take(now) {
            return Err(StoreError::Unreachable("this daemon's call limit is exceeded".to_owned()));
        }
        let response = request.send().await.map_err(|error| match error.is_connect() {
            true => StoreError::Unreachable(error.to_string()),
            false => StoreError::Unknown(error.to_string()),
        })?;
        match response.status().is_server_error() {
            true => Err(StoreError::Unknown(format!("status {}", response.status()))),
            false => Ok(response),
        }
    }

    /// Sends a write, to which the store responds with `true` or `false`.
    async fn send_put(&self, request: RequestBuilder) -> Result<bool, StoreError> {
        let response = self.send(request).await?;
        let status = response.status();
        let bytes = read_bounded(response, MAX_RESPONSE_BYTES).await;
        let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
        let unreadable = || StoreError::Unknown("the response cannot be read".to_owned());
        match text.ok_or_else(unreadable)?.trim() {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(StoreError::Unreachable(format!("status {status}: {other}"))),
        }
    }

    async fn create_session(&self, ttl: Duration) -> Result<String, StoreError> {
        let body = json!({ "TTL": format!("{}s", ttl.as_secs()), "Behavior": "release" });
        let url = format!("{}/session/create", self.root);
        let response = self.send(self.client.put(url).json(&body).timeout(CALL_TIMEOUT)).await?;
        let bytes = read_bounded(response, MAX_RESPONSE_BYTES).await;
        let unreadable = || StoreError::Invalid("the session cannot be read".to_owned());
        let created: Result<CreatedSession, _> =
            serde_json::from_slice(&bytes.ok_or_else(unreadable)?);
        created.map(|session| session.id).map_err(|e| StoreError::Invalid(e.to_string()))
    }

    async fn read(&self, request: RequestBuilder) -> Result<Option<StoredValue>, StoreError> {
        let response = self.send(request).await.map_err(StoreError::into_read_error)?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(StoreError::Unreachable(format!("status {}", response.status())));
        }
        let index = response.headers().get("x-consul-index");
        let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
        let index =
            index.ok_or_else(|| StoreError::Invalid("missing X-Consul-Index".to_owned()))?;
        let bytes = read_bounded(response, MAX_RESPONSE_BYTES).await;
        let unreadable = || StoreError::Unreachable("the response cannot be read".to_owned());
        let bytes = bytes.ok_or_else(unreadable)?;
        parse_pairs(&bytes, StoreVersion::without_era(index)).map(Some)
    }
}

/// The response to the creation of a session.
#[derive(Debug, Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

/// A key-value pair as the store returns it.
#[derive(Debug, Deserialize)]
struct KeyPair {
    #[serde(default, rename = "LockIndex")]
    lock_index: u64,
    #[serde(rename = "ModifyIndex")]
    modify_index: u64,
    #[serde(rename = "Value")]
    value: Option<String>,
}

fn parse_pairs(bytes: &[u8], index: StoreVersion) -> Result<StoredValue, StoreError> {
    let invalid = |error: String| StoreError::Invalid(error);
    let pairs: Vec<KeyPair> =
        serde_json::from_slice(bytes).map_err(|error| invalid(error.to_string()))?;
    let pair = pairs.into_iter().next().ok_or_else(|| invalid("an empty list".to_owned()))?;
    let text = pair.value.unwrap_or_default();
    let bytes = BASE64_STANDARD.decode(text).map_err(|error| invalid(error.to_string()))?;
    let version = StoreVersion::without_era(pair.modify_index);
    Ok(StoredValue { bytes, index, lock_index: pair.lock_index, version })
}

impl KeyStore for ConsulStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        let request = self.client.get(self.url(key)).timeout(CALL_TIMEOUT);
        self.read(request).boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        bytes: Vec<u8>,
        expected: StoreVersion,
    ) -> BoxFuture<'a, Result<bool, StoreError>> {
        async move {
            let request = self.client.put(self.url(key)).query(&[("cas", expected.revision)]);
            self.send_put(request.body(bytes).timeout(CALL_TIMEOUT)).await
        }
        .boxed()
    }

    fn remove<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            let request = self.client.delete(self.url(key)).timeout(CALL_TIMEOUT);
            self.send(request).await.map(|_| ())
        }
        .boxed()
    }

    fn acquire<'a>(
        &'a self,
        key: &'a str,
        holder: &'a str,
        ttl: Duration,
    ) -> BoxFuture<'a, Result<Option<LeaseGrant>, StoreError>> {
        async move {
            let previous = self.get(key).await?;
            let released = previous.is_none_or(|value| value.bytes == RELEASED.as_bytes());
            let session = self.create_session(ttl).await?;
            let request = self.client.put(self.url(key)).query(&[("acquire", &session)]);
            let request = request.body(holder.to_owned()).timeout(CALL_TIMEOUT);
            if !self.send_put(request).await? {
                return Ok(None);
            }
            let acquired = self.get(key).await?;
            let acquired =
                acquired.ok_or_else(|| StoreError::Invalid(format!("{key} is missing")))?;
            let fence = FencingToken(acquired.lock_index);
            Ok(Some(LeaseGrant { released, fence, session }))
        }
        .boxed()
    }

    fn release<'a>(
        &'a self,
        key: &'a str,
        session: &'a str,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            let request = self.client.put(self.url(key)).query(&[("release", session)]);
            let request = request.body(RELEASED).timeout(CALL_TIMEOUT);
            self.send_put(request).await?;
            let url = format!("{}/session/destroy/{session}", self.root);
            self.send(self.client.put(url).timeout(CALL_TIMEOUT)).await.map(|_| ())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        let wait_text = format!("{}ms", wait.as_millis());
        let query = [("index", seen.revision.to_string()), ("wait", wait_text)];
        let request = self.client.get(self.url(key)).query(&query).timeout(wait + CALL_TIMEOUT);
        self.read(request).boxed()
    }
}
