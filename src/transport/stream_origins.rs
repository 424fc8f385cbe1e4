//! Tells other daemons which software version began a stream, and asks them when a caller takes one
//! up here.

use crate::coordination::messages::{MemberState, OriginReply, PeerMessage, StreamOrigin};
use crate::coordination::stream_origins::OriginCopy;
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedSender};

/// How long other daemons are waited for. A caller that takes a stream up has been waiting for its
/// next event since before that.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// How old the list of upstreams may be for what a daemon says of versions. A watch of the list is renewed
/// every two seconds or sooner.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// The questions to other daemons that are not answered yet.
#[derive(Debug, Default)]
pub struct LookupTable {
    last: u64,
    waiting: BTreeMap<u64, UnboundedSender<OriginReply>>,
}

impl LookupTable {
    /// Passes a reply to the request that waits for it, if it still does.
    pub fn deliver(&self, lookup: u64, reply: OriginReply) {
        if let Some(sender) = self.waiting.get(&lookup) {
            // A request that has its answer does not wait for the other replies.
            let _ = sender.send(reply);
        }
    }

    fn begin(&mut self, sender: UnboundedSender<OriginReply>) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, sender);
        self.last
    }

    fn end(&mut self, lookup: u64) {
        self.waiting.remove(&lookup);
    }
}

/// Ends a lookup also if the caller leaves while it waits.
struct LookupGuard<'a> {
    lookup: u64,
    node: &'a DaemonNode,
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        lock(&self.node.origin_lookups).end(self.lookup);
    }
}

impl DaemonNode {
    /// Keeps the origin of a stream that begins here, and tells a few other daemons.
    pub fn record_origin(
        self: &Arc<Self>,
        request: &str,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        let now = self.clock.now();
        let copies = lock(&self.origins).record(now, request, origin, lifetime);
        self.send_origins(copies);
    }

    /// Replaces the software version that began a stream here, and tells the daemons that keep it.
    pub fn correct_origin(self: &Arc<Self>, request: &str, software: &SoftwareVersion) {
        let copies = lock(&self.origins).correct(self.clock.now(), request, software);
        self.send_origins(copies);
    }

    /// Tells all daemons of the origin of a stream that began here.
    pub fn announce_origin(self: &Arc<Self>, request: &str) {
        let copy = lock(&self.origins).copy(self.clock.now(), request);
        let Some((origin, lifetime)) = copy else { return };
        let request = request.to_owned();
        self.broadcast(None, &PeerMessage::StreamOrigin { lifetime, origin, request });
    }

    /// Returns whether a stream of the service began at a version that nobody has named yet.
    pub fn has_unknown_origin(&self, service: &ServiceName) -> bool {
        lock(&self.origins).has_unknown(self.clock.now(), service)
    }

    /// Keeps an origin that another daemon has sent.
    pub fn keep_origin(&self, request: &str, origin: StreamOrigin, lifetime: Duration) {
        lock(&self.origins).learn(self.clock.now(), request, origin, lifetime);
    }

    /// Sends the origins that daemons should keep since the membership has changed.
    pub fn spread_origins(self: &Arc<Self>) {
        let daemons = {
            let members = lock(&self.members);
            let stay = members.running().filter(|record| record.state != MemberState::Leaving);
            stay.map(|record| (record.daemon.clone(), record.domain.clone())).collect()
        };
        let copies = lock(&self.origins).change_daemons(self.clock.now(), daemons);
        self.send_origins(copies);
    }

    fn send_origins(self: &Arc<Self>, copies: Vec<OriginCopy>) {
        for OriginCopy { lifetime, origin, request, to } in copies {
            if to != self.me {
                let message = PeerMessage::StreamOrigin { lifetime, origin, request };
                self.send_to_daemon(&to, message);
            }
        }
    }

    /// Returns what this daemon itself knows of the origin of a stream.
    pub fn known_origin(
        &self,
        request: Option<&str>,
        service: &ServiceName,
        window: Duration,
    ) -> OriginReply {
        let now = self.clock.now();
        let known = request.and_then(|request| lock(&self.origins).find(now, request).cloned());
        let oldest = BootTime(self.clock.boot().0.saturating_sub(MAX_LIST_AGE));
        let versions = lock(&self.versions);
        let sole_version = versions.sole_version(now, service, window);
        let sole_version = sole_version.filter(|_| versions.is_read_since(oldest));
        drop(versions);
        let sole_version = sole_version.filter(|_| !self.has_unknown_origin(service));
        OriginReply { known, sole_version }
    }

    /// Returns what is known of the origin of a stream that the request with the caller's id
    /// `request` began at most `window` ago.
    ///
    /// A daemon that keeps the origin is believed. If none does, a version counts as the origin if
    /// all daemons that have seen only one have seen the same.
    pub async fn find_origin(
        self: &Arc<Self>,
        request: Option<&str>,
        service: &ServiceName,
        window: Duration,
    ) -> OriginReply {
        let own = self.known_origin(request, service, window);
        let Some(request) = request.filter(|_| own.known.is_none()) else { return own };
        let asked = lock(&self.origins).daemons_to_ask(request, &self.settings.domain);
        let (sender, mut replies) = mpsc::unbounded_channel();
        let lookup = lock(&self.origin_lookups).begin(sender);
        let _guard = LookupGuard { lookup, node: self };
        let others: Vec<_> = asked.into_iter().filter(|daemon| *daemon != self.me).collect();
        for daemon in &others {
            let (request, service) = (request.to_owned(), service.clone());
            let question = PeerMessage::FindOrigin { lookup, request, service, window };
            self.send_to_daemon(daemon, question);
        }
        let mut versions: Vec<_> = own.sole_version.into_iter().collect();
        let mut known = None;
        let collect = async {
            for _ in &others {
                let Some(reply) = replies.recv().await else { return };
                versions.extend(reply.sole_version);
                if reply.known.is_some() {
                    known = reply.known;
                    return;
                }
            }
        };
        // Daemons that do not answer in time know nothing that could be waited for.
        let _ = tokio::time::timeout(LOOKUP_TIMEOUT, collect).await;
        versions.sort_unstable();
        versions.dedup();
        let sole_version = if versions.len() == 1 { versions.pop() } else { None };
        OriginReply { known, sole_version }
    }
}
