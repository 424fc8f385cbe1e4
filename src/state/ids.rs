//! Names and identifiers as distinct types.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use thiserror::Error;

/// The longest accepted name, in bytes; it bounds the size of messages that carry names.
pub const MAX_NAME_BYTES: usize = 64;

/// An error for text that is not a valid name or identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{kind} {value:?} is invalid: {allowed}")]
pub struct IdError {
    /// The kind of identifier that was expected.
    pub kind: &'static str,
    /// Text that was parsed.
    pub value: String,
    /// A phrase that says which texts are accepted.
    pub allowed: &'static str,
}

fn check_name(kind: &'static str, text: &str) -> Result<(), IdError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(plain) {
        return Ok(());
    }
    Err(IdError {
        kind,
        value: text.to_owned(),
        allowed: "1 to 64 letters, digits, '-' or '_' are allowed",
    })
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name($kind, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}

name_id!(
    /// The name of a client account.
    AccountName, "client account"
);
name_id!(
    /// The name of a failure domain.
    DomainName, "failure domain"
);
name_id!(
    /// The name of a host that runs an entry daemon.
    HostName, "host"
);
name_id!(
    /// The name of a service, which one template describes.
    ServiceName, "service"
);
name_id!(
    /// The name of an upstream, unique within its service.
    UpstreamName, "upstream"
);

/// The version of the software that an upstream runs. Upstreams of several versions may serve one
/// service side by side, but what two versions write does not fit together.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Returns the version of a stream whose version is not known. No upstream runs it, so that the stream
    /// goes on nowhere.
    pub fn unknown() -> Self {
        Self("?".repeat(MAX_NAME_BYTES))
    }

    /// Returns the version as text; it is empty if the upstream names none.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() <= MAX_NAME_BYTES && text.chars().all(|c| c.is_ascii_graphic()) {
            return Ok(Self(text.to_owned()));
        }
        Err(IdError {
            kind: "software version",
            value: text.to_owned(),
            allowed: "at most 64 visible ASCII characters are allowed",
        })
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Distinguishes the successive processes of one host's daemon or of one upstream: a number that
/// grows with each start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns whether this is the incarnation of something that names none.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex("incarnation", text).map(Self)
    }
}

/// Identifies one process of a host's daemon.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DaemonId {
    /// The host that it runs on.
    pub host: HostName,
    /// The number of the process among those of its host.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.host, self.incarnation)
    }
}

impl FromStr for DaemonId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (host, incarnation) = split_id("daemon", text)?;
        Ok(Self { host: host.parse()?, incarnation: incarnation.parse()? })
    }
}

/// Identifies a request by the entry daemon that accepted it and a sequence number.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// The daemon that accepted the request and owns it.
    pub entry: DaemonId,
    /// The sequence number of the request at that daemon.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.entry, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, sequence) = split_id("request", text)?;
        Ok(Self { entry: entry.parse()?, sequence: parse_hex("request", sequence)? })
    }
}

/// Identifies one attempt to run a request; upstreams receive it as the request id.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (request, attempt) = split_id("attempt", text)?;
        let attempt = attempt.parse().map_err(|_| id_error("attempt", text))?;
        Ok(Self { request: request.parse()?, attempt })
    }
}

fn id_error(kind: &'static str, text: &str) -> IdError {
    IdError {
        kind,
        value: text.to_owned(),
        allowed: "host, incarnation and numbers joined by '.' are allowed",
    }
}

fn split_id<'a>(kind: &'static str, text: &'a str) -> Result<(&'a str, &'a str), IdError> {
    text.rsplit_once('.').ok_or_else(|| id_error(kind, text))
}

fn parse_hex(kind: &'static str, text: &str) -> Result<u64, IdError> {
    u64::from_str_radix(text, 16).map_err(|_| id_error(kind, text))
}

/// A revision number of the configuration; it only grows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The digest of a request body, equal for equal bodies of one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Computes the digest of the parts of a request, which covers their lengths and their order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the first 8 bytes as a little-endian number, for hashing and ordering.
    pub fn low_bits(&self) -> u64 {
        let mut half = [0; 8];
        half.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(half)
    }

    /// Returns the part that stands for the whole request where parts are named.
    pub fn as_part(&self) -> PromptPart {
        PromptPart(self.low_bits())
    }

    /// Returns the range of the fingerprints that a part stands for, usually one.
    pub fn range_of(part: PromptPart) -> RangeInclusive<Self> {
        let (mut first, mut last) = ([0; 16], [u8::MAX; 16]);
        first[..8].copy_from_slice(&part.0.to_le_bytes());
        last[..8].copy_from_slice(&part.0.to_le_bytes());
        Self(first)..=Self(last)
    }
}

/// A part of a prompt that other requests may share, such as a system prompt: the digest of its name
/// or text, whatever precedes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Returns the part with this name or text.
    pub fn of(text: &str) -> Self {
        Self(Fingerprint::of(&[text.as_bytes()]).low_bits())
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PromptPart {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex("prompt part", text).map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wide = u128::from_str_radix(text, 16);
        match wide {
            Ok(wide) if text.len() == 32 => Ok(Self(wide.to_be_bytes())),
            _ => Err(IdError {
                kind: "fingerprint",
                value: text.to_owned(),
                allowed: "32 hexadecimal digits are allowed",
            }),
        }
    }
}
