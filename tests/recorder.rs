//! Tests of the metrics recorder.

use apricotrun::transport::gateway::probes::{drain_samples, install_recorder};
use metrics::histogram;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(20);
const ROUNDS: usize = 5;
const SAMPLES: usize = 1_000_000;
/// A sample takes 16 bytes until it is drained.
const MAX_GROWTH: usize = SAMPLES * 16;

/// Returns the resident memory of this process, in bytes.
fn memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    size.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
}

/// Guards against a host that nobody scrapes: it kept two samples for each stream without end.
#[tokio::test]
async fn samples_that_nobody_reads_take_no_memory() {
    let handle = install_recorder().expect("the first recorder of this process");
    tokio::spawn(drain_samples(handle.clone(), PERIOD));
    let mut after_first = 0;
    for round in 0..ROUNDS {
        for sample in 0..SAMPLES {
            histogram!("test_seconds").record(sample as f64 / SAMPLES as f64);
        }
        tokio::time::sleep(PERIOD * 10).await;
        if round == 0 {
            after_first = memory();
        }
    }
    let growth = memory().saturating_sub(after_first);
    assert!(growth < MAX_GROWTH, "{growth} bytes in {} rounds", ROUNDS - 1);
    let count = format!("test_seconds_count {}", ROUNDS * SAMPLES);
    assert!(handle.render().contains(&count), "no sample is lost");
}
