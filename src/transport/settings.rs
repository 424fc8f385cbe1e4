//! The settings file of a daemon, checked as a whole before any socket is opened.
//! docs/CONFIGURATION.md lists every key.

use crate::prelude::*;
use crate::protocol::codec::PeerKey;
use crate::transport::error::{CliError, CliResult};
use serde::Deserialize;
use serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for human readers.
    #[default]
    Text,
}

/// The least severe level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Also details that only developers need.
    Debug,
    /// Only errors.
    Error,
    /// Also routine events that operators may want to know.
    #[default]
    Info,
    /// Also problems that operators should look into.
    Warn,
}

fn default_body_limit() -> usize {
    4 * 1024 * 1024
}

fn default_in_flight() -> usize {
    4096
}

fn default_drain() -> Duration {
    Duration::from_secs(900)
}

/// The settings of one daemon.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The largest accepted request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
    /// The failure domain of this host.
    pub domain: DomainName,
    /// How long a stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain", rename = "drain_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain_limit: Duration,
    /// Whether the control interface lets tests drop traffic between daemons.
    #[serde(default)]
    pub fault_switches: bool,
    /// The name under which other daemons know this host.
    pub host: HostName,
    /// The address on which callers and operators are served.
    #[serde_as(as = "DisplayFromStr")]
    pub http: SocketAddr,
    /// The largest number of requests that may be in flight.
    #[serde(default = "default_in_flight")]
    pub in_flight_limit: usize,
    /// The format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// The least severe level of log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Whether trace spans are written to the log.
    #[serde(default)]
    pub log_spans: bool,
    /// The bearer key of operators, at least 8 characters.
    pub operator_key: String,
    /// The address for other daemons, by UDP and TCP.
    #[serde_as(as = "DisplayFromStr")]
    pub peer: SocketAddr,
    /// The key that all daemons share, 64 hexadecimal digits.
    #[serde_as(as = "DisplayFromStr")]
    pub peer_key: PeerKey,
    /// The address to listen at for other daemons, if a port is forwarded to it from `peer`.
    #[serde(default)]
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub peer_listen: Option<SocketAddr>,
    /// The peer addresses of daemons that this one asks for the members when it knows none.
    #[serde(default)]
    #[serde_as(as = "Vec<DisplayFromStr>")]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    #[serde_as(as = "DisplayFromStr")]
    pub store: SocketAddr,
}

impl DaemonSettings {
    /// Returns the address at which this daemon listens for others.
    pub fn peer_listener(&self) -> SocketAddr {
        self.peer_listen.unwrap_or(self.peer)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the key, the value and what is allowed.
    pub fn read(path: &Path) -> CliResult<Self> {
        let fail = |reason: String| CliError::Settings { path: path.to_owned(), reason };
        let text = fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
        let settings: Self = toml::from_str(&text).map_err(|error| fail(error.to_string()))?;
        settings.check().map_err(fail)?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if self.operator_key.len() < 8 {
            return Err("operator_key: at least 8 characters are needed".to_owned());
        }
        if self.in_flight_limit == 0 {
            return Err("in_flight_limit = 0: at least 1 is needed".to_owned());
        }
        let bodies = 1024..=64 * 1024 * 1024;
        if !bodies.contains(&self.body_limit_bytes) {
            return Err(format!(
                "body_limit_bytes = {}: 1024 to 67108864 are allowed",
                self.body_limit_bytes
            ));
        }
        for (key, address) in [("http", self.http), ("peer", self.peer), ("store", self.store)] {
            if address.port() == 0 {
                return Err(format!("{key} = {address}: the port must not be 0"));
            }
        }
        if self.peer.ip().is_unspecified() || self.http.ip().is_unspecified() {
            return Err(
                "http and peer: an address that other daemons can reach is needed".to_owned()
            );
        }
        Ok(())
    }
}
