//! Applies the limits that upstreams name, and tells the other daemons of them.

use crate::coordination::messages::{MemberState, PeerMessage};
use crate::coordination::ownership::{limit_key, rank_daemons};
use crate::coordination::request_limits::LimitNews;
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use metrics::gauge;
use std::collections::BTreeMap;
use std::sync::Arc;

impl DaemonNode {
    /// Records what a response of an upstream says of its limit. `sent` is when the request was
    /// sent.
    pub fn record_limit(
        self: &Arc<Self>,
        sent: Instant,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
    ) {
        let now = self.clock.now();
        let news = lock(&self.limits).record(now, sent, upstream, incarnation, rate);
        if news == LimitNews::Announce {
            log_limit(upstream, rate);
            self.divide_limits();
            let upstream = upstream.clone();
            let message = PeerMessage::UpstreamLimit { incarnation, rate, upstream };
            self.broadcast(None, &message);
        }
    }

    /// Records a limit, or its end, that another daemon has announced.
    pub fn learn_limit(
        &self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
    ) {
        let now = self.clock.now();
        if lock(&self.limits).learn(now, upstream, incarnation, rate) {
            log_limit(upstream, rate);
        }
        self.divide_limits();
    }

    /// Computes this daemon's shares of all limits from the members that it knows. Those that it has not
    /// met lie between them in the order by rank.
    pub fn divide_limits(&self) {
        let names = lock(&self.limits).names();
        gauge!("apricotrun_limited_upstreams").set(names.len() as f64);
        if names.is_empty() {
            return;
        }
        let now = self.clock.now();
        let (daemons, unmet) = {
            let members = lock(&self.members);
            let unmet = members.serving_count(now) - members.serving(now).count();
            let stay = members.serving(now).filter(|record| record.state != MemberState::Leaving);
            (stay.map(|record| record.daemon.clone()).collect::<Vec<_>>(), unmet)
        };
        let count = daemons.len() + unmet;
        let rank = |name: &UpstreamName| {
            let ranked = rank_daemons(&limit_key(name), daemons.iter());
            let position = ranked.iter().position(|daemon| **daemon == self.me)?;
            Some((position + 1) * count / daemons.len() - 1)
        };
        let ranks: BTreeMap<_, _> = names.iter().map(|name| (name.clone(), rank(name))).collect();
        lock(&self.limits).divide(now, count, |name| ranks.get(name).copied().flatten());
    }
}

fn log_limit(upstream: &UpstreamName, rate: Option<RequestRate>) {
    match rate {
        Some(rate) => log::info!(
            upstream:% = upstream, per_second = rate.per_second();
            "upstream: takes a limited number of requests"
        ),
        None => log::info!(upstream:% = upstream; "upstream: names no limit any more"),
    }
}
