//! Forwards any HTTP request to the upstreams of its route.
//!
//! The gateway speaks a deployment's own words by way of two traits: [`GatewayDialect`] reads and
//! writes the headers, [`DirectorySource`] tells of routes, upstreams and hosts. Everything else,
//! the decisions above all, is the same as for the product's own interface. See docs/PLATFORM.md.

pub mod bodies;
pub mod channels;
pub mod dialect;
pub mod directory;
pub mod forward;
pub mod frontend;
pub mod heads;
pub mod probes;
pub mod reply;
pub mod request;
pub mod roles;
pub mod start;
pub mod stream;
pub mod templates;

pub use dialect::{
    GatewayDialect, HeadError, InboundHead, OutboundHead, PromptShape, ResponseHead, ResponseKind,
    UpstreamStep,
};
pub use directory::{
    DirectoryChange, DirectorySnapshot, DirectorySource, DirectoryUpdate, HostRegistration,
};
pub use roles::RoleClient;
pub use start::{GatewaySettings, GatewaySetup, SettingsReader, run_gateway};
