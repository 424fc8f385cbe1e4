//! Sends open-loop load to daemons, or measures the latency and CPU time that daemons add to those
//! of the engines.

use clap::{Parser, Subcommand};
use standins::engine::EngineConfig;
use standins::fleet::{DESK_KEY, Fleet, FleetOptions, binaries_folder, process_cpu_seconds};
use standins::load::{LoadPlan, LoadTarget, run};
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends open-loop load and prints the results.
#[derive(Debug, Parser)]
struct Args {
    /// The average number of arrivals per second.
    #[arg(long, default_value_t = 200.0, global = true)]
    rate: f64,
    /// The time during which requests arrive, in seconds.
    #[arg(long, default_value_t = 10, global = true)]
    seconds: u64,
    /// The length of each response, in tokens.
    #[arg(long, default_value_t = 20, global = true)]
    answer: u32,
    /// The seed of the arrival times.
    #[arg(long, default_value_t = 7, global = true)]
    seed: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Starts a deployment and compares its latency with that of its engines without a router.
    Overhead {
        /// The file for the results.
        #[arg(long, default_value = "docs/measurements/overhead.txt")]
        file: String,
    },
    /// Starts a deployment and measures its entry daemon's CPU time per request and per token.
    Relay {
        /// The file for the results.
        #[arg(long, default_value = "docs/measurements/relay.txt")]
        file: String,
    },
    /// Sends the load to running daemons.
    Send {
        /// The bearer key of an account.
        #[arg(long)]
        key: String,
        /// The daemons' addresses for callers, used in turn.
        #[arg(required = true)]
        daemons: Vec<SocketAddr>,
    },
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse();
    let plan = LoadPlan {
        output_tokens: args.answer,
        inter_token_target: Duration::from_millis(40),
        duration: Duration::from_secs(args.seconds),
        first_token_target: Duration::from_secs(2),
        prompt_bytes: 400,
        rate: args.rate,
        seed: args.seed,
    };
    let runtime = tokio::runtime::Runtime::new()?;
    match args.command {
        Command::Send { key, daemons } => {
            let target = LoadTarget::Daemons { addresses: daemons, key };
            println!("{}", runtime.block_on(run(&target, &plan)));
            Ok(())
        }
        Command::Overhead { file } => overhead(&runtime, &plan, &file),
        Command::Relay { file } => relay(&runtime, &plan, &file),
    }
}

/// Starts a deployment of one failure domain whose engines have enough slots for any load.
fn start_fleet() -> Result<Fleet, Box<dyn Error>> {
    let mut options = FleetOptions::new(&binaries_folder());
    options.daemons = 2;
    options.decode = 1;
    options.engine = EngineConfig { slots: 1_000, ..EngineConfig::default() };
    Ok(Fleet::start(options)?)
}

/// Sends load with responses of several lengths through one entry daemon, and derives its CPU time
/// per request and per token from the longest and shortest responses.
fn relay(
    runtime: &tokio::runtime::Runtime,
    plan: &LoadPlan,
    file: &str,
) -> Result<(), Box<dyn Error>> {
    const LENGTHS: [u32; 3] = [20, 60, 120];
    let fleet = start_fleet()?;
    let entry = &fleet.daemons[0];
    let target = LoadTarget::Daemons { addresses: vec![entry.http], key: DESK_KEY.to_owned() };
    let mut text = String::new();
    let mut times = Vec::new();
    for output_tokens in LENGTHS {
        let plan = LoadPlan { output_tokens, ..plan.clone() };
        let before = cpu_seconds(entry.pid());
        let report = runtime.block_on(run(&target, &plan));
        let each = 1e6 * (cpu_seconds(entry.pid()) - before) / report.sent as f64;
        text += &format!("{output_tokens} tokens {report} entry_cpu_us_a_request {each:.0}\n");
        times.push(each);
    }
    let tokens = f64::from(LENGTHS[2] - LENGTHS[0]);
    let slope = (times[2] - times[0]) / tokens;
    let intercept = times[0] - slope * f64::from(LENGTHS[0]);
    text += &format!("us_a_token {slope:.1}\nus_a_request {intercept:.0}\n");
    print!("{text}");
    fs::write(file, text)?;
    Ok(())
}

/// Sends the same load directly to the engines and through one daemon, in two rounds, and derives
/// the latency that the daemon adds.
fn overhead(
    runtime: &tokio::runtime::Runtime,
    plan: &LoadPlan,
    file: &str,
) -> Result<(), Box<dyn Error>> {
    let fleet = start_fleet()?;
    let engine = |role: &str| {
        let found = fleet.engines.iter().find(|(name, _)| name.contains(role));
        found.map(|(_, server)| server.address).ok_or("the deployment has no such engine")
    };
    let engines = LoadTarget::Engines { prefill: engine("prefill")?, decode: engine("decode")? };
    let entry = &fleet.daemons[0];
    let key = DESK_KEY.to_owned();
    let daemons = LoadTarget::Daemons { addresses: vec![entry.http], key };
    let mut text = String::new();
    let mut medians = Vec::new();
    for round in 0..2 {
        for (name, target) in [("engines", &engines), ("daemon", &daemons)] {
            let before = cpu_seconds(entry.pid());
            let report = runtime.block_on(run(target, plan));
            let cpu = cpu_seconds(entry.pid()) - before;
            let each = 1e6 * cpu / report.sent as f64;
            text += &format!("round {round} {name:8} {report} entry_cpu_us_a_request {each:.0}\n");
            medians.push((median_ms(&report.first_token), median_ms(&report.inter_token)));
        }
    }
    for round in 0..2 {
        let (engines, daemon) = (medians[round * 2], medians[round * 2 + 1]);
        text += &format!(
            "round {round} added to the first token {:.2} ms, to each token {:.3} ms\n",
            daemon.0 - engines.0,
            daemon.1 - engines.1
        );
    }
    print!("{text}");
    fs::write(file, text)?;
    Ok(())
}

/// Returns the median of a histogram of microseconds, in milliseconds.
fn median_ms(histogram: &hdrhistogram::Histogram<u64>) -> f64 {
    histogram.value_at_quantile(0.5) as f64 / 1_000.0
}

/// Returns the CPU time that a process has used, in seconds; 0 if there is no such process.
fn cpu_seconds(pid: Option<u32>) -> f64 {
    pid.and_then(process_cpu_seconds).unwrap_or(0.0)
}
