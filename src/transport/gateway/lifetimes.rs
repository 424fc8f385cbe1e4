//! Asks upstreams which incarnation they are, before a stream that has begun goes on.

use crate::coordination::flow::UpstreamFailure;
use crate::coordination::stream_origins::OriginWriter;
use crate::coordination::upstream_lifetimes::{
    LifetimeReport, RecordedLifetime, StreamBeginning, is_certain,
};
use crate::prelude::*;
use crate::transport::gateway::channels::PooledConnection;
use crate::transport::gateway::start::Gateway;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::lock;
use crate::transport::runs::{AttemptTarget, RunRequest, SendGate};
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
/// The same for the upstream that began it, which has often ended. The first event of the run that goes on is
/// held back for this time at most.
const WRITER_TIMEOUT: Duration = Duration::from_millis(300);

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

    /// Asks the upstream at which a stream is about to begin which process it is, if its record may be of an
    /// earlier one, as the store cannot be read. Once the upstream has ended, nobody can say which version
    /// began the stream, so a stream whose beginning is uncertain goes on nowhere else. Returns the
    /// connection on which the upstream has answered, if it stays open.
    pub async fn confirm_writer(
        &self,
        run: &RunRequest,
        writer: &mut FirstWriter,
    ) -> Option<PooledConnection> {
        if lock(&self.node.versions).is_readable() {
            return None;
        }
        let AttemptTarget { address, upstream, .. } = &run.target;
        let (said, connection) = self.ask_lifetime(*address, upstream, WRITER_TIMEOUT).await;
        let beginning = &mut writer.origin.beginning;
        if !is_certain(beginning.recorded.as_ref(), &run.software, said) {
            self.log_uncertain(upstream, &run.software, said);
            let (incarnation, software) = (Incarnation::default(), SoftwareVersion::unknown());
            beginning.recorded = Some(RecordedLifetime { incarnation, software });
        }
        connection
    }

    /// Makes sure that the upstream at which a stream is to go on runs the software version that began it.
    /// Returns the connection on which the upstream has said which process it is, if it stays open.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamFailure::Withheld`] if the stream may not go on there.
    pub async fn check_continuation(
        &self,
        run: &RunRequest,
    ) -> Result<Option<PooledConnection>, UpstreamFailure> {
        let AttemptTarget { address, upstream, .. } = &run.target;
        let (said, connection) = self.ask_lifetime(*address, upstream, REPORT_TIMEOUT).await;
        if self.is_version_certain(run, said).await {
            return Ok(connection);
        }
        self.log_uncertain(upstream, &run.software, said);
        Err(UpstreamFailure::Withheld)
    }

    /// Asks the upstream that began a stream whether another software version than its record said has
    /// written it. If so, the stream may go on nowhere.
    pub async fn check_writer(&self, request: &str, writer: &FirstWriter) -> bool {
        let origin = &writer.origin;
        let (said, _) = self.ask_lifetime(writer.address, &origin.upstream, WRITER_TIMEOUT).await;
        let clock = &self.node.clock;
        let is_refuted = origin.is_refuted(clock.boot(), clock.wall(), said);
        if is_refuted {
            // The record that names the version may still be on its way.
            self.node.correct_origin(request, &SoftwareVersion::unknown());
            self.log_uncertain(&origin.upstream, &origin.beginning.software, said);
        }
        is_refuted
    }

    fn log_uncertain(
        &self,
        upstream: &UpstreamName,
        software: &SoftwareVersion,
        said: LifetimeReport,
    ) {
        counter!("apricotrun_uncertain_versions_total").increment(1);
        if self.node.log_limiter.permits(DecisionKind::Lost) {
            log::info!(
                upstream:% = upstream, software:% = software, said:? = said;
                "entry: a stream does not go on at an uncertain version"
            );
        }
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

    /// Corrects the origins of the streams that began here at an upstream before its record was known.
    pub(super) fn correct_origins(&self, upstream: &UpstreamName) {
        let Some(recorded) = lock(&self.registry).lifetime_of(upstream) else { return };
        let Some(started) = self.dialect.start_of(recorded.incarnation) else { return };
        let said = LifetimeReport::Started(recorded.incarnation, started);
        let (boot, wall) = (self.node.clock.boot(), self.node.clock.wall());
        let corrected: Vec<_> = {
            let origins = lock(&self.node.origins);
            let begun = origins
                .begun_at(upstream)
                .filter(|(_, writer)| writer.is_corrected(boot, wall, said, &recorded.software));
            begun.map(|(request, _)| request.to_owned()).collect()
        };
        if !corrected.is_empty() {
            log::info!(
                upstream:% = upstream, software:% = recorded.software, streams = corrected.len();
                "entry: streams had begun at another version than its record said"
            );
        }
        for request in corrected {
            self.node.correct_origin(&request, &SoftwareVersion::unknown());
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
        asked.ok().flatten().unwrap_or((LifetimeReport::Unanswered, None))
    }

    async fn request_report(
        &self,
        address: SocketAddr,
        upstream: &UpstreamName,
    ) -> Option<(LifetimeReport, Option<PooledConnection>)> {
        let host = header::HeaderValue::from_str(&address.to_string()).ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.dialect.report_path().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        let key = (address, upstream.clone());
        let limit = self.connection_limit(upstream);
        let exchange =
            self.connections.send(&key, limit, request, &SendGate::default()).await.ok()?;
        let (head, body) = exchange.response.into_parts();
        let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?.to_bytes();
        let report = self.dialect.read_report(&head, &body)?;
        let closes = head.headers.get(header::CONNECTION).is_some_and(|value| value == "close");
        Some((report, (!closes).then_some(exchange.connection)))
    }
}
