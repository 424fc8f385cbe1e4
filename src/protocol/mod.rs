//! Wire formats between daemons. The messages are in [`crate::coordination::messages`].

pub mod codec;
pub mod keyring;
pub mod return_pass;
