//! Passes a caller's request on to another host while this one reaches no upstream.

use crate::coordination::flow::UpstreamFailure;
use crate::coordination::messages::{MemberRecord, MemberState};
use crate::prelude::*;
use crate::transport::gateway::channels::UpstreamExchange;
use crate::transport::gateway::forward::InboundRequest;
use crate::transport::gateway::reply::{ResponseBody, refusal_response};
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use crate::transport::runs::SendGate;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::Full;
use metrics::counter;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::time::timeout;

/// Marks a request that another host has passed on, which is not passed on again, and the refusal
/// of a host that cannot take it. In a request it holds the revision of the configuration by which the
/// other host has accepted it.
pub const RELAYED: HeaderName = HeaderName::from_static("apricotrun-relayed");
/// The number of hosts that are tried for one request.
const MAX_HOSTS: usize = 4;
/// How long a host that could not take a request is left out.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// The largest number of connections to one host.
const CONNECTION_LIMIT: usize = 256;
/// The part of the time left that is reserved for passing the response on.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// The hosts that could not take a request, and until when each is left out.
#[derive(Debug, Default)]
pub struct RelayBoard {
    avoided: Mutex<BTreeMap<SocketAddr, Instant>>,
}

/// What became of a request that was to be passed on.
pub enum RelayOutcome {
    /// Another host has taken it; this is its response.
    Response(Box<UpstreamExchange>),
    /// Another host may have taken it, and its response is lost.
    Lost(Refusal),
    /// No other host has taken it.
    NoHost,
}

impl RelayBoard {
    fn avoid(&self, now: Instant, host: SocketAddr) {
        lock(&self.avoided).insert(host, now + AVOID_TIME);
    }

    fn is_avoided(&self, now: Instant, host: SocketAddr) -> bool {
        lock(&self.avoided).get(&host).is_some_and(|until| now < *until)
    }
}

impl Gateway {
    /// Passes a request on to another host, which answers it like one of its own callers'. Another
    /// host is tried only if the one before has certainly not taken the request. A host with an older
    /// configuration does not take it, since callers of this one may have seen the newer one already.
    pub async fn relay(&self, inbound: &InboundRequest, deadline: Instant) -> RelayOutcome {
        for record in self.relay_hosts() {
            let now = self.node.clock.now();
            let left = deadline.saturating_duration_since(now).saturating_sub(RESPONSE_MARGIN);
            if left.is_zero() {
                return RelayOutcome::NoHost;
            }
            let Ok(name) = record.daemon.host.as_str().parse::<UpstreamName>() else { continue };
            let mut request = Request::new(Full::new(inbound.body.clone()));
            *request.method_mut() = inbound.method.clone();
            *request.uri_mut() = inbound.uri.clone();
            *request.headers_mut() = inbound.headers.clone();
            if let Some(identity) = &inbound.identity {
                self.dialect.write_key(&identity.key, request.headers_mut());
            }
            request.headers_mut().insert(RELAYED, HeaderValue::from(inbound.revision.0));
            self.dialect.write_timeout(left, request.headers_mut());
            let key = (record.http, name);
            let gate = SendGate::default();
            let sent = self.relay_connections.send(&key, CONNECTION_LIMIT, request, &gate);
            match timeout(left, sent).await {
                Ok(Ok(exchange)) if exchange.response.headers().contains_key(&RELAYED) => {
                    self.relays.avoid(now, record.http);
                }
                Ok(Ok(exchange)) => {
                    counter!("apricotrun_relayed_total").increment(1);
                    log::info!(
                        request = inbound.head.request_id.as_str(), host:% = record.daemon.host;
                        "entry: passed on to another host"
                    );
                    return RelayOutcome::Response(Box::new(exchange));
                }
                Ok(Err(UpstreamFailure::NothingSent)) => self.relays.avoid(now, record.http),
                Ok(Err(_)) => {
                    self.relays.avoid(now, record.http);
                    return RelayOutcome::Lost(lost(RefusalReason::UpstreamFailed));
                }
                Err(_) => return RelayOutcome::Lost(lost(RefusalReason::DeadlinePassed)),
            }
        }
        RelayOutcome::NoHost
    }

    /// Returns the hosts to try, those of this failure domain first.
    fn relay_hosts(&self) -> Vec<MemberRecord> {
        let now = self.node.clock.now();
        let mut hosts: Vec<_> = {
            let members = lock(&self.node.members);
            let alive = members.others().filter(|record| record.state == MemberState::Alive);
            alive.filter(|record| !self.relays.is_avoided(now, record.http)).cloned().collect()
        };
        hosts.shuffle(&mut rand::rng());
        hosts.sort_by_key(|record| record.domain != self.node.settings.domain);
        hosts.truncate(MAX_HOSTS);
        hosts
    }
}

/// Returns whether another host has accepted a request by a configuration newer than `revision`.
pub fn is_ahead(headers: &HeaderMap, revision: Revision) -> bool {
    let accepted_by = headers.get(RELAYED).and_then(|value| value.to_str().ok()?.parse().ok());
    accepted_by.is_some_and(|accepted_by: u64| accepted_by > revision.0)
}

/// Returns the refusal of a host that cannot take a request to the host that has passed it on.
pub fn refuse_relayed() -> Response<ResponseBody> {
    let mut response = refusal_response(&Refusal::not_run(RefusalReason::NoUpstream));
    response.headers_mut().insert(RELAYED, HeaderValue::from_static("1"));
    response
}

fn lost(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason).with_verdict(Verdict::MayHaveRun)
}
