//! The daemon's HTTP interface for callers, operators and the platform's load balancer. See
//! docs/CALLERS.md.

pub mod completions;
pub mod control;
pub mod head;
pub mod health;
pub mod reply;
pub mod services;
pub mod trace;

use crate::transport::node::DaemonNode;
use rocket::{Build, Rocket};
use std::sync::Arc;

/// Adds all routes, error catchers and the shared daemon state to a server.
pub fn mount(server: Rocket<Build>, node: Arc<DaemonNode>) -> Rocket<Build> {
    server
        .manage(node)
        .attach(trace::TraceFairing)
        .mount("/", completions::routes())
        .mount("/", health::routes())
        .mount("/control", control::routes())
        .mount("/", services::ticket_routes())
        .mount("/services", services::routes())
        .register("/", reply::catchers())
}
