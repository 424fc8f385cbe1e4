//! A router for separate prefill and decode pools.
//!
//! There are four layers, each of which depends only on those after it: [`transport`],
//! [`protocol`], [`coordination`] and [`state`]. All decisions are made in [`coordination`] by
//! state machines that do no I/O, take the time as an argument and return actions. See
//! docs/DESIGN.md.

pub mod coordination;
pub mod prelude;
pub mod protocol;
pub mod state;
pub mod transport;
