//! Sockets, HTTP and timers. This layer feeds events to the decisions and carries out their
//! actions; it decides nothing itself.

pub mod claims;
pub mod consul;
pub mod daemon;
pub mod engine;
pub mod error;
pub mod gossip;
pub mod http;
pub mod links;
pub mod logs;
pub mod node;
pub mod orders;
pub mod requests;
pub mod runs;
pub mod settings;
pub mod shards;
pub mod tickets;
pub mod watcher;
