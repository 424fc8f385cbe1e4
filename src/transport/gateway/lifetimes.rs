//! Asks upstreams which incarnation they are, before a stream that has begun goes on.

use crate::coordination::flow::UpstreamFailure;
use crate::coordination::stream_origins::OriginWriter;
use crate::coordination::upstream_lifetimes::{LifetimeReport, StreamBeginning, is_certain};
use crate::prelude::*;
use crate::transport::gateway::channels::PooledConnection;
use crate::transport::gateway::start::Gateway;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::lock;
use crate::transport::runs::{AttemptTarget, RunRequest};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};
use metrics::counter;
use std::net::SocketAddr;
use tokio::time::timeout;

/// The largest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// How long the upstream at which a stream is to go on may take to say which incarnation it is.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for the upstream that began it, which has often ended.
const WRITER_TIMEOUT: Duration = Duration::from_secs(1);

/// The upstream that began a stream.
#[derive(Clone, Debug)]
pub struct FirstWriter {
    /// Its HTTP address.
    pub address: SocketAddr,
    /// What is kept of it with the origin of the stream.
    pub origin: OriginWriter,
}

impl Gateway {
    /// Returns what is known of the upstream to which the first run of a stream is about to be sent.
    pub fn describe_writer(&self, run: &RunRequest) -> FirstWriter {
        let AttemptTarget { address, upstream, .. } = &run.target;
        let recorded = lock(&self.registry).lifetime_of(upstream);
        let beginning = StreamBeginning { recorded, software: run.software.clone() };
        let answered_at = self.node.clock.boot();
        let origin = OriginWriter { answered_at, beginning, upstream: upstream.clone() };
        FirstWriter { address: *address, origin }
    }

    /// Makes sure that a stream goes on at the software version that began it. `writer` is the upstream
    /// that began it, unless another daemon sent the first run, and `request` the caller's id.
    /// Returns the connection on which the upstream has said which process it is, if it was asked.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamFailure::Withheld`] if it may not go on there.
    pub async fn check_continuation(
        &self,
        run: &RunRequest,
        request: &str,
        writer: Option<&FirstWriter>,
    ) -> Result<Option<PooledConnection>, UpstreamFailure> {
        let AttemptTarget { address, upstream, .. } = &run.target;
        let (is_refuted, (said, connection)) = tokio::join!(
            async {
                match writer {
                    Some(writer) => self.is_refuted(writer).await,
                    None => false,
                }
            },
            self.ask_lifetime(*address, upstream, REPORT_TIMEOUT),
        );
        let is_certain = !is_refuted && self.is_version_certain(run, said).await;
        if is_certain {
            return Ok(connection);
        }
        if is_refuted {
            // The record that names the version may still be on its way.
            self.node.correct_origin(request, &SoftwareVersion::unknown());
        }
        counter!("apricotrun_uncertain_versions_total").increment(1);
        if self.node.log_limiter.permits(DecisionKind::Lost) {
            log::info!(
                upstream:% = upstream, software:% = run.software, said:? = said,
                writer = writer.map_or("", |writer| writer.origin.upstream.as_str()), is_refuted,
                after = run.first_token;
                "entry: a stream does not go on at an uncertain version"
            );
        }
        Err(UpstreamFailure::Withheld)
    }

    async fn is_version_certain(&self, run: &RunRequest, said: LifetimeReport) -> bool {
        let is_certain = || {
            let recorded = lock(&self.registry).lifetime_of(&run.target.upstream);
            is_certain(recorded.as_ref(), &run.software, said)
        };
        if is_certain() {
            return true;
        }
        // Its record may have changed since the list was read.
        let asked_at = self.node.clock.boot();
        let is_started = matches!(said, LifetimeReport::Started(..));
        is_started && self.read_directory_since(asked_at).await && is_certain()
    }

    async fn is_refuted(&self, writer: &FirstWriter) -> bool {
        let origin = &writer.origin;
        let (said, _) = self.ask_lifetime(writer.address, &origin.upstream, WRITER_TIMEOUT).await;
        let clock = &self.node.clock;
        origin.is_refuted(clock.boot(), clock.wall(), said)
    }

    /// Corrects the origins of the streams that began here at an upstream before its record was known.
    pub(super) fn correct_origins(&self, upstream: &UpstreamName) {
        let Some(recorded) = lock(&self.registry).lifetime_of(upstream) else { return };
        let Some(started) = self.dialect.start_of(recorded.incarnation) else { return };
        let said = LifetimeReport::Started(recorded.incarnation, started);
        let (boot, wall) = (self.node.clock.boot(), self.node.clock.wall());
        let corrected: Vec<_> = {
            let origins = lock(&self.node.origins);
            let begun = origins.begun_at(upstream).filter_map(|(request, writer)| {
                let version = writer.corrected_version(boot, wall, said, &recorded.software)?;
                Some((request.to_owned(), version))
            });
            begun.collect()
        };
        if !corrected.is_empty() {
            log::info!(
                upstream:% = upstream, software:% = recorded.software, streams = corrected.len();
                "entry: streams had begun at another version than its record said"
            );
        }
        for (request, version) in corrected {
            self.node.correct_origin(&request, &version);
        }
    }

    /// Keeps which upstream answered the first run of a stream.
    pub fn keep_writer(&self, request: &str, mut writer: FirstWriter) -> FirstWriter {
        writer.origin.answered_at = self.node.clock.boot();
        let is_doubtful = writer.origin.beginning.is_doubtful();
        lock(&self.node.origins).name_writer(request, writer.origin.clone());
        if is_doubtful {
            self.node.correct_origin(request, &SoftwareVersion::unknown());
        }
        writer
    }

    async fn ask_lifetime(
        &self,
        address: SocketAddr,
        upstream: &UpstreamName,
        limit: Duration,
    ) -> (LifetimeReport, Option<PooledConnection>) {
        let recorded = lock(&self.registry).lifetime_of(upstream);
        if recorded.is_some_and(|recorded| recorded.incarnation.is_zero()) {
            return (LifetimeReport::Unsaid, None);
        }
        let asked = timeout(limit, self.request_report(address, upstream)).await;
        match asked.ok().flatten() {
            Some((said, connection)) => (said, Some(connection)),
            None => (LifetimeReport::Unanswered, None),
        }
    }

    async fn request_report(
        &self,
        address: SocketAddr,
        upstream: &UpstreamName,
    ) -> Option<(LifetimeReport, PooledConnection)> {
        let host = header::HeaderValue::from_str(&address.to_string()).ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.dialect.report_path().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        let key = (address, upstream.clone());
        let limit = self.connection_limit(upstream);
        let exchange = self.connections.send(&key, limit, request).await.ok()?;
        let (head, body) = exchange.response.into_parts();
        let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?.to_bytes();
        let report = self.dialect.read_report(&head, &body)?;
        Some((report, exchange.connection))
    }
}
