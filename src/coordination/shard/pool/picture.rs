//! Places plain calls by their expected completion at upstreams that say how loaded and how fast they
//! are now.
//!
//! Answers this load: a few upstreams on shared machines, each two and a half times slower than usual
//! for some 600 ms now and then; failure domains whose demand swings by half against each other; many
//! hosts that each send a few calls a second and all hear the same news. See
//! docs/design/upstream-picture.md.

use super::{HeldClaim, PoolWorker, WorkerPool};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The time after which a third of a report is left in the picture.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(300);
/// The time after which a third of what another host says of failures is left.
const HEARSAY_DECAY_TIME: Duration = Duration::from_secs(2);
/// The largest failure rate that other hosts can make this one believe.
const MAX_HEARSAY: f64 = 0.6;
/// The age from which a report is not passed on.
const MAX_NEWS_AGE: Duration = Duration::from_secs(2);
/// The largest number of records passed on at a time.
pub const MAX_NEWS: usize = 8;
/// The service time that is assumed before the first call is complete.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(30);
/// How far the random factor of an expected completion lies from one, in both directions.
const JITTER: f64 = 0.2;
/// The longest queue that a report is believed to name, in slots.
const MAX_QUEUE_SLOTS: u32 = 10;
/// The multiple of the service time after which an open call counts as failed: an upstream that hangs
/// sends neither reports nor errors.
const OVERDUE_FACTOR: f64 = 8.0;
/// What a failed call costs, in service times: most callers lose it, or have to send it again.
const FAILURE_COST: f64 = 10.0;

/// What an upstream says of its load in a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The number of requests that run.
    pub running: u32,
    /// How long work takes now.
    pub slowness: SlownessPercent,
    /// The number of requests that run concurrently.
    pub slots: Slots,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
}

/// What a host tells others of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamNews {
    /// The age of the report.
    pub age: Duration,
    /// The failure rate that the host itself has seen, in percent.
    pub failing: u32,
    /// The incarnation that it concerns.
    pub incarnation: Incarnation,
    /// The upstream.
    pub name: UpstreamName,
    /// The newest report that the host knows.
    pub report: LoadReport,
}

/// What is known of an upstream that reports its load.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamPicture {
    /// The failure rate that another host has seen, and when it was heard.
    hearsay: Option<(f64, Instant)>,
    report: LoadReport,
    reported_at: Instant,
    /// The calls that this host has sent since.
    sent: u32,
}

impl UpstreamPicture {
    /// Returns the reported requests in slots of the upstream.
    fn queue(&self) -> f64 {
        let slots = self.report.slots.0.max(1);
        let all = self.report.running.saturating_add(self.report.waiting);
        f64::from(all.min(slots.saturating_mul(MAX_QUEUE_SLOTS))) / f64::from(slots)
    }

    fn weight(&self, now: Instant) -> f64 {
        decay(now, self.reported_at, REPORT_DECAY_TIME)
    }

    fn heard_failures(&self, now: Instant) -> f64 {
        let heard = self.hearsay.map(|(rate, at)| rate * decay(now, at, HEARSAY_DECAY_TIME));
        heard.unwrap_or_default().min(MAX_HEARSAY)
    }

    /// Records that this host has sent a call.
    pub(super) fn record_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }
}

fn decay(now: Instant, at: Instant, time: Duration) -> f64 {
    (-now.saturating_duration_since(at).as_secs_f64() / time.as_secs_f64()).exp()
}

/// The mean of what all upstreams of a shard report, which the picture of a silent one fades to.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanPicture {
    failures: f64,
    queue: f64,
    slowness: f64,
}

impl WorkerPool {
    /// Records what a response of an upstream says of its load. `took` is the time that a complete
    /// call took.
    pub fn record_report(
        &mut self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        report: LoadReport,
        took: Option<Duration>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.spec.incarnation != incarnation {
            return;
        }
        let hearsay = worker.picture.and_then(|picture| picture.hearsay);
        worker.picture = Some(UpstreamPicture { hearsay, report, reported_at: now, sent: 0 });
        // A call that has waited says nothing about the service time.
        if let Some(took) = took.filter(|_| report.waiting == 0) {
            self.service_time.add(took.div_f64(report.slowness.factor()));
        }
    }

    /// Records what another host says of an upstream.
    pub fn record_news(&mut self, now: Instant, news: &UpstreamNews) {
        let Some(worker) = self.workers.get_mut(&news.name) else { return };
        let Some(at) = now.checked_sub(news.age.min(MAX_NEWS_AGE)) else { return };
        if worker.spec.incarnation != news.incarnation || worker.spec.role != UpstreamRole::Plain {
            return;
        }
        let known = worker.picture.filter(|picture| picture.reported_at >= at);
        let mut picture = known.unwrap_or(UpstreamPicture {
            hearsay: worker.picture.and_then(|picture| picture.hearsay),
            report: news.report,
            reported_at: at,
            sent: worker.slots,
        });
        let heard = f64::from(news.failing.min(100)) / 100.0;
        if heard >= picture.heard_failures(now) {
            picture.hearsay = Some((heard, now));
        }
        worker.picture = Some(picture);
    }

