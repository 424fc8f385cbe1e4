//! What operators ask a daemon for: its view of the fleet, and to stop.

use crate::coordination::messages::MemberRecord;
use crate::coordination::shard::ShardStatus;
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::serde::json::Json;
use rocket::{Request, Route, State, get, post, routes};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Returns the routes.
pub fn routes() -> Vec<Route> {
    routes![drain, faults, status]
}

/// Proves that a request comes from an operator.
struct OperatorKey;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OperatorKey {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let node = request.rocket().state::<Arc<DaemonNode>>();
        let given = request.headers().get_one("Authorization");
        let given = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        // Digests are compared, so that the time taken tells nothing about the key.
        let fits = node.is_some_and(|node| {
            blake3::hash(given.as_bytes()) == blake3::hash(node.settings.operator_key.as_bytes())
        });
        match fits {
            true => Outcome::Success(Self),
            false => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// One daemon's view.
#[derive(Debug, Serialize)]
pub struct DaemonStatus {
    /// How many milliseconds ago the configuration was taken.
    pub config_age_ms: Option<u64>,
    /// The configuration's revision.
    pub revision: Revision,
    /// A revision that was offered and is not valid.
    pub rejected: Option<Revision>,
    /// This daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// How many requests are in flight here.
    pub in_flight: usize,
    /// The members.
    pub members: Vec<MemberRecord>,
    /// The shards for which it has a duty.
    pub shards: BTreeMap<ServiceName, ShardStatus>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// How many tickets it remembers.
    pub tickets: usize,
}

#[get("/status")]
fn status(_key: OperatorKey, node: &State<Arc<DaemonNode>>) -> Json<DaemonStatus> {
    let now = node.clock.now();
    let (revision, applied_at, rejected) = {
        let config = lock(&node.config);
        (config.current().revision, config.applied_at(), config.rejected())
    };
    let members = {
        let members = lock(&node.members);
        std::iter::once(members.me()).chain(members.others()).cloned().collect()
    };
    let age =
        applied_at.map(|applied_at| now.saturating_duration_since(applied_at).as_millis() as u64);
    let in_flight = node.settings.in_flight_limit - node.in_flight.available_permits();
    Json(DaemonStatus {
        config_age_ms: age,
        daemon: node.me.clone(),
        domain: node.settings.domain.clone(),
        in_flight,
        members,
        rejected,
        revision,
        shards: node.shard_status(),
        stopping: node.is_stopping(),
        tickets: lock(&node.tickets).len(),
    })
}

/// Starts a graceful stop.
#[post("/drain")]
fn drain(_key: OperatorKey, node: &State<Arc<DaemonNode>>) -> Status {
    node.stop_requested.notify_one();
    Status::Accepted
}

/// Traffic that a test wants dropped.
#[derive(Debug, Deserialize)]
struct FaultRequest {
    /// The peer addresses that this daemon no longer hears or reaches.
    block: Vec<SocketAddr>,
}

#[post("/faults", data = "<request>")]
fn faults(_key: OperatorKey, node: &State<Arc<DaemonNode>>, request: Json<FaultRequest>) -> Status {
    if !node.settings.fault_switches {
        return Status::Forbidden;
    }
    *lock(&node.blocked_peers) = request.into_inner().block.into_iter().collect();
    Status::NoContent
}
