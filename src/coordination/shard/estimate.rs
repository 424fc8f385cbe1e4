//! Estimates how fast a shard works, from what finished lately.

use crate::coordination::roles::RequestShape;
use crate::coordination::shard::lifetimes::LifeTable;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How many requests must have been seen before their shape counts. They vary by half of their mean,
/// which is known to a twentieth then.
const MIN_SHAPE_REQUESTS: u32 = 96;
/// The weight of the newest sample in a moving mean of durations.
const DURATION_WEIGHT: f64 = 0.05;
/// The weight of the newest sample in a moving mean of lengths, which change with the callers' habits.
const LENGTH_WEIGHT: f64 = 0.005;

/// A moving mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanDuration {
    seconds: Option<f64>,
}

impl MeanDuration {
    /// Takes a sample in.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = Some(match self.seconds {
            None => sample,
            Some(mean) => mean + DURATION_WEIGHT * (sample - mean),
        });
    }

    /// Returns the mean in seconds, or `default` before the first sample.
    pub fn seconds_or(&self, default: Duration) -> f64 {
        self.seconds.unwrap_or(default.as_secs_f64()).max(0.000_1)
    }
}

/// A moving mean of lengths in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLength {
    samples: u32,
    tokens: Option<f64>,
}

impl MeanLength {
    /// Takes a sample in.
    pub fn add(&mut self, sample: Tokens) {
        let sample = f64::from(sample.0);
        let mean = self.tokens.unwrap_or(sample);
        self.samples = self.samples.saturating_add(1);
        // The first samples count alike; none of them is known to be typical.
        let weight = LENGTH_WEIGHT.max(1.0 / f64::from(self.samples));
        self.tokens = Some(mean + weight * (sample - mean));
    }

    fn rounded(&self) -> Tokens {
        Tokens(self.tokens.unwrap_or_default().round() as u32)
    }
}

/// How long answers get, taken in the order in which their requests were granted. Short answers
/// finish first: a mean of those that have finished is too low whenever many began lately.
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    mean: MeanLength,
    /// Requests whose answers have not been taken in, with the lengths of those that are whole.
    open: BTreeMap<AttemptId, Option<Tokens>>,
    /// The same requests in the order of their grants.
    order: VecDeque<AttemptId>,
}

impl OutputLengths {
    /// Notes that a request was granted.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.open.insert(attempt.clone(), None);
        self.order.push_back(attempt);
    }

    /// Notes the length of a whole answer. One whose grant was not seen does not count.
    pub fn finish(&mut self, attempt: &AttemptId, length: Tokens) {
        if let Some(open) = self.open.get_mut(attempt) {
            *open = Some(length);
        }
    }

    /// Takes in the answers of the requests before the first that still runs.
    pub fn add_ended_in_order(&mut self, runs: impl Fn(&AttemptId) -> bool) {
        while let Some(first) = self.order.front().filter(|first| !runs(first)) {
            if let Some(length) = self.open.remove(first).flatten() {
                self.mean.add(length);
            }
            self.order.pop_front();
        }
    }
}

/// What one or more shards of a service have seen of its requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestSample {
    /// How long callers guess that answers get, in the mean.
    pub output_hint: Tokens,
    /// How long prompts are, in the mean.
    pub prompt: Tokens,
    /// How many requests were granted.
    pub requests: u32,
    /// How long requests hold a decode worker.
    pub runs: LifeTable,
}

impl RequestSample {
    /// Returns the sample of this shard and another one together.
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

    /// Returns what the requests need in the mean, once enough have been seen.
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
        // An answer grows evenly from nothing, so half of it in the mean.
        let run_blocks = Tokens(self.prompt.0.saturating_add(self.output_hint.0 / 2))
            .kv_blocks(template.block_tokens);
        let parallel = slots.parallel_runs(f64::from(run_blocks.0)) / decode_workers.max(1) as f64;
        let prefill = template.prefill_tokens_per_second.time_for(self.prompt).as_secs_f64();
        Some(RequestShape { parallel, prefill, run })
    }
}

/// What is known of a shard's speed.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    /// How long answers get, in tokens.
    pub output: OutputLengths,
    /// How long attempts hold their decode or plain slot.
    pub hold: MeanDuration,
    /// How long their callers guess that answers get, in tokens.
    pub output_hint: MeanLength,
    /// The kv_blocks of memory that a run holds in the mean over its time.
    pub run_blocks: MeanLength,
    /// How long prompts are, in tokens.
    pub prompt: MeanLength,
    /// How long attempts hold their prefill slot.
    pub prefill: MeanDuration,
    /// How long attempts hold their decode slot.
    pub runs: LifeTable,
}

/// The slots that a shard can use now.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsableSlots {
    /// Of prefill workers.
    pub prefill: u32,
    /// Of decode workers or plain upstreams.
    pub run: u32,
    /// The kv_blocks of memory of the decode workers; nothing when they are not limited.
    pub kv_blocks: Option<u64>,
}

impl UsableSlots {
    /// Returns how many requests run at the same time when slots or memory are full, each of which
    /// holds `need` kv_blocks in the mean.
    fn parallel_runs(&self, run_blocks: f64) -> f64 {
        let all = f64::from(self.run);
        self.kv_blocks.map_or(all, |kv_blocks| all.min(kv_blocks as f64 / run_blocks.max(1.0)))
    }
}

impl LoadEstimate {
    /// Returns how long an answer is likely to get whose caller guesses `hint`. Guesses are right
    /// in the middle and far off at both ends, so the truth lies between guess and mean; on the scale
    /// of ratios, since guesses are off by factors.
    pub fn expected_output(&self, hint: Tokens) -> Tokens {
        match self.output.mean.tokens {
            Some(mean) => Tokens((f64::from(hint.0.max(1)) * mean).sqrt() as u32),
            None => hint,
        }
    }

    /// Returns what this shard has seen of requests, with the times that those on their way have taken.
    pub fn sample(&self, open: impl Iterator<Item = Duration>) -> RequestSample {
        let mut runs = self.runs.clone();
        open.for_each(|time| runs.add_open(time));
        RequestSample {
            output_hint: self.output_hint.rounded(),
            prompt: self.prompt.rounded(),
            requests: self.output_hint.samples,
            runs,
        }
    }

    /// Returns how many requests a second the shard can start when it is busy.
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
