//! The error type of the command line and of starting a daemon.

use crate::coordination::store::StoreError;
use crate::state::fleet::DocumentError;
use crate::state::ids::IdError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ended a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// A configuration document is not valid.
    #[error("{0}")]
    Document(#[from] DocumentError),
    /// The other side responded with an error.
    #[error("{0}")]
    Remote(String),
    /// A name or an identifier is not valid.
    #[error("{0}")]
    Id(#[from] IdError),
    /// Input or output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The document that the command was to change has been changed concurrently.
    #[error("{0}")]
    Conflict(String),
    /// An accepted change is not in force everywhere yet.
    #[error("{0}")]
    Pending(String),
    /// A daemon could not be reached.
    #[error("{0}; check the address and that apricotrund runs there")]
    Http(#[from] reqwest::Error),
    /// A settings file cannot be read, or a setting is not valid.
    #[error("{path}: {reason}")]
    Settings {
        /// The path of the settings file.
        path: PathBuf,
        /// The key, its value and what is allowed.
        reason: String,
    },
    /// The platform's store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The daemon could not start or stop.
    #[error("the HTTP server failed: {0}")]
    Server(String),
}

impl CliError {
    /// Returns the exit code of the process; docs/OPERATIONS.md lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Document(_) | Self::Id(_) | Self::Settings { .. } => 2,
            Self::Conflict(_) => 3,
            Self::Pending(_) => 4,
            Self::Http(_) | Self::Store(_) => 5,
            Self::Remote(_) | Self::Io(_) | Self::Server(_) => 1,
        }
    }
}

/// The result of a command.
pub type CliResult<T> = Result<T, CliError>;
