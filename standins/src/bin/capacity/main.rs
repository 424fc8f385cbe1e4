//! Measures the slopes behind docs/CAPACITY.md and writes them to docs/measurements.
//!
//! `cargo run --release -p standins --bin capacity` measures all; with `--parts` only some.

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
static ALLOCATED: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// A part of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// The sizes of messages.
    Bytes,
    /// Real daemons on loopback.
    Fleets,
    /// The membership in one process.
    Members,
    /// The memory of tables.
    Memory,
    /// The time of decisions.
    Times,
}

/// Measures the slopes behind docs/CAPACITY.md.
#[derive(Debug, Parser)]
struct Args {
    /// Only these parts; each writes a file of its own.
    #[arg(long, value_enum, value_delimiter = ',', default_values = ["bytes", "times", "memory", "members", "fleets"])]
    parts: Vec<Part>,
    /// Where the results go.
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
