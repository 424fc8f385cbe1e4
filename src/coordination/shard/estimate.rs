//! Estimates of a shard's throughput and of request sizes, from recent requests.

use crate::coordination::roles::RequestShape;
use crate::coordination::shard::lifetimes::LifeTable;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The minimum number of requests from which their average demand is derived. Their standard
/// deviation is about half of their mean, so 96 requests give the mean with a standard error of
/// about 5 percent.
const MIN_SHAPE_REQUESTS: u32 = 96;
/// The weight of the newest sample in a moving average of durations.
const DURATION_WEIGHT: f64 = 0.05;
/// The weight of the newest sample in a moving average of lengths, which drift slowly with the
/// callers' usage.
const LENGTH_WEIGHT: f64 = 0.005;

/// An exponential moving average of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanDuration {
    seconds: Option<f64>,
}

impl MeanDuration {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = Some(match self.seconds {
            None => sample,
            Some(mean) => mean + DURATION_WEIGHT * (sample - mean),
        });
    }

    /// Returns the average in seconds, or `default` before the first sample.
    pub fn seconds_or(&self, default: Duration) -> f64 {
        self.seconds.unwrap_or(default.as_secs_f64()).max(0.000_1)
    }
}

/// An exponential moving average of lengths, in tokens or KV-cache blocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLength {
    samples: u32,
    tokens: Option<f64>,
}

impl MeanLength {
    /// Adds a sample.
    pub fn add(&mut self, sample: Tokens) {
        let sample = f64::from(sample.0);
        let mean = self.tokens.unwrap_or(sample);
        self.samples = self.samples.saturating_add(1);
        // The first samples get equal weights, since a single one may be far from typical.
        let weight = LENGTH_WEIGHT.max(1.0 / f64::from(self.samples));
        self.tokens = Some(mean + weight * (sample - mean));
    }

    fn rounded(&self) -> Tokens {
        Tokens(self.tokens.unwrap_or_default().round() as u32)
    }
}

/// The average output length, with outputs counted in the order in which their requests were
/// granted. Short outputs finish first, so an average of the finished ones is too low whenever many
/// requests have started recently.
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    mean: MeanLength,
    /// Granted requests whose outputs are not counted yet, with the length of each that is
    /// complete.
    open: BTreeMap<AttemptId, Option<Tokens>>,
    /// The same requests in the order of their grants.
    order: VecDeque<AttemptId>,
}

impl OutputLengths {
    /// Records that a request was granted.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.open.insert(attempt.clone(), None);
        self.order.push_back(attempt);
    }

    /// Records the length of a complete output. Ignored if the grant was not recorded.
    pub fn finish(&mut self, attempt: &AttemptId, length: Tokens) {
        if let Some(open) = self.open.get_mut(attempt) {
            *open = Some(length);
        }
    }

    /// Counts the outputs of all requests granted before the first one that still runs.
    pub fn add_ended_in_order(&mut self, is_running: impl Fn(&AttemptId) -> bool) {
        while let Some(first) = self.order.front().filter(|first| !is_running(first)) {
            if let Some(length) = self.open.remove(first).flatten() {
                self.mean.add(length);
            }
            self.order.pop_front();
        }
    }
}

/// Statistics of a service's requests, from one or more of its shards.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestStats {
    /// The average output length that callers expect.
    pub output_hint: Tokens,
    /// The average prompt length.
    pub prompt: Tokens,
    /// The number of granted requests.
    pub requests: u32,
    /// The times for which requests hold a decode slot.
    pub runs: LifeTable,
}

impl RequestStats {
    /// Returns the combined statistics of two shards.
    pub fn merged_with(mut self, other: &Self) -> Self {
        let requests = self.requests.saturating_add(other.requests);
        let mean = |own: Tokens, others: Tokens| {
            let own = f64::from(own.0) * f64::from(self.requests);
            let others = f64::from(others.0) * f64::from(other.requests);
            Tokens(((own + others) / f64::from(requests.max(1))).round() as u32)
        };
        self.output_hint = mean(self.output_hint, other.output_hint);
        self.prompt = mean(self.prompt, other.prompt);
        self.requests = requests;
        self.runs.merge(&other.runs);
        self
    }

