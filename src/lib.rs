//! A router for separate prefill and decode pools.
//!
//! Four layers, each seeing only those after it: [`transport`], [`protocol`], [`coordination`]
//! and [`state`]. Decisions live in [`coordination`]; they do no input or output, take the time
//! as an argument and return actions. See docs/DESIGN.md.

pub mod coordination;
pub mod prelude;
pub mod protocol;
pub mod state;
pub mod transport;
