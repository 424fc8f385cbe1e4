//! Forwards any HTTP request to the upstreams of its route.
//!
//! Three traits adapt the gateway to a deployment: [`GatewayDialect`] reads and writes the headers,
//! [`DirectorySource`] reads routes, upstreams and hosts, and [`RoleClient`] sends orders to
//! workers. Everything else, above all the decisions, is shared with the product's own interface.
//! See docs/PLATFORM.md.

pub mod accounts;
pub mod bodies;
pub mod channels;
pub mod dialect;
pub mod directory;
pub mod ends;
pub mod forward;
pub mod frontend;
pub mod heads;
pub mod in_flight;
pub mod lifetimes;
pub mod notices;
pub mod pace;
pub mod paths;
pub mod probes;
pub mod registration;
pub mod relay;
pub mod reply;
pub mod request;
pub mod roles;
pub mod start;
pub mod stream;
pub mod templates;
pub mod window;

pub use dialect::{
    GatewayDialect, HeadError, InboundHead, OutboundHead, PromptShape, ResponseHead, ResponseKind,
    UpstreamStep,
};
pub use directory::{
    DirectoryChange, DirectorySnapshot, DirectorySource, DirectoryUpdate, HostRegistration,
};
pub use roles::RoleClient;
pub use start::{AccountSettings, GatewaySettings, GatewaySetup, SettingsReader, run_gateway};
pub use templates::DEFAULT_LEAVING_COST;
pub use window::DEFAULT_WINDOW_BYTES;
