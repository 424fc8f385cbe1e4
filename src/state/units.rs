//! Sizes and rates as distinct types, so that tokens are never added to KV blocks.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::Duration;

macro_rules! count_unit {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} {}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.trim_end_matches($suffix).trim_end().parse().map(Self)
            }
        }
    };
}

count_unit!(
    /// A number of tokens of a prompt or a response.
    Tokens, "tokens"
);
count_unit!(
    /// A number of KV-cache blocks.
    KvBlocks, "pieces"
);
count_unit!(
    /// A number of requests that an upstream runs concurrently.
    Slots, "slots"
);

impl Tokens {
    /// Returns the number of KV blocks of `block` tokens that hold this many tokens, at least one.
    pub fn kv_blocks(self, block: Tokens) -> KvBlocks {
        KvBlocks(self.0.div_ceil(block.0.max(1)).max(1))
    }
}

/// How urgent a request is; 0 is the most urgent. See docs/design/urgency.md.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct UrgencyRank(pub u8);

impl UrgencyRank {
    /// The least urgent rank.
    pub const LEAST: Self = Self(9);

    /// Returns the rank of a configured priority; all from 9 on are the same.
    pub fn from_priority(priority: u32) -> Self {
        Self(priority.min(u32::from(Self::LEAST.0)) as u8)
    }
}

impl fmt::Display for UrgencyRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for UrgencyRank {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self::from_priority)
    }
}

/// A processing rate in tokens per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Returns the time for `tokens` at this rate; zero when the rate is not known.
    pub fn time_for(self, tokens: Tokens) -> Duration {
        if self.0 <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(f64::from(tokens.0) / self.0)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches("tokens/s").trim_end().parse().map(Self)
    }
}

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Returns the rate of this many requests per second.
    pub fn from_per_second(rate: f64) -> Self {
        Self((rate * 1_000.0).round() as u32)
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches("requests/s").trim_end().parse().map(Self::from_per_second)
    }
}

/// How long work takes on an upstream's machine, in percent of the usual time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct SlownessPercent(pub u32);

impl Default for SlownessPercent {
    /// Returns the usual time.
    fn default() -> Self {
        Self(100)
    }
}

impl SlownessPercent {
    /// Returns the factor, from a half to twenty: an upstream that claims to be far faster than usual must
    /// not make up for its failures.
    pub fn factor(self) -> f64 {
        (f64::from(self.0) / 100.0).clamp(0.5, 20.0)
    }
}

impl fmt::Display for SlownessPercent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for SlownessPercent {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().trim_end_matches('%').parse().map(Self)
    }
}
