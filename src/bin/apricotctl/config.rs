//! Where the store and the daemons are, and how answers are printed.

use apricotrun::transport::consul::ConsulStore;
use apricotrun::transport::error::{CliError, CliResult};
use reqwest::Client;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a daemon may take to answer.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(1);

/// The options of every subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Config {
    /// The HTTP address of a daemon; give several to survive the loss of one.
    #[arg(long = "daemon", env = "APRICOTRUN_DAEMONS", value_delimiter = ',', global = true)]
    daemons: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// The operators' bearer key.
    #[arg(long, env = "APRICOTRUN_OPERATOR_KEY", hide_env_values = true, global = true)]
    operator_key: Option<String>,
    /// The address of the platform's store.
    #[arg(long, env = "APRICOTRUN_STORE", global = true)]
    store: Option<SocketAddr>,
}

/// What a member said.
pub struct MemberAnswer {
    /// Its answer, or why there is none.
    pub answer: Result<Value, String>,
    /// Whether the daemon that was asked first takes it for dead.
    pub dead: bool,
    /// Its failure domain.
    pub domain: String,
}

impl Config {
    /// Opens the store.
    pub fn store(&self) -> CliResult<ConsulStore> {
        let address = self.store.ok_or_else(|| missing("--store", "APRICOTRUN_STORE"))?;
        Ok(ConsulStore::new(address)?)
    }

    /// Opens the daemons.
    pub fn daemons(&self) -> CliResult<DaemonClient> {
        let key = self.operator_key.clone();
        let key = key.ok_or_else(|| missing("--operator-key", "APRICOTRUN_OPERATOR_KEY"))?;
        if self.daemons.is_empty() {
            return Err(missing("--daemon", "APRICOTRUN_DAEMONS"));
        }
        let client = Client::builder().no_proxy().timeout(DAEMON_TIMEOUT).build()?;
        Ok(DaemonClient { client, key, seeds: self.daemons.clone() })
    }

    /// Returns whether daemons were named.
    pub fn has_daemons(&self) -> bool {
        !self.daemons.is_empty() && self.operator_key.is_some()
    }

    /// Prints an answer, as JSON or as text.
    pub fn print(&self, answer: &impl Serialize, text: &str) -> CliResult<()> {
        if !self.json {
            println!("{text}");
            return Ok(());
        }
        let json = serde_json::to_string_pretty(answer);
        println!("{}", json.map_err(|error| CliError::Remote(error.to_string()))?);
        Ok(())
    }
}

fn missing(option: &str, variable: &str) -> CliError {
    CliError::Remote(format!("{option} is missing; give it or set {variable}"))
}

/// Asks daemons as an operator.
pub struct DaemonClient {
    client: Client,
    key: String,
    seeds: Vec<SocketAddr>,
}

impl DaemonClient {
    /// Returns what the first daemon that answers says of itself and the members.
    pub async fn any_status(&self) -> CliResult<Value> {
        let mut last = String::new();
        for seed in &self.seeds {
            match self.status(*seed).await {
                Ok(status) => return Ok(status),
                Err(error) => last = format!("{seed}: {error}"),
            }
        }
        Err(CliError::Remote(format!("no daemon answers; the last one said: {last}")))
    }

    /// Returns the answers of all members, by host. Members that the asked daemon takes for dead
    /// are asked too, since they may only be cut off from it.
    pub async fn all_status(&self) -> CliResult<BTreeMap<String, MemberAnswer>> {
        let first = self.any_status().await?;
        let members = first["members"].as_array().cloned().unwrap_or_default();
        let asked = members.iter().map(|member| async move {
            let host = text_of(&member["daemon"]["host"]);
            let domain = text_of(&member["domain"]);
            let dead = member["state"] == "Dead";
            let answer = match text_of(&member["http"]).parse() {
                Ok(address) => self.status(address).await.map_err(|error| error.to_string()),
                Err(_) => Err("its address is malformed".to_owned()),
            };
            (host, MemberAnswer { answer, dead, domain })
        });
        Ok(futures::future::join_all(asked).await.into_iter().collect())
    }

    /// Tells the daemon of a host to stop gracefully.
    pub async fn drain_host(&self, host: &str) -> CliResult<()> {
        let status = self.any_status().await?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let member = members.iter().find(|member| text_of(&member["daemon"]["host"]) == host);
        let member = member.ok_or_else(|| {
            CliError::Remote(format!("host {host:?} is not a member; see apricotctl status"))
        })?;
        let url = format!("http://{}/control/drain", text_of(&member["http"]));
        self.client.post(url).bearer_auth(&self.key).send().await?.error_for_status()?;
        Ok(())
    }

    async fn status(&self, address: SocketAddr) -> CliResult<Value> {
        let url = format!("http://{address}/control/status");
        let response = self.client.get(url).bearer_auth(&self.key).send().await?;
        if response.status().as_u16() == 401 {
            let reason = format!("{address} does not accept the operator key");
            return Err(CliError::Remote(reason));
        }
        Ok(response.error_for_status()?.json().await?)
    }
}

/// Returns a JSON string's text.
pub fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
