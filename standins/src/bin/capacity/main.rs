//! Runs the measurements behind docs/CAPACITY.md and writes their results to docs/measurements.
//!
//! `cargo run --release -p standins --bin capacity` runs all of them, `--parts` selects some.

use clap::{Parser, ValueEnum};
use std::fs;
use std::io;
use std::path::PathBuf;

mod bytes;
mod fleets;
mod members;
mod memory;
mod model;
mod plot;
mod slope;
mod times;

#[global_allocator]
static ALLOCATOR: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// A measurement that can be run on its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// The encoded sizes of messages.
    Bytes,
    /// The traffic, CPU time and memory of real daemons on loopback.
    Fleets,
    /// The membership's traffic and failure detection in simulated networks.
    Members,
    /// The heap memory of a daemon's tables.
    Memory,
    /// The CPU time of decisions, messages and configuration builds.
    Times,
}

/// Runs the measurements behind docs/CAPACITY.md.
#[derive(Debug, Parser)]
struct Args {
    /// The measurements to run, each of which writes a file of its own.
    #[arg(long, value_enum, value_delimiter = ',', default_values = ["bytes", "times", "memory", "members", "fleets"])]
    parts: Vec<Part>,
    /// The folder for the results, which also provides those of measurements that are not run.
    #[arg(long, default_value = "docs/measurements")]
    folder: PathBuf,
}

fn main() -> io::Result<()> {
    let args = Args::parse();
    fs::create_dir_all(&args.folder)?;
    for part in &args.parts {
        let (name, text) = match part {
            Part::Bytes => ("bytes", bytes::measure()),
            Part::Fleets => ("fleets", fleets::measure(&args.folder)?),
            Part::Members => ("members", members::measure(&args.folder)),
            Part::Memory => ("memory", memory::measure()),
            Part::Times => ("times", times::measure(&args.folder)),
        };
        println!("{text}");
        fs::write(args.folder.join(format!("{name}.txt")), text)?;
    }
    let roles = model::roles(&args.folder)?;
    println!("{roles}");
    fs::write(args.folder.join("roles.txt"), roles)
}
