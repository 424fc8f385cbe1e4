//! Starts the program of the deploy file, with settings as `deploy/host.toml` renders them.

use crate::http::{call, free_address};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The figures of a site that reach the settings.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub config_apply_ms: u64,
    pub budget_slack: u64,
    /// `revoke_ms`, where `fail_closed` is true.
    pub revoke_ms: Option<u64>,
}

/// A machine: the addresses and settings that outlive its processes.
pub struct Host {
    pub frontend: SocketAddr,
    pub name: String,
    pub readiness: SocketAddr,
    bounds: Bounds,
    folder: PathBuf,
    metrics: SocketAddr,
    peer: SocketAddr,
    process: Option<Child>,
    store: SocketAddr,
    zone: String,
}

impl Host {
    pub fn new(name: &str, zone: &str, store: SocketAddr, folder: &Path, bounds: Bounds) -> Self {
        Self {
            frontend: free_address(),
            name: name.to_owned(),
            readiness: free_address(),
            bounds,
            folder: folder.to_owned(),
            metrics: free_address(),
            peer: free_address(),
            process: None,
            store,
            zone: zone.to_owned(),
        }
    }

    /// Starts the process; `first_start` is the `bootstrap` of the platform's settings.
    pub fn start(&mut self, first_start: bool) {
        let accounts = match self.bounds.revoke_ms {
            Some(revoke_ms) => format!(
                "accounts.revocation_limit_ms = {revoke_ms}\naccounts.overshoot = 0.1\n\
                 accounts.tolerance = 120000\naccounts.window_s = 8\n"
            ),
            None => String::new(),
        };
        let settings = format!(
            "{accounts}contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \
             \"recover\", \"split\", \"stream\", \"engine\", \"platform\"]\n\
             domain = \"{}\"\nfirst_start = {first_start}\nfrontend = \"{}\"\nhost = \"{}\"\n\
             metrics = \"{}\"\nnews_limit_ms = {}\npeer = \"{}\"\nreadiness = \"{}\"\n\
             remote_cost_ms = 5\nstop_grace_s = 8\nstore = \"{}\"\n\n\
             [retries]\nfloor = {}\nratio = 0.2\nwindow_s = 10\n",
            self.zone,
            self.frontend,
            self.name,
            self.metrics,
            self.bounds.config_apply_ms,
            self.peer,
            self.readiness,
            self.store,
            self.bounds.budget_slack,
        );
        let path = self.folder.join(format!("{}.toml", self.name));
        fs::write(&path, settings).expect("the settings are written");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new("target/release/apricotrun-host");
        command.env_clear().env("APRICOTRUN_SETTINGS", &path);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        self.process = Some(command.spawn().expect("target/release/apricotrun-host starts"));
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            drop(process.kill());
            drop(process.wait());
        }
    }

    /// Stops the process as planned: SIGTERM, and SIGKILL after `grace`. Returns when it has ended.
    pub fn stop(&mut self, grace: Duration) {
        let Some(process) = &mut self.process else { return };
        let id = process.id().to_string();
        drop(Command::new("kill").args(["-TERM", &id]).status());
        let until = Instant::now() + grace;
        while Instant::now() < until && matches!(process.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    /// Returns the memory of the process in megabytes; `None` while there is none.
    pub fn memory_mb(&self) -> Option<f64> {
        let id = self.process.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kilobytes / 1024.0)
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /-/readyz HTTP/1.1\r\nHost: platform\r\n";
        let answer = call(self.readiness, head, b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the process says that it is ready; returns whether it does in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
