//! Executors, which run the attempts of a request at its upstreams: plain calls and OpenAI
//! completions.

use crate::coordination::flow::{FlowEvent, KvHandle, UpstreamFailure};
use crate::coordination::tickets::StoredResponse;
use crate::prelude::*;
use crate::transport::engine::{CallContext, EngineEvent, PlainCall, UpstreamClient};
use crate::transport::node::lock;
use futures::StreamExt;
use futures::future::{BoxFuture, join_all};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::Sender;

/// The number of cancel calls that an entry makes before it leaves the cancel to the shard's owner.
const CANCEL_TRIES: usize = 2;

/// The upstream at which an attempt runs, with the context of the call.
#[derive(Clone, Debug)]
pub struct AttemptTarget {
    /// The HTTP address of the upstream.
    pub address: SocketAddr,
    /// The attempt id and trace context, which the call carries.
    pub context: CallContext,
    /// The deadline of the request.
    pub deadline: Instant,
    /// Says whether the attempt may still be sent.
    pub gate: Arc<SendGate>,
    /// The name of the upstream, unique within its service.
    pub upstream: UpstreamName,
}

/// Decides once whether an attempt is sent: its executor begins to, or its request forbids it before.
#[derive(Debug, Default)]
pub struct SendGate(Mutex<SendState>);

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum SendState {
    #[default]
    Open,
    Begun,
    Closed,
}

impl SendGate {
    /// Records that a byte of the attempt is about to be sent. Returns false if none may be.
    pub fn begin(&self) -> bool {
        let mut state = lock(&self.0);
        if *state == SendState::Open {
            *state = SendState::Begun;
        }
        *state == SendState::Begun
    }

    /// Forbids to send the attempt. Returns false if that has begun.
    pub fn close(&self) -> bool {
        let mut state = lock(&self.0);
        if *state == SendState::Open {
            *state = SendState::Closed;
        }
        *state == SendState::Closed
    }
}

/// The run that produces the response of an attempt.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// The index of the first token that the caller has not received yet.
    pub first_token: u32,
    /// The handle of the prompt's KV cache; `None` if the runner computes the prompt itself.
    pub handle: Option<KvHandle>,
    /// The software version for which the attempt was placed there.
    pub software: SoftwareVersion,
    /// The decode worker or plain upstream.
    pub target: AttemptTarget,
}

/// Cancels what an attempt may have left running at an upstream.
pub trait AttemptCancel: Send + Sync {
    /// Returns whether the upstream has confirmed that nothing of the attempt is left.
    fn cancel<'a>(&'a self, address: SocketAddr, attempt: &'a AttemptId) -> BoxFuture<'a, bool>;
}

impl AttemptCancel for UpstreamClient {
    fn cancel<'a>(&'a self, address: SocketAddr, attempt: &'a AttemptId) -> BoxFuture<'a, bool> {
        Box::pin(UpstreamClient::cancel(self, address, attempt))
    }
}

/// A cancel for upstreams that drop an attempt when its connection closes; it sends nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCancel;

impl AttemptCancel for ConnectionCancel {
    fn cancel<'a>(&'a self, _: SocketAddr, _: &'a AttemptId) -> BoxFuture<'a, bool> {
        Box::pin(async { true })
    }
}

/// Runs a request at its upstreams. Each upstream protocol has an implementation.
///
/// Dropping a returned future must leave nothing running on its connection.
pub trait UpstreamExecutor: Send + Sync {
    /// Computes the KV cache of the prompt and returns its handle.
    fn prefill<'a>(
        &'a self,
        target: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>>;

    /// Produces the response. Tokens are sent to `events`, which has room for a limited number, so
    /// that an upstream is read no faster than its request takes them; the returned event is the last
    /// one.
    fn run<'a>(
        &'a self,
        run: &'a RunRequest,
        events: &'a Sender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>>;