    /// Returns the average demand of a request, or `None` until enough have been seen.
    pub fn shape(
        &self,
        template: &ServiceTemplate,
        slots: UsableSlots,
        decode_workers: usize,
    ) -> Option<RequestShape> {
        if self.requests < MIN_SHAPE_REQUESTS {
            return None;
        }
        let run = self.runs.mean()?.as_secs_f64();
        // The output grows linearly from zero, so it holds half of its final memory on average.
        let run_blocks = Tokens(self.prompt.0.saturating_add(self.output_hint.0 / 2))
            .kv_blocks(template.block_tokens);
        let parallel = slots.parallel_runs(f64::from(run_blocks.0)) / decode_workers.max(1) as f64;
        let prefill = template.prefill_tokens_per_second.time_for(self.prompt).as_secs_f64();
        Some(RequestShape { parallel, prefill, run })
    }
}

/// Moving averages from which a shard estimates its throughput.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    /// The lengths of complete outputs.
    pub output: OutputLengths,
    /// The time for which complete attempts held their decode or plain slot.
    pub hold: MeanDuration,
    /// The output lengths that callers expect.
    pub output_hint: MeanLength,
    /// The memory that a run holds, averaged over its duration, in KV-cache blocks.
    pub run_blocks: MeanLength,
    /// The lengths of prompts.
    pub prompt: MeanLength,
    /// The time for which attempts hold their prefill slot.
    pub prefill: MeanDuration,
    /// The times for which attempts hold their decode slot, including attempts that still run or
    /// were stopped.
    pub runs: LifeTable,
}

/// The slots and memory of the upstreams that take requests now.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsableSlots {
    /// The slots of prefill workers.
    pub prefill: u32,
    /// The slots of decode workers or plain upstreams.
    pub run: u32,
    /// The KV-cache blocks of the decode workers, or `None` if memory is not limited.
    pub kv_blocks: Option<u64>,
}

impl UsableSlots {
    /// Returns how many requests run in parallel when slots or memory are exhausted, if each holds
    /// `run_blocks` KV-cache blocks on average.
    fn parallel_runs(&self, run_blocks: f64) -> f64 {
        let all = f64::from(self.run);
        self.kv_blocks.map_or(all, |kv_blocks| all.min(kv_blocks as f64 / run_blocks.max(1.0)))
    }
}

impl LoadEstimate {
    /// Returns the expected output length, in tokens, of a request whose caller expects `hint`.
    /// Callers' values are good for medium lengths and far off for very short and very long ones,
    /// so the result is the geometric mean of `hint` and the average length; geometric, since the
    /// errors are factors.
    pub fn expected_output(&self, hint: Tokens) -> Tokens {
        match self.output.mean.tokens {
            Some(mean) => Tokens((f64::from(hint.0.max(1)) * mean).sqrt() as u32),
            None => hint,
        }
    }

    /// Returns the average prompt and the expected output of a request.
    pub fn typical_request(&self) -> (Tokens, Tokens) {
        (self.prompt.rounded(), self.expected_output(self.output_hint.rounded()))
    }

    /// Returns this shard's statistics. `open` gives the durations so far of the runs in progress.
    pub fn request_stats(&self, open: impl Iterator<Item = Duration>) -> RequestStats {
        let mut runs = self.runs.clone();
        open.for_each(|time| runs.add_open(time));
        RequestStats {
            output_hint: self.output_hint.rounded(),
            prompt: self.prompt.rounded(),
            requests: self.output_hint.samples,
            runs,
        }
    }

    /// Returns how many requests per second the shard can start under load. `hold` and `prefill`
    /// are used until attempts have been measured.
    pub fn rate(&self, slots: UsableSlots, hold: Duration, prefill: Duration) -> f64 {
        let parallel = self
            .run_blocks
            .tokens
            .map_or(f64::from(slots.run), |run_blocks| slots.parallel_runs(run_blocks));
        let run = parallel / self.hold.seconds_or(hold);
        if slots.prefill == 0 {
            return run;
        }
        run.min(f64::from(slots.prefill) / self.prefill.seconds_or(prefill))
    }
}
