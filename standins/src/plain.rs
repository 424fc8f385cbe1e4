//! A stand-in for a plain service, which counts how often each call was executed.

use crate::server::StandinServer;
use rocket::data::ToByteUnit;
use rocket::http::{Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::serde::json::Json;
use rocket::{Data, Request, State, get, post, routes};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The service's fault switches, set by `POST /faults`. Both delays are 0 by default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// The delay between the execution of a call and its response, in milliseconds.
    pub delay_after_ms: u64,
    /// The delay between the arrival of a call and its execution, in milliseconds.
    pub delay_before_ms: u64,
}

#[derive(Default)]
struct PlainState {
    executed: BTreeMap<String, u64>,
    faults: PlainFaults,
}

/// The state of a plain service, which outlives the servers that [`start`] creates for it.
#[derive(Clone, Default)]
pub struct PlainService {
    state: Arc<Mutex<PlainState>>,
}

impl PlainService {
    fn state(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often each call was executed, keyed by method, URI and body. Unlike
    /// `GET /executed`, it also works after the server has been killed.
    pub fn executed(&self) -> BTreeMap<String, u64> {
        self.state().executed.clone()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.state().faults = faults;
    }
}

/// Starts a server on an address that uses the state of `service`.
pub fn start(address: SocketAddr, service: &PlainService) -> StandinServer {
    let service = service.clone();
    StandinServer::start(address, |rocket, _kill| {
        let methods = [Method::Delete, Method::Get, Method::Patch, Method::Post, Method::Put];
        let calls = methods.map(|method| Route::ranked(20, method, "/<path..>", CallHandler));
        rocket.manage(service).mount("/", calls).mount("/", routes![executed, faults, health])
    })
}

#[get("/health")]
fn health() -> &'static str {
    "ok"
}

#[get("/executed")]
fn executed(service: &State<PlainService>) -> Json<BTreeMap<String, u64>> {
    Json(service.executed())
}

#[post("/faults", data = "<faults>")]
fn faults(service: &State<PlainService>, faults: Json<PlainFaults>) -> Status {
    service.set_faults(faults.into_inner());
    Status::NoContent
}

/// Counts every request that no other route matches, and responds with the count.
#[derive(Clone)]
struct CallHandler;

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(service) = request.rocket().state::<PlainService>() else {
            return Outcome::Error(Status::InternalServerError);
        };
        let body = data.open(1.mebibytes()).into_bytes().await;
        let body = body.map(|body| body.into_inner()).unwrap_or_default();
        let call =
            format!("{} {} {}", request.method(), request.uri(), String::from_utf8_lossy(&body));
        let faults = service.state().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_before_ms)).await;
        let count = {
            let mut state = service.state();
            let count = state.executed.entry(call.clone()).or_default();
            *count += 1;
            *count
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_after_ms)).await;
        Outcome::from(request, Json(json!({ "call": call.trim_end(), "executed": count })))
    }
}
