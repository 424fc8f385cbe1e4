//! Asks upstreams which incarnation they are, before a stream that has begun goes on.

use crate::coordination::flow::UpstreamFailure;
use crate::coordination::stream_origins::OriginWriter;
use crate::coordination::upstream_lifetimes::{
    LifetimeReport, RecordedLifetime, StreamBeginning, is_certain,
};
use crate::prelude::*;
use crate::transport::gateway::channels::{PooledConnection, UpstreamExchange};
use crate::transport::gateway::dialect::UpstreamStep;
use crate::transport::gateway::start::Gateway;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::lock;
use crate::transport::runs::{AttemptTarget, RunRequest, SendGate};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full, Limited};
use metrics::counter;
use std::net::SocketAddr;
use std::sync::OnceLock;
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

/// The answer of an upstream that was asked which process it is.
#[derive(Debug)]
struct LifetimeAnswer {
    /// The connection on which it has answered, if that stays open.
    connection: Option<PooledConnection>,
    /// How long the upstream keeps the connection open while it is idle, if it says so.
    keep_alive: Option<Duration>,
    said: LifetimeReport,
}

impl LifetimeAnswer {
    fn without_connection(said: LifetimeReport) -> Self {
        Self { connection: None, keep_alive: None, said }
    }
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

    /// Asks the upstream that has just answered the first run of a stream which process it is, as its record
    /// may be of an earlier one. Once it has ended, nobody can say which version began the stream.
    /// `lifetime` is that of the connection which carries the stream; each connection is asked for once.
    /// Returns what is known of the upstream if it is not the process of its record. The stream then goes on
    /// nowhere else, and all hosts are told of it.
    pub async fn confirm_writer(
        &self,
        request: &str,
        mut writer: FirstWriter,
        lifetime: &OnceLock<LifetimeReport>,
    ) -> Option<FirstWriter> {
        let FirstWriter { address, origin } = &mut writer;
        let recorded = origin.beginning.recorded.as_ref();
        recorded.filter(|recorded| !recorded.incarnation.is_zero())?;
        let said = match lifetime.get() {
            Some(said) => *said,
            None => {
                let answer = self.ask_lifetime(*address, &origin.upstream, REPORT_TIMEOUT).await;
                if let Some(connection) = answer.connection {
                    self.connections.release(connection, answer.keep_alive);
                }
                answer.said
            }
        };
        if is_certain(recorded, &origin.beginning.software, said) {
            let _ = lifetime.set(said);
            return None;
        }
        let incarnation = match said {
            LifetimeReport::Started(incarnation, _) => incarnation,
            // It is asked again before the stream goes on, if the list of upstreams is up to date.
            _ if lock(&self.node.versions).is_readable() => return None,
            LifetimeReport::Unsaid | LifetimeReport::Unanswered => Incarnation::default(),
        };
        self.log_uncertain(&origin.upstream, &origin.beginning.software, said);
        let software = SoftwareVersion::unknown();
        origin.beginning.recorded = Some(RecordedLifetime { incarnation, software });
        lock(&self.node.origins).name_writer(request, origin.clone());
        self.node.correct_origin(request, &SoftwareVersion::unknown());
        self.announce_unknown(&origin.upstream, incarnation, request);
        Some(writer)
    }

    /// Tells all hosts of a stream of unknown version, the first of its incarnation: a caller may take one up
    /// at any host without saying which.
    fn announce_unknown(&self, upstream: &UpstreamName, incarnation: Incarnation, request: &str) {
        let is_new = {
            let mut unknown = lock(&self.unknown_lifetimes);
            let is_new = unknown.get(upstream).is_none_or(|(known, _)| *known != incarnation);
            if is_new {
                unknown.insert(upstream.clone(), (incarnation, request.to_owned()));
            }
            is_new
        };
        if is_new {
            self.node.announce_origin(request);
        }
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
        let answer = self.ask_lifetime(*address, upstream, REPORT_TIMEOUT).await;
        let said = answer.said;
        if self.is_version_certain(run, said).await {
            return Ok(answer.connection);
        }
        self.log_uncertain(upstream, &run.software, said);
        Err(UpstreamFailure::Withheld)
    }

    /// Asks the upstream that began a stream whether another software version than its record said has
    /// written it. If so, the stream may go on nowhere.
    pub async fn check_writer(&self, request: &str, writer: &FirstWriter) -> bool {
        let origin = &writer.origin;
        let answer = self.ask_lifetime(writer.address, &origin.upstream, WRITER_TIMEOUT).await;
        let said = answer.said;
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

    /// Names the version of the streams that began here at an incarnation of which there was no record yet.
    fn name_versions(&self, upstream: &UpstreamName, recorded: &RecordedLifetime) {
        let known = lock(&self.unknown_lifetimes).remove(upstream);
        let is_recorded = |known: &(Incarnation, String)| known.0 == recorded.incarnation;
        let Some((_, announced)) = known.filter(is_recorded) else { return };
        let begun: Vec<_> = {
            let origins = lock(&self.node.origins);
            let begun = origins.begun_at(upstream).filter(|(_, writer)| {
                let beginning = writer.beginning.recorded.as_ref();
                beginning.is_some_and(|known| known.incarnation == recorded.incarnation)
            });
            begun.map(|(request, writer)| (request.to_owned(), writer.clone())).collect()
        };
        for (request, mut writer) in begun {
            let software = recorded.software.clone();
            writer.beginning = StreamBeginning { recorded: Some(recorded.clone()), software };
            lock(&self.node.origins).name_writer(&request, writer);
            self.node.correct_origin(&request, &recorded.software);
        }
        self.node.announce_origin(&announced);
    }

    /// Corrects the origins of the streams that began here at an upstream before its record was known.
    pub(super) fn correct_origins(&self, upstream: &UpstreamName) {
        let Some(recorded) = lock(&self.registry).lifetime_of(upstream) else { return };
        self.name_versions(upstream, &recorded);
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
    ) -> LifetimeAnswer {
        let recorded = lock(&self.registry).lifetime_of(upstream);
        if recorded.is_some_and(|recorded| recorded.incarnation.is_zero()) {
            return LifetimeAnswer::without_connection(LifetimeReport::Unsaid);
        }
        let asked = timeout(limit, self.request_report(address, upstream)).await;
        let unanswered = LifetimeAnswer::without_connection(LifetimeReport::Unanswered);
        asked.ok().flatten().unwrap_or(unanswered)
    }

    async fn request_report(
        &self,
        address: SocketAddr,
        upstream: &UpstreamName,
    ) -> Option<LifetimeAnswer> {
        let host = header::HeaderValue::from_str(&address.to_string()).ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.dialect.report_path().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        let key = (address, upstream.clone());
        let limit = self.connection_limit(upstream);
        let exchange = self.connections.send(&key, limit, request, &SendGate::default()).await;
        let UpstreamExchange { connection, response } = exchange.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?.to_bytes();
        let said = self.dialect.read_report(&head, &body)?;
        let keep_alive = self.dialect.read_response("", UpstreamStep::Prefill, &head).keep_alive;
        let _ = connection.lifetime.set(said);
        let closes = head.headers.get(header::CONNECTION).is_some_and(|value| value == "close");
        Some(LifetimeAnswer { connection: (!closes).then_some(connection), keep_alive, said })
    }
}
