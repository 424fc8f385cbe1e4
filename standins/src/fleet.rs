//! A complete deployment on loopback: the stand-ins run in this process, each daemon in its own.

use crate::engine::{self, EngineConfig};
use crate::plain::{self, PlainService};
use crate::server::{StandinServer, free_address, start_process};
use crate::store::{self, Store};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The operator key of every deployment started by [`Fleet`].
pub const OPERATOR_KEY: &str = "operator-key-for-tests";
/// The key that authenticates traffic between daemons, in hexadecimal.
const PEER_KEY: &str = "6b657920666f7220617072696365747420746573747320616e6420747269616c";
/// The bearer key of the account `desk`.
pub const DESK_KEY: &str = "desk-key";
/// The bearer key of the account `field`.
pub const FIELD_KEY: &str = "field-key";
/// The time within which all daemons must become ready, and after that list each other as alive.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The size and settings of a deployment.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The folder that holds the executables `apricotrund` and `apricotctl`.
    pub binaries: PathBuf,
    /// The number of daemons in each failure domain.
    pub daemons: usize,
    /// The number of decode workers in each failure domain.
    pub decode: usize,
    /// The names of the failure domains.
    pub domains: Vec<String>,
    /// The capacity and speed of each engine.
    pub engine: EngineConfig,
    /// The model service's target for the time to first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// The request deadline of both services, in milliseconds.
    pub deadline_ms: u64,
    /// The number of plain upstreams in each failure domain.
    pub plain: usize,
    /// The number of prefill workers in each failure domain.
    pub prefill: usize,
    /// TOML lines appended to each daemon's settings file.
    pub settings: String,
    /// Whether the daemons log to this process's standard error; they are silent otherwise.
    pub show_logs: bool,
}

impl FleetOptions {
    /// Returns the options of a small deployment that runs the executables of a folder.
    pub fn new(binaries: &Path) -> Self {
        Self {
            binaries: binaries.to_owned(),
            daemons: 2,
            decode: 2,
            deadline_ms: 20_000,
            domains: vec!["tyrol-a".to_owned()],
            engine: EngineConfig::default(),
            first_token_target_ms: 2_000,
            plain: 2,
            prefill: 1,
            settings: String::new(),
            show_logs: std::env::var_os("APRICOTRUN_SHOW_LOGS").is_some(),
        }
    }
}

/// Returns the folder of the executables that were built together with the running one.
pub fn binaries_folder() -> PathBuf {
    let own = std::env::current_exe().expect("the running program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    match folder.file_name() {
        Some(name) if name == "deps" => folder.parent().unwrap_or(folder).to_owned(),
        _ => folder.to_owned(),
    }
}

