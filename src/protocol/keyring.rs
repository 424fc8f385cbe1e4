//! The key that all daemons of a deployment share, and how daemons agree on one key.
//!
//! The first daemon of a deployment generates the key and writes it to the platform's store. A
//! store that returns from an older copy may have lost it, and a daemon that starts then generates
//! another one. The key of the earlier era prevails: the running daemons have it and write it back.
//! See docs/DESIGN.md, "Store eras".

use crate::coordination::store::StoreEra;
use crate::protocol::codec::PeerKey;
use std::fmt;
use std::str::FromStr;

/// The shared key as it is stored, with the era of the store in which it was generated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKey {
    /// The era in which the key was generated.
    pub era: StoreEra,
    /// The key itself.
    pub key: PeerKey,
}

impl SharedKey {
    /// Generates a random key.
    pub fn generate(era: StoreEra) -> Self {
        Self { era, key: PeerKey::new(rand::random()) }
    }

    /// Returns whether this key replaces `other`. Of two keys of the same era, neither does: the
    /// stored one is used.
    pub fn prevails_over(&self, other: &Self) -> bool {
        self.era < other.era
    }
}

impl fmt::Display for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.era)?;
        self.key.bytes().iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for SharedKey {
    type Err = String;

    /// Parses the stored text. A text without an era belongs to the first one.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, key) = text.split_once(':').unwrap_or(("0", text));
        let era = era.parse().map_err(|error| format!("the era {era:?} is no number: {error}"))?;
        Ok(Self { era, key: key.parse()? })
    }
}

/// The keys that a daemon accepts: the current one, with which it signs, and the one before, with
/// which daemons that have not changed yet still sign.
#[derive(Clone, Debug)]
pub struct PeerKeyring {
    current: PeerKey,
    previous: Option<PeerKey>,
}

impl PeerKeyring {
    /// Returns a keyring with one key.
    pub fn new(key: PeerKey) -> Self {
        Self { current: key, previous: None }
    }

    /// Signs with another key from now on; returns whether it was another one.
    pub fn adopt(&mut self, key: PeerKey) -> bool {
        if key == self.current {
            return false;
        }
        self.previous = Some(std::mem::replace(&mut self.current, key));
        true
    }

    /// Returns the key to sign with.
    pub fn current(&self) -> &PeerKey {
        &self.current
    }

    /// Returns the accepted keys, the current one first.
    pub fn accepted(&self) -> impl Iterator<Item = &PeerKey> {
        std::iter::once(&self.current).chain(&self.previous)
    }
}
