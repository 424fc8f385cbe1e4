//! Sockets, HTTP and timers. This layer passes events to the state machines in
//! [`crate::coordination`] and executes the actions that they return; it makes no decisions itself.

pub mod allotments;
pub mod build;
pub mod claims;
pub mod client;
pub mod consul;
pub mod crash_record;
pub mod crashes;
#[cfg(feature = "interface")]
pub mod daemon;
pub mod engine;
pub mod error;
pub mod gateway;
pub mod gossip;
#[cfg(feature = "interface")]
pub mod http;
pub mod links;
pub mod log_limiter;
pub mod logs;
pub mod node;
pub mod orders;
pub mod request_limits;
pub mod requests;
pub mod runs;
pub mod settings;
pub mod shards;
pub mod spans;
pub mod stream_origins;
pub mod tables;
pub mod tickets;
pub mod watcher;
