//! The `apply` subcommand: stores documents from files and can wait until they are in force.

use crate::config::Config;
use crate::documents::{put, read_file};
use crate::wait::wait_for;
use apricotrun::prelude::Revision;
use apricotrun::state::fleet::DocumentName;
use apricotrun::transport::error::{CliError, CliResult};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// TOML files with a `service` or `account` key that names the document.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Waits until the change is in force in every failure domain, for at most this many seconds.
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "30")]
    wait: Option<u64>,
}

/// Reads all files first, so that an unreadable one changes nothing, then stores their documents in
/// order.
pub async fn run(config: &Config, args: Args) -> CliResult<()> {
    let store = config.store()?;
    let mut documents = Vec::new();
    for file in &args.files {
        let text = read_file(file)?;
        documents.push((document_name(file, &text)?, text));
    }
    let mut revision = Revision::default();
    for (name, text) in &documents {
        revision = put(config, &store, name, text, None).await?;
    }
    match args.wait {
        Some(seconds) => wait_for(config, revision, Duration::from_secs(seconds)).await,
        None => Ok(()),
    }
}

/// Returns the document's name from the `service` or `account` key of its text.
fn document_name(file: &Path, text: &str) -> CliResult<DocumentName> {
    let fail = |reason: String| CliError::Settings { path: file.to_owned(), reason };
    let table: toml::Table =
        text.parse().map_err(|error: toml::de::Error| fail(error.to_string()))?;
    for (key, kind) in [("service", "template"), ("account", "account")] {
        if let Some(name) = table.get(key).and_then(toml::Value::as_str) {
            return Ok(format!("{kind}/{name}").parse()?);
        }
    }
    Err(fail("neither a `service` nor an `account` key names the document".to_owned()))
}
