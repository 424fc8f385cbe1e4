//! The traffic mixes of two users, and the scenarios that the routers are compared on.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A user's engines, latency targets and request sizes. Times are in seconds.
#[derive(Clone, Debug)]
pub struct TrafficMix {
    /// The target for the average time between two tokens of a response.
    pub inter_token_target: f64,
    /// The time from arrival within which a request must complete.
    pub deadline: f64,
    /// The number of decode workers.
    pub decode_workers: usize,
    /// The time after which a prefill result is evicted if no decode worker has fetched it.
    pub eviction: f64,
    /// The target for the time to first token.
    pub first_token_target: f64,
    /// The transfer rate of the link into one decode worker, in tokens per second.
    pub link_rate: f64,
    /// The size of a decode worker's KV cache, in KV-cache blocks.
    pub kv_blocks: u32,
    /// The mean output length, in tokens.
    pub mean_output: f64,
    /// The mean prompt length, in tokens.
    pub mean_prompt: f64,
    /// The user's name, which the benchmark prints.
    pub name: &'static str,
    /// The rate of one prefill worker, in tokens per second.
    pub prefill_rate: f64,
    /// The number of prefill workers, each of which computes one prompt at a time.
    pub prefill_workers: usize,
    /// The number of requests that a decode worker can run concurrently.
    pub slots: usize,
}

/// The time between two tokens on a decode worker that runs one request, in seconds.
const TOKEN_TIME: f64 = 0.020;
/// The increase of the time between two tokens per additional request, in seconds.
const TOKEN_TIME_PER_EXTRA_REQUEST: f64 = 0.000_5;

impl TrafficMix {
    /// Returns the mix of the user Cornice: short notes, for which staff wait at a desk.
    pub fn cornice() -> Self {
        Self {
            inter_token_target: 0.034,
            deadline: 60.0,
            decode_workers: 9,
            eviction: 0.8,
            first_token_target: 2.0,
            link_rate: 40_000.0,
            mean_output: 450.0,
            mean_prompt: 1_600.0,
            name: "cornice",
            kv_blocks: 50,
            prefill_rate: 4_000.0,
            prefill_workers: 5,
            slots: 20,
        }
    }

    /// Returns the mix of the user Tariq: long logs, processed as paid work.
    pub fn tariq() -> Self {
        Self {
            inter_token_target: 0.034,
            deadline: 120.0,
            decode_workers: 6,
            eviction: 0.8,
            first_token_target: 5.0,
            link_rate: 40_000.0,
            mean_output: 900.0,
            mean_prompt: 4_500.0,
            name: "tariq",
            kv_blocks: 80,
            prefill_rate: 6_000.0,
            prefill_workers: 3,
            slots: 20,
        }
    }

    /// Returns the time between two tokens on a decode worker that runs `running` requests.
    pub fn token_time(&self, running: usize) -> f64 {
        TOKEN_TIME + TOKEN_TIME_PER_EXTRA_REQUEST * running.saturating_sub(1) as f64
    }

    /// Returns how many requests per second the engines can serve, as limited by prefill or decode.
    pub fn capacity(&self) -> f64 {
        let prefill = self.prefill_workers as f64 * self.prefill_rate / self.mean_prompt;
        let slot_time = self.mean_output * self.token_time(self.slots);
        let decode = (self.decode_workers * self.slots) as f64 / slot_time;
        prefill.min(decode)
    }
}

/// The load on a router and the failures of its engines.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Whether one decode worker fails for a time and the link into another stalls.
    pub failures: bool,
    /// Additional arrivals of the first account, as a multiple of the capacity.
    pub flood: f64,
    /// Whether refused callers retry once, at the time given with the refusal.
    pub honor_retry_after: bool,
    /// The arrivals of all accounts without the flood, as a multiple of the capacity.
    pub load: f64,
    /// The seed of the arrival times and request sizes.
    pub seed: u64,
}

impl Scenario {
    /// Returns a scenario without failures, flood or retries.
    pub fn at(load: f64) -> Self {
        Self { failures: false, flood: 0.0, honor_retry_after: false, load, seed: 7 }
    }
}

/// The time during which requests arrive, in seconds.
pub const DURATION: f64 = 150.0;
/// The time before which arrivals are served but not counted, in seconds.
pub const WARM_UP: f64 = 30.0;
/// The outage of the failing decode worker, in seconds.
pub const WORKER_OUTAGE: std::ops::Range<f64> = 60.0..90.0;
/// The stall of the link into another decode worker, in seconds.
pub const LINK_STALL: std::ops::Range<f64> = 70.0..100.0;
/// The number of accounts that share the service equally.
pub const ACCOUNTS: usize = 4;

/// The arrival of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The index of the account that sends the request.
    pub account: usize,
    /// The output length, in tokens.
    pub output: u32,
    /// The time of arrival, in seconds.
    pub at: f64,
    /// The prompt length, in tokens.
    pub prompt: u32,
}

/// Returns the arrivals of a scenario in order of time.
pub fn arrivals(mix: &TrafficMix, scenario: &Scenario) -> Vec<Arrival> {
    let mut all = Vec::new();
    for account in 0..ACCOUNTS {
        let rate = scenario.load * mix.capacity() / ACCOUNTS as f64;
        all.extend(arrivals_of(mix, scenario.seed + account as u64, account, rate));
    }
    let flood = scenario.flood * mix.capacity();
    all.extend(arrivals_of(mix, scenario.seed + 100, 0, flood));
    all.sort_by(|left, right| left.at.total_cmp(&right.at));
    all
}

/// Returns the Poisson arrivals of one account at a rate in requests per second.
fn arrivals_of(mix: &TrafficMix, seed: u64, account: usize, rate: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    if rate <= 0.0 {
        return arrivals;
    }
    loop {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        if at >= DURATION {
            return arrivals;
        }
        // Sizes are uniformly distributed between 0.5 and 1.5 times their mean.
        let mut size = |mean: f64| (mean * rng.random_range(0.5..1.5)) as u32;
        let (prompt, output) = (size(mix.mean_prompt), size(mix.mean_output));
        arrivals.push(Arrival { account, output, at, prompt });
    }
}
