//! The client accounts of a deployment's configuration: their keys, priorities and allotments. See
//! docs/design/client-accounts.md.

use crate::state::ids::AccountName;
use crate::state::units::{TokenRate, Tokens};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The BLAKE3 digest of a caller's key, which is kept in place of the key.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key as it was sent.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The tokens that an account may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenAllotment {
    /// What may be used at once after a pause, in tokens.
    pub burst: f64,
    /// What may be used for any length of time.
    pub rate: TokenRate,
}

impl fmt::Display for TokenAllotment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} + {}", self.rate, self.burst)
    }
}

impl FromStr for TokenAllotment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (rate, burst) = text.split_once('+').ok_or("a rate, '+' and a burst are needed")?;
        let rate = rate.trim().parse().map_err(|error| format!("rate: {error}"))?;
        let burst = burst.trim().parse().map_err(|error| format!("burst: {error}"))?;
        Ok(Self { burst, rate })
    }
}

/// What the requests of an account count as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CostUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt and its longest output together.
    Tokens {
        /// What a request counts as that names no token counts.
        uncounted: Tokens,
    },
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAccount {
    /// The tokens that it may use; `None` if they are not limited.
    pub allotment: Option<TokenAllotment>,
    /// The name, which upstreams are told.
    pub name: AccountName,
    /// The priority of its requests in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// What its requests count as.
    pub unit: CostUnit,
}

impl ClientAccount {
    /// Returns what a request with this prompt and longest output, if it names them, costs of the
    /// allotment.
    pub fn cost_of(&self, counts: Option<(Tokens, Tokens)>) -> f64 {
        match (self.unit, counts) {
            (CostUnit::Requests, _) => 1.0,
            (CostUnit::Tokens { .. }, Some((prompt, output))) => {
                f64::from(prompt.0) + f64::from(output.0)
            }
            (CostUnit::Tokens { uncounted }, None) => f64::from(uncounted.0),
        }
    }
}

/// All client accounts of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountDirectory {
    accounts: BTreeMap<AccountName, Arc<ClientAccount>>,
    by_key: BTreeMap<KeyDigest, Arc<ClientAccount>>,
}

impl AccountDirectory {
    /// Adds an account with its keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the name, or one of the keys, belongs to another account already.
    pub fn insert(
        &mut self,
        account: ClientAccount,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<(), String> {
        let account = Arc::new(account);
        for key in keys {
            let holder = self.by_key.insert(key, account.clone());
            if let Some(holder) = holder.filter(|holder| holder.name != account.name) {
                let (name, other) = (&account.name, &holder.name);
                return Err(format!("accounts {name} and {other} have the same key"));
            }
        }
        match self.accounts.insert(account.name.clone(), account) {
            Some(other) => Err(format!("account {} is listed twice", other.name)),
            None => Ok(()),
        }
    }

    /// Returns the account that a key belongs to.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the account with this name.
    pub fn get(&self, name: &AccountName) -> Option<&Arc<ClientAccount>> {
        self.accounts.get(name)
    }

    /// Returns all accounts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.accounts.values()
    }

    /// Returns the fraction of the slots that an account is entitled to while others compete: its
    /// part of all limits, or an equal part if any account has no limit.
    pub fn share_of(&self, account: &ClientAccount) -> f64 {
        let rates = self.accounts.values().map(|other| other.allotment.map(|other| other.rate.0));
        match (account.allotment, rates.sum::<Option<f64>>()) {
            (Some(own), Some(total)) if total > 0.0 => own.rate.0 / total,
            _ => 1.0 / self.accounts.len().max(1) as f64,
        }
    }
}
