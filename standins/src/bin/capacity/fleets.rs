//! Measures real daemons on loopback: control traffic, CPU time, memory, and the propagation of
//! configuration changes.

use crate::plot::{Series, draw};
use crate::slope::fit;
use standins::fleet::{DESK_KEY, Fleet, FleetOptions, binaries_folder, process_cpu_seconds};
use standins::load::{LoadPlan, LoadTarget, run};
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The time over which idle and loaded daemons are measured.
const WINDOW: Duration = Duration::from_secs(12);
/// The time between the start of a deployment and its measurement.
const SETTLE: Duration = Duration::from_secs(4);
/// The number of configuration changes that are timed.
const CHANGES: u64 = 5;
/// The rate of requests under load, per second over all daemons.
const LOAD_RATE: f64 = 60.0;
/// The number of failure domains.
const DOMAINS: usize = 4;
/// The measured numbers of daemons.
const SIZES: [usize; 4] = [4, 8, 16, 32];

/// The results for one number of daemons.
struct FleetPoint {
    /// The average time to apply a configuration change to all daemons, in milliseconds.
    apply_ms: f64,
    /// The control traffic that an idle daemon sends, in bytes per second.
    control_bytes: f64,
    /// The CPU time of an idle daemon, as a percentage of one core.
    core_percent: f64,
    daemons: usize,
    /// The control traffic that a daemon sends under load, in bytes per second.
    loaded_bytes: f64,
    /// The resident memory of a daemon, in megabytes.
    memory_mb: f64,
    /// The store reads per configuration change, over all daemons.
    reads: f64,
    /// The store writes per configuration change, over all daemons.
    writes: f64,
}

/// Measures all numbers of daemons, draws the control traffic into `folder`, and returns the
/// tables.
pub fn measure(folder: &Path) -> io::Result<String> {
    let mut points = Vec::new();
    for daemons in SIZES {
        points.push(measure_size(daemons)?);
    }
    let mut text = String::new();
    for point in &points {
        text += &format!(
            "{:3} daemons  control_bytes_per_s {:6.0}  under_load {:6.0}  core_percent {:5.2}  memory_mb {:5.1}  \
             apply_ms {:6.0}  reads_a_change {:5.1}  writes_a_change {:4.1}\n",
            point.daemons,
            point.control_bytes,
            point.loaded_bytes,
            point.core_percent,
            point.memory_mb,
            point.apply_ms,
            point.reads,
            point.writes
        );
    }
    let series = |value: fn(&FleetPoint) -> f64| -> Vec<(f64, f64)> {
        points.iter().map(|point| (point.daemons as f64, value(point))).collect()
    };
    for (name, value) in [
        ("control_bytes_per_s", (|point| point.control_bytes) as fn(&FleetPoint) -> f64),
        ("under_load", |point| point.loaded_bytes),
        ("core_percent", |point| point.core_percent),
        ("memory_mb", |point| point.memory_mb),
    ] {
        let (intercept, slope) = fit(&series(value));
        text += &format!("fit_{name} {intercept:.3} + {slope:.4} a daemon\n");
    }
    let control = Series { name: "idle".to_owned(), points: series(|point| point.control_bytes) };
    draw(
        &folder.join("control.svg"),
        "Control traffic of one idle daemon (sent)",
        "daemons",
        "bytes a second",
        &[control],
    );
    Ok(text)
}