    /// Cancels an attempt at these upstreams; returns whether all have confirmed that nothing of it
    /// is left.
    fn cancel<'a>(
        &'a self,
        upstreams: &'a [SocketAddr],
        attempt: &'a AttemptId,
    ) -> BoxFuture<'a, bool>;

    /// Takes the response of a plain upstream; `None` if there is none or it was taken before.
    fn take_response(&self) -> Option<StoredResponse> {
        None
    }
}

/// Passes a call on to a plain upstream without a change.
pub struct PlainExecutor {
    response: Mutex<Option<StoredResponse>>,
    call: PlainCall,
    client: Arc<UpstreamClient>,
}

impl PlainExecutor {
    /// Returns the executor of one call.
    pub fn new(client: Arc<UpstreamClient>, call: PlainCall) -> Self {
        Self { response: Mutex::new(None), call, client }
    }
}

impl UpstreamExecutor for PlainExecutor {
    fn prefill<'a>(
        &'a self,
        _: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>> {
        // Plain services have no prefill workers; only a wrong template leads here.
        Box::pin(async { Err(UpstreamFailure::NothingSent) })
    }

    fn run<'a>(
        &'a self,
        run: &'a RunRequest,
        _events: &'a Sender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>> {
        Box::pin(async move {
            let target = &run.target;
            let response = self.client.call(target.address, &self.call, &target.context).await?;
            *lock(&self.response) = Some(response);
            Ok(FlowEvent::ResponseReceived(target.context.attempt.clone()))
        })
    }

    fn cancel<'a>(&'a self, _: &'a [SocketAddr], _: &'a AttemptId) -> BoxFuture<'a, bool> {
        // Plain services have no cancel call.
        Box::pin(async { true })
    }

    fn take_response(&self) -> Option<StoredResponse> {
        lock(&self.response).take()
    }
}

/// Runs a completion at engines that speak the OpenAI protocol.
pub struct CompletionExecutor {
    /// The request body as JSON.
    pub body: Value,
    /// The HTTP client for the engines.
    pub client: Arc<UpstreamClient>,
    /// The path of the endpoint at the engine.
    pub path: String,
}

impl CompletionExecutor {
    async fn decode(
        &self,
        run: &RunRequest,
        events: &Sender<FlowEvent>,
    ) -> Result<FlowEvent, UpstreamFailure> {
        let target = &run.target;
        let handle = run.handle.as_ref();
        let decoded = self
            .client
            .decode(
                target.address,
                &self.path,
                &self.body,
                handle,
                run.first_token,
                &target.context,
            )
            .await?;
        let mut decoded = std::pin::pin!(decoded);
        while let Some(event) = decoded.next().await {
            let attempt = target.context.attempt.clone();
            match event {
                Ok(EngineEvent::Token { request_id, index, text }) => {
                    let token = FlowEvent::Token { attempt, index, request_id, text };
                    if events.send(token).await.is_err() {
                        break;
                    }
                }
                Ok(EngineEvent::End(total)) => return Ok(FlowEvent::RunEnded(attempt, total)),
                Err(_) => break,
            }
        }
        // The stream ended without an end marker, so the response is incomplete.
        Err(self.client.diagnose(target.address).await)
    }

    async fn cancel_at(&self, address: SocketAddr, attempt: &AttemptId) -> bool {
        for _ in 0..CANCEL_TRIES {
            if self.client.cancel(address, attempt).await {
                return true;
            }
        }
        false
    }
}

impl UpstreamExecutor for CompletionExecutor {
    fn prefill<'a>(
        &'a self,
        target: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>> {
        Box::pin(self.client.prefill(target.address, &self.path, &self.body, &target.context))
    }

    fn run<'a>(
        &'a self,
        run: &'a RunRequest,
        events: &'a Sender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>> {
        Box::pin(self.decode(run, events))
    }

    fn cancel<'a>(
        &'a self,
        upstreams: &'a [SocketAddr],
        attempt: &'a AttemptId,
    ) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            let cancels = upstreams.iter().map(|address| self.cancel_at(*address, attempt));
            join_all(cancels).await.into_iter().all(|confirmed| confirmed)
        })
    }
}
