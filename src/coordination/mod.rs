//! The decisions. Each coordinator is a value that takes the time and an event and returns
//! actions; it does no input or output, so a test can state any failure as a list of events.

pub mod claims;
pub mod config;
pub mod crashes;
pub mod flow;
pub mod membership;
pub mod messages;
pub mod orders;
pub mod ownership;
pub mod registry;
pub mod retries;
pub mod roles;
pub mod shard;
pub mod store;
pub mod tickets;
