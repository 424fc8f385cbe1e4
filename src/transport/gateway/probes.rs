//! Readiness and metrics: HTTP listeners that ignore the path of a request.

use crate::transport::error::{CliError, CliResult};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;

/// The bucket bounds of latency histograms in seconds, close to the targets of plain calls and
/// streams.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.15, 0.3, 0.6, 0.9, 2.0, 5.0, 14.0];
/// The interval at which the samples of histograms are added to their buckets.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(5);
/// The delay after an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Installs the process-wide metrics recorder and returns the handle that renders the metrics.
///
/// # Errors
///
/// Returns an error when a recorder is already installed.
pub fn install_recorder() -> CliResult<PrometheusHandle> {
    let fail = |error: String| CliError::Server(error);
    let recorder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)
        .map_err(|error| fail(error.to_string()))?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| fail(error.to_string()))?;
    Ok(handle)
}

/// Adds the samples of histograms to their buckets once in `period`, until the task is dropped. The recorder
/// keeps every sample until then, and nobody may ever read the metrics.
pub async fn drain_samples(handle: PrometheusHandle, period: Duration) {
    loop {
        tokio::time::sleep(period).await;
        handle.run_upkeep();
    }
}

/// Serves every request on a listener with the current status and body that `reply` returns.
pub async fn serve_probes<F>(listener: TcpListener, reply: F)
where
    F: Fn() -> (StatusCode, String) + Clone + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("daemon: accepting a probe failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let reply = reply.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let (status, text) = reply();
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let served = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(error) = served {
                log::debug!("daemon: a probe's connection failed: {error}");
            }
        });
    }
}