/// Returns the CPU time that a process has used in user and system mode, in seconds. Returns `None`
/// if there is no such process.
pub fn process_cpu_seconds(pid: u32) -> Option<f64> {
    /// The kernel's `USER_HZ` on this architecture, the unit of the times in `/proc`.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // `utime` and `stime` are the 12th and 13th field after the parenthesized program name, which
    // may contain spaces itself.
    let fields: Vec<_> = stat.rsplit(") ").next()?.split(' ').collect();
    let ticks = |place: usize| fields.get(place)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// A daemon of the deployment; dropping it kills its process.
pub struct FleetDaemon {
    child: Option<Child>,
    /// The daemon's failure domain.
    pub domain: String,
    /// The daemon's host name.
    pub host: String,
    /// The address that serves callers and operators.
    pub http: SocketAddr,
    /// The address for traffic from other daemons.
    pub peer: SocketAddr,
    settings: PathBuf,
}

impl FleetDaemon {
    /// Returns the URL of a path on this daemon, given with its leading slash.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.http)
    }

    /// Returns the process id, or `None` after [`FleetDaemon::kill`] or a completed
    /// [`FleetDaemon::wait`].
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends the process a signal, named without its prefix: `KILL`, `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let signal = format!("-{name}");
        let mut command = Command::new("kill");
        command.args([signal, child.id().to_string()]);
        let _ = start_process(&mut command).and_then(|mut sent| sent.wait());
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits by itself, and returns whether its exit status was success.
    /// Returns `None` if it is still running after `within`.
    pub fn wait(&mut self, within: Duration) -> Option<bool> {
        let started = Instant::now();
        while started.elapsed() < within {
            let status = self.child.as_mut()?.try_wait().ok()?;
            if let Some(status) = status {
                self.child = None;
                return Some(status.success());
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for FleetDaemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A plain upstream of the deployment.
pub struct PlainUpstream {
    /// The server, which can be killed on its own.
    pub server: StandinServer,
    /// The upstream's fault switches and execution counts, which outlive its server.
    pub service: PlainService,
}

/// A running deployment; dropping it stops all its parts.
pub struct Fleet {
    /// The daemons, grouped by failure domain.
    pub daemons: Vec<FleetDaemon>,
    /// The engines by upstream name, such as `tyrol-a-prefill-0`.
    pub engines: BTreeMap<String, StandinServer>,
    /// The folder with the daemons' settings and the configuration documents; commands run in it.
    pub folder: tempfile::TempDir,
    options: FleetOptions,
    /// The plain upstreams by upstream name, such as `tyrol-a-plain-0`.
    pub plain: BTreeMap<String, PlainUpstream>,
    /// The content and fault switches of the key-value store.
    pub store: Store,
    /// The server of the key-value store.
    pub store_server: StandinServer,
}

impl Fleet {
    /// Starts a deployment and waits until every daemon is ready and lists all others as alive.
    ///
    /// # Errors
    ///
    /// Returns an error if an executable cannot be started, if `apricotctl` rejects the documents,
    /// or if a daemon is not ready or does not list all others in time.
    pub fn start(options: FleetOptions) -> io::Result<Self> {
        let store = Store::default();
        let store_server = store::start(free_address(), &store);
        let mut fleet = Self {
            daemons: Vec::new(),
            engines: BTreeMap::new(),
            folder: tempfile::tempdir()?,
            options,
            plain: BTreeMap::new(),
            store,
            store_server,
        };
        fleet.start_upstreams();
        fleet.write_documents()?;
        fleet.ctl(&["apply", "llm.toml", "app.toml", "desk.toml", "field.toml"])?;
        fleet.start_daemons()?;
        fleet.wait_ready()?;
        fleet.wait_members()?;
        Ok(fleet)
    }

    /// Runs `apricotctl` in the deployment's folder and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error with the command's standard error if it does not exit with success.
    pub fn ctl(&self, args: &[&str]) -> io::Result<String> {
        let output = self.try_ctl(args)?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned())),
        }
    }

    /// Runs `apricotctl` in the deployment's folder and returns its output and exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable cannot be started.
    pub fn try_ctl(&self, args: &[&str]) -> io::Result<Output> {
        let daemons: Vec<_> = self.daemons.iter().map(|d| d.http.to_string()).collect();
        let mut command = Command::new(self.options.binaries.join("apricotctl"));
        command
            .args(args)
            .current_dir(self.folder.path())
            .env("APRICOTRUN_STORE", self.store_server.address.to_string())
            .env("APRICOTRUN_OPERATOR_KEY", OPERATOR_KEY);
        if !daemons.is_empty() {
            command.env("APRICOTRUN_DAEMONS", daemons.join(","));
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        start_process(&mut command)?.wait_with_output()
    }

    /// Starts a daemon's process on its addresses, after killing the running one if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable cannot be started.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let log = match self.options.show_logs {
            true => Stdio::inherit(),
            false => Stdio::null(),
        };
        let daemon = &mut self.daemons[index];
        daemon.kill();
        let mut command = Command::new(self.options.binaries.join("apricotrund"));
        command.arg("--config").arg(&daemon.settings).stderr(log);
        daemon.child = Some(start_process(&mut command)?);
        Ok(())
    }

    /// Returns the daemons of a failure domain.
    pub fn daemons_of(&self, domain: &str) -> Vec<&FleetDaemon> {
        self.daemons.iter().filter(|daemon| daemon.domain == domain).collect()
    }

    /// Waits until every daemon with a running process reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error with the host name of a daemon that is not ready within the time limit.
    pub fn wait_ready(&self) -> io::Result<()> {
        let client = reqwest::blocking::Client::builder().no_proxy().build();
        let client = client.map_err(io::Error::other)?;
        let started = Instant::now();
        for daemon in self.daemons.iter().filter(|daemon| daemon.child.is_some()) {
            loop {
                let response = client.get(daemon.url("/ready")).send();
                if response.is_ok_and(|response| response.status().is_success()) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    return Err(io::Error::other(format!("daemon {} is not ready", daemon.host)));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Waits until every daemon lists all daemons as alive.
    fn wait_members(&self) -> io::Result<()> {
        let client = reqwest::blocking::Client::builder().no_proxy().build();
        let client = client.map_err(io::Error::other)?;
        let started = Instant::now();
        for daemon in &self.daemons {
            while count_alive_members(&client, daemon) < self.daemons.len() {
                if started.elapsed() > READY_TIMEOUT {
                    let reason = format!("{} does not list all daemons as alive", daemon.host);
                    return Err(io::Error::other(reason));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    fn start_upstreams(&mut self) {
        for domain in self.options.domains.clone() {
            for index in 0..self.options.prefill + self.options.decode {
                let role = if index < self.options.prefill { "prefill" } else { "decode" };
                let name = format!("{domain}-{role}-{index}");
                self.engines
                    .insert(name, engine::start(free_address(), self.options.engine.clone()));
            }
            for index in 0..self.options.plain {
                let service = PlainService::default();
                let server = plain::start(free_address(), &service);
                let name = format!("{domain}-plain-{index}");
                self.plain.insert(name, PlainUpstream { server, service });
            }
        }
    }

    fn write_documents(&self) -> io::Result<()> {
        self.write("llm.toml", &self.llm_template())?;
        self.write("app.toml", &self.app_template())?;
        for (name, key) in [("desk", DESK_KEY), ("field", FIELD_KEY)] {
            self.write(&format!("{name}.toml"), &account_document(name, key))?;
        }
        Ok(())
    }

    /// Writes a file into the deployment's folder and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.folder.path().join(name);
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Returns the template of the model service `fitting-llm`, with all engines as its upstreams.
    pub fn llm_template(&self) -> String {
        let engine = &self.options.engine;
        let mut text = format!(
            "service = \"fitting-llm\"\nmodels = [\"fitting-7b\"]\ndeadline_ms = {}\n\
             first_token_target_ms = {}\nbetween_token_target_ms = 40\neviction_ms = {}\n\
             prefill_tokens_per_second = {:.1}\nlink_tokens_per_second = {:.1}\n",
            self.options.deadline_ms,
            self.options.first_token_target_ms,
            engine.eviction.as_millis(),
            engine.prefill_tokens_per_second,
            engine.link_tokens_per_second,
        );
        for (name, server) in &self.engines {
            let role = if name.contains("prefill") { "prefill" } else { "decode" };
            let kv_blocks = engine.slots * 2;
            text += &upstream_entry(name, role, server.address, engine.slots);
            if role == "decode" {
                text += &format!("pieces = {kv_blocks}\n");
            }
        }
        text
    }

    /// Returns the template of the plain service `rental-app`, with all plain upstreams.
    pub fn app_template(&self) -> String {
        let mut text = format!(
            "service = \"rental-app\"\ndeadline_ms = {}\nfirst_token_target_ms = 1000\n\
             non_idempotent = [\"POST /bookings\", \"POST /returns\"]\n",
            self.options.deadline_ms,
        );
        for (name, upstream) in &self.plain {
            text += &upstream_entry(name, "plain", upstream.server.address, 16);
        }
        text
    }

    fn start_daemons(&mut self) -> io::Result<()> {
        let mut hosts = Vec::new();
        for domain in &self.options.domains {
            for index in 0..self.options.daemons {
                hosts.push((domain.clone(), format!("{domain}-{index}"), free_address_pair()));
            }
        }
        let seeds: Vec<_> = hosts.iter().map(|(_, _, (_, peer))| format!("\"{peer}\"")).collect();
        for (index, (domain, host, (http, peer))) in hosts.iter().enumerate() {
            let text = format!(
                "host = \"{host}\"\ndomain = \"{domain}\"\nhttp = \"{http}\"\npeer = \"{peer}\"\n\
                 seeds = [{}]\nstore = \"{}\"\npeer_key = \"{PEER_KEY}\"\n\
                 operator_key = \"{OPERATOR_KEY}\"\nfault_switches = true\n{}",
                seeds.join(", "),
                self.store_server.address,
                self.options.settings,
            );
            let settings = self.write(&format!("{host}.toml"), &text)?;
            let (domain, host) = (domain.clone(), host.clone());
            let daemon =
                FleetDaemon { child: None, domain, host, http: *http, peer: *peer, settings };
            self.daemons.push(daemon);
            self.restart(index)?;
        }
        Ok(())
    }
}

/// Returns how many daemons a daemon lists as alive, itself included; 0 if it does not respond.
fn count_alive_members(client: &reqwest::blocking::Client, daemon: &FleetDaemon) -> usize {
    let request = client.get(daemon.url("/control/status")).bearer_auth(OPERATOR_KEY);
    let status: Option<Value> = request.send().and_then(|response| response.json()).ok();
    let members = status.as_ref().and_then(|status| status["members"].as_array());
    let alive = |member: &&Value| member["state"] == "Alive";
    members.map_or(0, |members| members.iter().filter(alive).count())
}

/// Returns free addresses for a daemon's callers and peers.
fn free_address_pair() -> (SocketAddr, SocketAddr) {
    (free_address(), free_address())
}

/// Returns the `[[upstream]]` table of a template.
fn upstream_entry(name: &str, role: &str, address: SocketAddr, slots: usize) -> String {
    let domain = name.split(&format!("-{role}-")).next().unwrap_or_default();
    format!(
        "\n[[upstream]]\nname = \"{name}\"\nrole = \"{role}\"\ndomain = \"{domain}\"\n\
         address = \"{address}\"\nslots = {slots}\n"
    )
}

/// Returns the document of an account with half of each service's capacity.
pub fn account_document(name: &str, key: &str) -> String {
    let digest = key_digest(key);
    format!(
        "account = \"{name}\"\nkey_digest = \"{digest}\"\n\n[services.fitting-llm]\nshare = 0.5\n\n\
         [services.rental-app]\nshare = 0.5\n"
    )
}

fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