fn measure_size(daemons: usize) -> io::Result<FleetPoint> {
    let mut options = FleetOptions::new(&binaries_folder());
    options.domains = (0..DOMAINS).map(|index| format!("tyrol-{index}")).collect();
    options.daemons = daemons / DOMAINS;
    options.decode = 1;
    options.plain = 1;
    let fleet = Fleet::start(options)?;
    thread::sleep(SETTLE);
    let (bytes, cpu) = (control_bytes(&fleet)?, cpu_seconds(&fleet)?);
    thread::sleep(WINDOW);
    let window = WINDOW.as_secs_f64() * daemons as f64;
    let control_bytes = (control_bytes(&fleet)? - bytes) / window;
    let core_percent = 100.0 * (cpu_seconds(&fleet)? - cpu) / window;
    let memory_mb = memory_bytes(&fleet)? / daemons as f64 / 1e6;
    let loaded_bytes = loaded_control_bytes(&fleet)?;
    let before = fleet.store.counts();
    let mut apply_ms = 0.0;
    for change in 0..CHANGES {
        let text = fleet.app_template().replace("1000", &format!("10{change:02}"));
        fleet.write("changed.toml", &text)?;
        let started = Instant::now();
        fleet.ctl(&["apply", "--wait", "30", "changed.toml"])?;
        apply_ms += started.elapsed().as_secs_f64() * 1_000.0 / CHANGES as f64;
    }
    let after = fleet.store.counts();
    Ok(FleetPoint {
        apply_ms,
        control_bytes,
        core_percent,
        daemons,
        loaded_bytes,
        memory_mb,
        reads: (after.reads - before.reads) as f64 / CHANGES as f64,
        writes: (after.writes - before.writes) as f64 / CHANGES as f64,
    })
}

/// Returns the control traffic that a daemon sends under load, in bytes per second.
fn loaded_control_bytes(fleet: &Fleet) -> io::Result<f64> {
    let addresses = fleet.daemons.iter().map(|daemon| daemon.http).collect();
    let target = LoadTarget::Daemons { addresses, key: DESK_KEY.to_owned() };
    let plan = LoadPlan {
        output_tokens: 40,
        inter_token_target: Duration::from_millis(40),
        duration: WINDOW,
        first_token_target: Duration::from_secs(2),
        prompt_bytes: 400,
        rate: LOAD_RATE,
        seed: 7,
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let (before, started) = (control_bytes(fleet)?, Instant::now());
    let report = runtime.block_on(run(&target, &plan));
    println!("# {} daemons under load: {report}", fleet.daemons.len());
    let window = started.elapsed().as_secs_f64() * fleet.daemons.len() as f64;
    Ok((control_bytes(fleet)? - before) / window)
}

/// Returns the bytes of control traffic that all daemons together have sent so far.
fn control_bytes(fleet: &Fleet) -> io::Result<f64> {
    let client = reqwest::blocking::Client::builder().no_proxy().build();
    let client = client.map_err(io::Error::other)?;
    let mut sum = 0.0;
    for daemon in &fleet.daemons {
        let response =
            client.get(daemon.url("/metrics")).send().and_then(|response| response.text());
        let text = response.map_err(io::Error::other)?;
        let control = text.lines().filter(|line| {
            line.starts_with("apricotrun_gossip_bytes_sent_total")
                || line.starts_with("apricotrun_peer_bytes_sent_total{kind=\"control\"}")
        });
        sum += control.filter_map(|line| line.split(' ').nth(1)?.parse::<f64>().ok()).sum::<f64>();
    }
    Ok(sum)
}

/// Returns the CPU time that all daemons together have used so far, in seconds.
fn cpu_seconds(fleet: &Fleet) -> io::Result<f64> {
    let pids = fleet.daemons.iter().filter_map(|daemon| daemon.pid());
    let seconds = pids.map(|pid| process_cpu_seconds(pid).ok_or(io::ErrorKind::NotFound));
    let sum: Result<f64, _> = seconds.sum();
    Ok(sum?)
}

/// Returns the resident memory of all daemons together, in bytes.
fn memory_bytes(fleet: &Fleet) -> io::Result<f64> {
    let mut kilobytes = 0.0;
    for pid in fleet.daemons.iter().filter_map(|daemon| daemon.pid()) {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kilobytes += value.unwrap_or(0.0);
    }
    Ok(kilobytes * 1024.0)
}
