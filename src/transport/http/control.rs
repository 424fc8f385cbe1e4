//! Endpoints for operators: a daemon's view of the fleet, a graceful stop, and fault injection for
//! tests.

use crate::coordination::messages::{AdmissionRequest, MemberRecord};
use crate::coordination::shard::{PlacementPreview, ShardStatus};
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

/// Returns the routes of the operators' endpoints.
pub fn routes() -> Vec<Route> {
    routes![drain, faults, route, status]
}

/// A request guard that admits only requests with the operator key as their bearer key.
struct OperatorKey;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OperatorKey {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let node = request.rocket().state::<Arc<DaemonNode>>();
        let given = request.headers().get_one("Authorization");
        let given = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        // Comparing digests instead of keys keeps the comparison time from revealing the key.
        let is_authorized = node.is_some_and(|node| {
            blake3::hash(given.as_bytes()) == blake3::hash(node.settings.operator_key.as_bytes())
        });
        match is_authorized {
            true => Outcome::Success(Self),
            false => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// One daemon's view of itself and the fleet, as JSON for operators.
#[derive(Debug, Serialize)]
pub struct DaemonStatus {
    /// How many milliseconds ago the configuration was applied; `None` before the first one.
    pub config_age_ms: Option<u64>,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The revision of a configuration that was received but is invalid, and so not applied.
    pub rejected: Option<Revision>,
    /// The host and incarnation of this daemon.
    pub daemon: DaemonId,
    /// The failure domain of this daemon.
    pub domain: DomainName,
    /// The number of requests in flight at this daemon.
    pub in_flight: usize,
    /// The daemons of the fleet as this one sees them, itself first.
    pub members: Vec<MemberRecord>,
    /// The shards in which this daemon has a role, by service.
    pub shards: BTreeMap<ServiceName, ShardStatus>,
    /// Whether the daemon is stopping gracefully.
    pub stopping: bool,
    /// The number of used tickets that the daemon's ticket table records.
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

/// Explains what this daemon would do with a request, without admitting it; `null` if it does not own
/// upstreams of the service.
#[get("/route?<service>&<account>&<prompt_tokens>&<output_tokens>")]
fn route(
    _key: OperatorKey,
    node: &State<Arc<DaemonNode>>,
    service: &str,
    account: &str,
    prompt_tokens: u32,
    output_tokens: u32,
) -> Result<Json<Option<PlacementPreview>>, Status> {
    let service: ServiceName = service.parse().map_err(|_| Status::UnprocessableEntity)?;
    let account = account.parse().map_err(|_| Status::UnprocessableEntity)?;
    let config = node.current_config();
    let Some(template) = config.templates.get(&service) else { return Ok(Json(None)) };
    let request = AdmissionRequest {
        account,
        // Nothing has this number, so that the request is not taken for one that is known.
        attempt: AttemptId {
            request: RequestId { entry: node.me.clone(), sequence: u64::MAX },
            attempt: 0,
        },
        avoid: Vec::new(),
        expected_output: Tokens(output_tokens),
        fail_fast: false,
        fingerprint: Fingerprint::of(&[]),
        first_token_within: template.first_token_target,
        max_output: Tokens(output_tokens),
        prefilled: false,
        prefix: Vec::new(),
        prompt: Tokens(prompt_tokens),
        resuming: false,
        returning: false,
        software: None,
        suspect: false,
        urgency: UrgencyRank::default(),
        waited: Duration::ZERO,
    };
    let shards = lock(&node.shards);
    let ledger = shards.get(&service);
    Ok(Json(ledger.and_then(|ledger| ledger.preview(node.clock.now(), &request))))
}

/// Starts a graceful stop and returns before it is done.
#[post("/drain")]
fn drain(_key: OperatorKey, node: &State<Arc<DaemonNode>>) -> Status {
    node.stop_requested.notify_one();
    Status::Accepted
}

/// The network faults that a test injects.
#[derive(Debug, Deserialize)]
struct FaultRequest {
    /// The peer addresses to and from which this daemon drops all traffic. Each request replaces
    /// the list.
    block: Vec<SocketAddr>,
}

/// Injects network faults, if the settings allow it.
#[post("/faults", data = "<request>")]
fn faults(_key: OperatorKey, node: &State<Arc<DaemonNode>>, request: Json<FaultRequest>) -> Status {
    if !node.settings.fault_switches {
        return Status::Forbidden;
    }
    *lock(&node.blocked_peers) = request.into_inner().block.into_iter().collect();
    Status::NoContent
}
