//! The options of all subcommands: how to reach the store and the daemons, and the output
//! format.

use apricotrun::transport::consul::ConsulStore;
use apricotrun::transport::error::{CliError, CliResult};
use reqwest::Client;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a daemon may take to respond.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(1);

/// The options of every subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Config {
    /// The HTTP address of a daemon; give several in case one is down.
    #[arg(long = "daemon", env = "APRICOTRUN_DAEMONS", value_delimiter = ',', global = true)]
    daemons: Vec<SocketAddr>,
    /// Prints results as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// The operator key of the daemons.
    #[arg(long, env = "APRICOTRUN_OPERATOR_KEY", hide_env_values = true, global = true)]
    operator_key: Option<String>,
    /// The address of the platform's store.
    #[arg(long, env = "APRICOTRUN_STORE", global = true)]
    store: Option<SocketAddr>,
}

/// What one daemon answers.
pub struct MemberStatus {
    /// The daemon's answer as JSON, or why there is none.
    pub status: Result<Value, String>,
    /// Whether the daemon that was asked for the members considers this one dead.
    pub dead: bool,
    /// The daemon's failure domain.
    pub domain: String,
}

impl Config {
    /// Returns a client of the store, or an error if its address is missing.
    pub fn store(&self) -> CliResult<ConsulStore> {
        let address = self.store.ok_or_else(|| missing("--store", "APRICOTRUN_STORE"))?;
        Ok(ConsulStore::new(address)?)
    }

    /// Returns a client of the daemons, or an error if an address or the operator key is missing.
    pub fn daemons(&self) -> CliResult<DaemonClient> {
        let key = self.operator_key.clone();
        let key = key.ok_or_else(|| missing("--operator-key", "APRICOTRUN_OPERATOR_KEY"))?;
        if self.daemons.is_empty() {
            return Err(missing("--daemon", "APRICOTRUN_DAEMONS"));
        }
        let client = Client::builder().no_proxy().timeout(DAEMON_TIMEOUT).build()?;
        Ok(DaemonClient { client, key, seeds: self.daemons.clone() })
    }

    /// Returns whether the options suffice to reach daemons.
    pub fn has_daemons(&self) -> bool {
        !self.daemons.is_empty() && self.operator_key.is_some()
    }

    /// Prints a result as text, or as JSON with `--json`.
    pub fn print(&self, result: &impl Serialize, text: &str) -> CliResult<()> {
        if !self.json {
            println!("{text}");
            return Ok(());
        }
        let json = serde_json::to_string_pretty(result);
        println!("{}", json.map_err(|error| CliError::Remote(error.to_string()))?);
        Ok(())
    }
}

fn missing(option: &str, variable: &str) -> CliError {
    CliError::Remote(format!("{option} is missing; give it or set {variable}"))
}

/// A client of the daemons' control endpoints.
pub struct DaemonClient {
    client: Client,
    key: String,
    seeds: Vec<SocketAddr>,
}

impl DaemonClient {
    /// Returns the status of the first daemon that responds, which lists all members.
    pub async fn any_status(&self) -> CliResult<Value> {
        let mut last = String::new();
        for seed in &self.seeds {
            match self.ask(*seed, "status").await {
                Ok(status) => return Ok(status),
                Err(error) => last = format!("{seed}: {error}"),
            }
        }
        Err(CliError::Remote(format!("no daemon responded; the last error was: {last}")))
    }

    /// Returns the status of all members, by host. Members that the first daemon considers dead
    /// are asked too, since they may only be cut off from that daemon.
    pub async fn all_status(&self) -> CliResult<BTreeMap<String, MemberStatus>> {
        self.ask_all("status").await
    }

    /// Returns what all members answer to a control request, by host.
    pub async fn ask_all(&self, path: &str) -> CliResult<BTreeMap<String, MemberStatus>> {
        let first = self.any_status().await?;
        let members = first["members"].as_array().cloned().unwrap_or_default();
        let requests = members.iter().map(|member| async move {
            let host = string_value(&member["daemon"]["host"]);
            let domain = string_value(&member["domain"]);
            let dead = member["state"] == "Dead";
            let status = match string_value(&member["http"]).parse() {
                Ok(address) => self.ask(address, path).await.map_err(|error| error.to_string()),
                Err(_) => Err("its address is malformed".to_owned()),
            };
            (host, MemberStatus { status, dead, domain })
        });
        Ok(futures::future::join_all(requests).await.into_iter().collect())
    }

    /// Requests a graceful stop of the daemon on a host.
    pub async fn drain_host(&self, host: &str) -> CliResult<()> {
        let status = self.any_status().await?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let member = members.iter().find(|member| string_value(&member["daemon"]["host"]) == host);
        let member = member.ok_or_else(|| {
            CliError::Remote(format!("host {host:?} is not a member; see apricotctl status"))
        })?;
        let url = format!("http://{}/control/drain", string_value(&member["http"]));
        self.client.post(url).bearer_auth(&self.key).send().await?.error_for_status()?;
        Ok(())
    }

    async fn ask(&self, address: SocketAddr, path: &str) -> CliResult<Value> {
        let url = format!("http://{address}/control/{path}");
        let response = self.client.get(url).bearer_auth(&self.key).send().await?;
        if response.status().as_u16() == 401 {
            let reason = format!("{address} does not accept the operator key");
            return Err(CliError::Remote(reason));
        }
        Ok(response.error_for_status()?.json().await?)
    }
}

/// Returns the text of a JSON string, or an empty text for any other value.
pub fn string_value(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