    /// Returns what to tell other hosts of the upstreams that report their load, the newest first.
    pub fn news(&self, now: Instant) -> Vec<UpstreamNews> {
        let known = self.workers.values().filter_map(|worker| Some((worker, worker.picture?)));
        let recent = known.filter(|(_, picture)| now < picture.reported_at + MAX_NEWS_AGE);
        let mut news: Vec<_> = recent
            .map(|(worker, picture)| UpstreamNews {
                age: now.saturating_duration_since(picture.reported_at),
                failing: (self.seen_failures(now, worker) * 100.0) as u32,
                incarnation: worker.spec.incarnation,
                name: worker.spec.name.clone(),
                report: picture.report,
            })
            .collect();
        news.sort_by_key(|record| record.age);
        news.truncate(MAX_NEWS);
        news
    }

    /// Returns the rate of failures that this host has seen at an upstream itself; one if a call has been
    /// open there for far longer than a call takes.
    fn seen_failures(&self, now: Instant, worker: &PoolWorker) -> f64 {
        let slowness = worker.picture.map_or(1.0, |picture| picture.report.slowness.factor());
        let service = self.service_time.seconds_or(DEFAULT_SERVICE_TIME) * slowness.max(1.0);
        let is_overdue = |held: &HeldClaim| {
            let open = now.saturating_duration_since(held.since).as_secs_f64();
            held.claim.runner == worker.spec.name && open > service * OVERDUE_FACTOR
        };
        match worker.slots > 0 && self.claims.values().any(is_overdue) {
            true => 1.0,
            false => worker.health.failure_rate(now),
        }
    }

    /// Returns the mean picture of the upstreams that report their load; `None` if none does, or if
    /// no cost of leaving the failure domain is configured.
    pub(super) fn mean_picture(&self, now: Instant) -> Option<MeanPicture> {
        self.remote_cost?;
        let pictures = self.workers.values().filter_map(|worker| Some((worker, worker.picture?)));
        let mut sum = (0.0, 0.0, 0.0, 0.0);
        for (worker, picture) in pictures {
            let failures = self.seen_failures(now, worker).max(picture.heard_failures(now));
            let weight = picture.weight(now);
            sum.0 += 1.0;
            sum.1 += failures;
            sum.2 += weight * picture.queue();
            sum.3 += 1.0 + weight * (picture.report.slowness.factor() - 1.0);
        }
        let (count, failures, queue, slowness) = sum;
        (count > 0.0).then(|| MeanPicture {
            failures: failures / count,
            queue: queue / count,
            slowness: slowness / count,
        })
    }

    /// Returns when a call is expected to be complete at an upstream, in microseconds.
    pub(super) fn expected_completion(
        &self,
        now: Instant,
        name: &UpstreamName,
        attempt: &AttemptId,
        mean: &MeanPicture,
    ) -> u64 {
        let Some(worker) = self.workers.get(name) else { return u64::MAX };
        let picture = worker.picture;
        let weight = picture.map_or(0.0, |picture| picture.weight(now));
        let fade = |reported: f64, mean: f64| weight * reported + (1.0 - weight) * mean;
        let queue = fade(picture.map_or(0.0, |picture| picture.queue()), mean.queue);
        let slowness = fade(picture.map_or(1.0, |p| p.report.slowness.factor()), mean.slowness);
        let slots = f64::from(worker.spec.slots.0.max(1));
        let sent = f64::from(picture.map_or(worker.slots, |picture| picture.sent));
        let service = self.service_time.seconds_or(DEFAULT_SERVICE_TIME) * slowness;
        let ahead = (queue * slots + sent + 1.0 - slots).max(0.0);
        let heard = picture.map_or(0.0, |picture| picture.heard_failures(now));
        let failures = self.seen_failures(now, worker).max(heard) - mean.failures;
        let is_remote = self.local_domain.as_ref().is_some_and(|own| *own != worker.spec.domain);
        let leaving = self.remote_cost.filter(|_| is_remote).unwrap_or_default().as_secs_f64();
        let wait = (ahead / slots + 1.0) * service * jitter(attempt, name);
        let completion = wait + failures.max(0.0) * FAILURE_COST * service + leaving;
        (completion * 1e6) as u64
    }
}

/// Returns a factor around one that depends on the attempt and the upstream only, so that hosts with the
/// same news do not all choose the same upstream.
fn jitter(attempt: &AttemptId, name: &UpstreamName) -> f64 {
    let host = attempt.request.entry.host.as_str().as_bytes();
    let sequence = attempt.request.sequence.to_le_bytes();
    let bits = Fingerprint::of(&[host, &sequence, name.as_str().as_bytes()]).low_bits();
    1.0 - JITTER + 2.0 * JITTER * (bits as f64 / u64::MAX as f64)
}
