//! The traffic of the two users, and what happens to their engines.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// One user's service and traffic. Times are in seconds.
#[derive(Clone, Debug)]
pub struct TrafficMix {
    /// The longest time between tokens on average.
    pub between_target: f64,
    /// How long a request may take.
    pub deadline: f64,
    /// How many decode workers there are.
    pub decode_workers: usize,
    /// How long an unfetched prefill result is kept.
    pub eviction: f64,
    /// The target for the first token.
    pub first_target: f64,
    /// The speed of the link into one decode worker, in tokens a second.
    pub link_rate: f64,
    /// The memory of a decode worker, in pieces.
    pub pieces: u32,
    /// The mean answer, in tokens.
    pub mean_answer: f64,
    /// The mean prompt, in tokens.
    pub mean_prompt: f64,
    /// The user's name.
    pub name: &'static str,
    /// The speed of a prefill worker, in tokens a second.
    pub prefill_rate: f64,
    /// How many prefill workers there are.
    pub prefill_workers: usize,
    /// How many requests a decode worker runs at the same time.
    pub slots: usize,
}

/// The time between two tokens of a decode worker that runs one request.
const TOKEN_TIME: f64 = 0.020;
/// What each further request adds to it.
const TOKEN_TIME_EACH: f64 = 0.000_5;

impl TrafficMix {
    /// Cornice: short notes, staff that waits at a desk.
    pub fn cornice() -> Self {
        Self {
            between_target: 0.034,
            deadline: 60.0,
            decode_workers: 9,
            eviction: 0.8,
            first_target: 2.0,
            link_rate: 40_000.0,
            mean_answer: 450.0,
            mean_prompt: 1_600.0,
            name: "cornice",
            pieces: 50,
            prefill_rate: 4_000.0,
            prefill_workers: 5,
            slots: 20,
        }
    }

    /// Tariq: long logs, paid work.
    pub fn tariq() -> Self {
        Self {
            between_target: 0.034,
            deadline: 120.0,
            decode_workers: 6,
            eviction: 0.8,
            first_target: 5.0,
            link_rate: 40_000.0,
            mean_answer: 900.0,
            mean_prompt: 4_500.0,
            name: "tariq",
            pieces: 80,
            prefill_rate: 6_000.0,
            prefill_workers: 3,
            slots: 20,
        }
    }

    /// Returns the time between two tokens while a worker runs `running` requests.
    pub fn token_time(&self, running: usize) -> f64 {
        TOKEN_TIME + TOKEN_TIME_EACH * running.saturating_sub(1) as f64
    }

    /// Returns how many requests a second the engines can serve.
    pub fn capacity(&self) -> f64 {
        let prefill = self.prefill_workers as f64 * self.prefill_rate / self.mean_prompt;
        let hold = self.mean_answer * self.token_time(self.slots);
        let decode = (self.decode_workers * self.slots) as f64 / hold;
        prefill.min(decode)
    }
}

/// What is done to the engines and by the accounts.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Whether one decode worker is lost for a time and the link into another stalls.
    pub failures: bool,
    /// Whether the first account sends as much as this many times the capacity, besides.
    pub flood: f64,
    /// Whether refused callers come back at the time they are given.
    pub follow: bool,
    /// The arrivals as a part of the capacity.
    pub load: f64,
    /// The seed of arrivals and sizes.
    pub seed: u64,
}

impl Scenario {
    /// Returns a scenario without failures at a load.
    pub fn at(load: f64) -> Self {
        Self { failures: false, flood: 0.0, follow: false, load, seed: 7 }
    }
}

/// How long arrivals last.
pub const DURATION: f64 = 150.0;
/// Arrivals before this moment are served but not counted.
pub const WARM_UP: f64 = 30.0;
/// When the decode worker is lost, and when it is back.
pub const LOST: std::ops::Range<f64> = 60.0..90.0;
/// When the link stalls, and when it moves again.
pub const STALLED: std::ops::Range<f64> = 70.0..100.0;
/// How many accounts share the service.
pub const ACCOUNTS: usize = 4;

/// One request that a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Whose request it is.
    pub account: usize,
    /// The answer's length, in tokens.
    pub answer: u32,
    /// When it arrives.
    pub at: f64,
    /// The prompt's length, in tokens.
    pub prompt: u32,
}

/// Returns the arrivals of a scenario in order.
pub fn arrivals(mix: &TrafficMix, scenario: &Scenario) -> Vec<Arrival> {
    let mut all = Vec::new();
    for account in 0..ACCOUNTS {
        let rate = scenario.load * mix.capacity() / ACCOUNTS as f64;
        all.extend(stream(mix, scenario.seed + account as u64, account, rate));
    }
    let flood = scenario.flood * mix.capacity();
    all.extend(stream(mix, scenario.seed + 100, 0, flood));
    all.sort_by(|left, right| left.at.total_cmp(&right.at));
    all
}

fn stream(mix: &TrafficMix, seed: u64, account: usize, rate: f64) -> Vec<Arrival> {
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
        // Sizes lie evenly between half and one and a half of their mean.
        let mut size = |mean: f64| (mean * rng.random_range(0.5..1.5)) as u32;
        let (prompt, answer) = (size(mix.mean_prompt), size(mix.mean_answer));
        arrivals.push(Arrival { account, answer, at, prompt });
    }
}
