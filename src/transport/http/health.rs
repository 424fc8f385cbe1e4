//! Endpoints for liveness, readiness and metrics.

use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use metrics_exporter_prometheus::PrometheusHandle;
use rocket::http::Status;
use rocket::{Route, State, get, routes};
use std::sync::Arc;

/// Returns the routes of the health and metrics endpoints.
pub fn routes() -> Vec<Route> {
    routes![health, metrics, ready]
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Reports whether the load balancer should send requests here: from when the daemon has a
/// configuration and has joined the members, until it drains.
#[get("/ready")]
fn ready(node: &State<Arc<DaemonNode>>) -> (Status, &'static str) {
    if node.is_draining() {
        return (Status::ServiceUnavailable, "stopping\n");
    }
    if node.current_config().revision == Revision(0) {
        return (Status::ServiceUnavailable, "no configuration\n");
    }
    let now = node.clock.now();
    if !lock(&node.members).is_joined(now) {
        return (Status::ServiceUnavailable, "no members\n");
    }
    (Status::Ok, "ready\n")
}

#[get("/metrics")]
fn metrics(handle: &State<PrometheusHandle>) -> String {
    handle.render()
}
