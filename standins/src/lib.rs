//! Stand-ins for the systems around apricotrun (inference engines, plain services and the
//! platform's key-value store), and the tools that load, simulate and measure it.
//!
//! Each stand-in server has its own runtime, so that killing it breaks its connections at once, as
//! the death of a process does. Its fault switches are set by `POST /faults`.

pub mod engine;
pub mod fixtures;
pub mod fleet;
pub mod load;
pub mod network;
pub mod plain;
pub mod policy;
pub mod server;
pub mod store;
