//! The coordination logic, free of input and output. Each coordinator is a state machine that takes
//! the time and an event and returns actions, so a test can describe any failure as a list of
//! events.

pub mod allotments;
pub mod claims;
pub mod config;
pub mod crash_record;
pub mod crashes;
pub mod crashing_parts;
pub mod flow;
pub mod freshness;
pub mod membership;
pub mod messages;
pub mod notices;
pub mod orders;
pub mod ownership;
pub mod paths;
pub mod registry;
pub mod request_limits;
pub mod response_times;
pub mod retries;
pub mod roles;
pub mod shard;
pub mod software_versions;
pub mod stops;
pub mod store;
pub mod stream_origins;
pub mod tickets;
pub mod upstream_lifetimes;
