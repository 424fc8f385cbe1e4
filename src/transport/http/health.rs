//! Liveness, readiness and metrics.

use crate::prelude::*;
use crate::transport::node::Node;
use metrics_exporter_prometheus::PrometheusHandle;
use rocket::http::Status;
use rocket::{Route, State, get, routes};
use std::sync::Arc;

/// Returns the routes.
pub fn routes() -> Vec<Route> {
    routes![health, metrics, ready]
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// A daemon is ready once it has a configuration, and until it stops.
#[get("/ready")]
fn ready(node: &State<Arc<Node>>) -> (Status, &'static str) {
    if node.is_leaving() {
        return (Status::ServiceUnavailable, "stopping\n");
    }
    if node.fleet().revision == Revision(0) {
        return (Status::ServiceUnavailable, "no configuration\n");
    }
    (Status::Ok, "ready\n")
}

#[get("/metrics")]
fn metrics(handle: &State<PrometheusHandle>) -> String {
    handle.render()
}
