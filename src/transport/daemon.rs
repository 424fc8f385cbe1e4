//! Starts a daemon, and shuts it down gracefully without cutting off a request.

use crate::coordination::allotments::AllotmentTolerance;
use crate::coordination::membership::MemberEvent;
use crate::prelude::*;
use crate::transport::build::{NodeDependencies, build_node};
use crate::transport::claims::send_summaries;
use crate::transport::consul::ConsulStore;
use crate::transport::crash_record::keep_crash_record;
use crate::transport::engine::UpstreamClient;
use crate::transport::error::{CliError, CliResult};
use crate::transport::gateway::probes::{DRAIN_PERIOD, drain_samples};
use crate::transport::http;
use crate::transport::http::trace::SpanLogger;
use crate::transport::links::serve_links;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::orders::tick_orders;
use crate::transport::settings::DaemonSettings;
use crate::transport::shards::tick_shards;
use crate::transport::{gossip, logs, watcher};
use metrics_exporter_prometheus::PrometheusBuilder;
use rocket::config::{LogLevel, Shutdown};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// How long new requests are still accepted after readiness has been withdrawn, since the load
/// balancer reacts late.
const BALANCER_LAG: Duration = Duration::from_secs(2);
/// The interval at which a stop checks whether the last request has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How many seconds the connections of finished requests have to close.
const CLOSE_SECONDS: u32 = 1;

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the HTTP server fails.
pub fn run(settings: DaemonSettings) -> CliResult<()> {
    logs::install(&settings);
    if settings.log_spans {
        fastrace::set_reporter(SpanLogger, fastrace::collector::Config::default());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let result = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    fastrace::flush();
    result
}

async fn serve(settings: DaemonSettings) -> CliResult<()> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|e| CliError::Server(e.to_string()))?;
    tokio::spawn(drain_samples(handle.clone(), DRAIN_PERIOD));
    let listener = TcpListener::bind(settings.peer_listener()).await?;
    let upstreams = Arc::new(UpstreamClient::new()?);
    let parts = NodeDependencies {
        tolerance: AllotmentTolerance::default(),
        incarnation: None,
        cancels: upstreams.clone(),
        store: Arc::new(ConsulStore::new(settings.store)?),
        upstreams,
    };
    let node = Arc::new(build_node(settings, parts).await?);
    log::info!(
        "daemon: {} in failure domain {} listens on {}",
        node.me,
        node.settings.domain,
        node.settings.http
    );
    tokio::spawn(serve_links(node.clone(), listener));
    tokio::spawn(gossip::serve_gossip(node.clone()));
    tokio::spawn(gossip::tick_members(node.clone()));
    tokio::spawn(tick_shards(node.clone()));
    tokio::spawn(tick_orders(node.clone()));
    tokio::spawn(send_summaries(node.clone()));
    tokio::spawn(watcher::watch_store(node.clone()));
    let record_node = node.clone();
    tokio::spawn(async move {
        record_node.load_crash_record().await;
        keep_crash_record(record_node).await;
    });
    let server = http::mount(rocket::custom(http_config(&node.settings)), node.clone());
    let server = server.manage(handle).ignite().await;
    let server = server.map_err(|error| CliError::Server(error.to_string()))?;
    let shutdown = server.shutdown();
    let stopping_node = node.clone();
    tokio::spawn(async move {
        stopping_node.wait_for_stop().await;
        stopping_node.drain().await;
        shutdown.notify();
    });
    let served = server.launch().await;
    served.map_err(|error| CliError::Server(error.to_string()))?;
    log::info!("daemon: {} has stopped", node.me);
    Ok(())
}

fn http_config(settings: &DaemonSettings) -> rocket::Config {
    rocket::Config {
        address: settings.http.ip(),
        cli_colors: false,
        ident: rocket::config::Ident::none(),
        log_level: LogLevel::Off,
        port: settings.http.port(),
        shutdown: Shutdown {
            ctrlc: false,
            force: false,
            grace: CLOSE_SECONDS,
            mercy: CLOSE_SECONDS,
            signals: Default::default(),
            ..Shutdown::default()
        },
        ..rocket::Config::release_default()
    }
}

impl DaemonNode {
    async fn wait_for_stop(&self) {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        match (terminate, interrupt) {
            (Ok(mut terminate), Ok(mut interrupt)) => tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = self.stop_requested.notified() => {}
            },
            _ => self.stop_requested.notified().await,
        }
    }

    /// Withdraws readiness and gives up the shards, waits for the requests in flight, and hands the
    /// tickets over.
    async fn drain(self: &Arc<Self>) {
        log::info!("daemon: {} drains its requests in flight", self.me);
        self.draining.store(true, Ordering::Relaxed);
        self.handle_member_event(MemberEvent::Leave);
        self.update_roles();
        tokio::time::sleep(BALANCER_LAG).await;
        self.stopping.store(true, Ordering::Relaxed);
        let started = self.clock.now();
        while self.is_busy() && self.clock.now() < started + self.settings.drain_limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        if self.is_busy() {
            log::error!("daemon: the drain limit has expired with requests in flight");
        }
        self.hand_over_tickets().await;
    }

    fn is_busy(&self) -> bool {
        let in_flight = self.settings.in_flight_limit - self.in_flight.available_permits();
        in_flight > 0 || !lock(&self.flows).is_empty() || lock(&self.tickets).is_busy()
    }
}
