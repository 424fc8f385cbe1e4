//! What an attempt does at its upstreams, and the work of the OpenAI protocol.

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
use tokio::sync::mpsc::UnboundedSender;

/// How often an entry tries to cancel before it leaves that to the shard's owner.
const CANCEL_TRIES: usize = 2;

/// One attempt at one upstream.
#[derive(Clone, Debug)]
pub struct AttemptTarget {
    /// The upstream's address.
    pub address: SocketAddr,
    /// The attempt and its trace.
    pub context: CallContext,
    /// When the caller's patience ends.
    pub deadline: Instant,
    /// The upstream's name.
    pub upstream: UpstreamName,
}

/// A run that is to produce an answer.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// The first token that the caller lacks.
    pub first_token: u32,
    /// Where the computed prompt lies.
    pub handle: Option<KvHandle>,
    /// The decode worker or plain upstream.
    pub target: AttemptTarget,
}

/// Cancels what an attempt may have left at an upstream.
pub trait AttemptCancel: Send + Sync {
    /// Returns whether the upstream has confirmed that nothing of the attempt is left.
    fn cancel<'a>(&'a self, address: SocketAddr, attempt: &'a AttemptId) -> BoxFuture<'a, bool>;
}

impl AttemptCancel for UpstreamClient {
    fn cancel<'a>(&'a self, address: SocketAddr, attempt: &'a AttemptId) -> BoxFuture<'a, bool> {
        Box::pin(UpstreamClient::cancel(self, address, attempt))
    }
}

/// For upstreams that drop an attempt when its connection closes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCancel;

impl AttemptCancel for ConnectionCancel {
    fn cancel<'a>(&'a self, _: SocketAddr, _: &'a AttemptId) -> BoxFuture<'a, bool> {
        Box::pin(async { true })
    }
}

/// What a request needs done at its upstreams. Each protocol that upstreams speak has its own.
///
/// A future that is dropped must leave nothing running on its connection.
pub trait UpstreamExecutor: Send + Sync {
    /// Computes the prompt.
    fn prefill<'a>(
        &'a self,
        site: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>>;

    /// Produces the answer. Tokens go to `events`; the returned event is the last one.
    fn run<'a>(
        &'a self,
        order: &'a RunRequest,
        events: &'a UnboundedSender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>>;

    /// Makes sure that nothing of an attempt is left at these upstreams; returns whether all have
    /// confirmed it.
    fn cancel<'a>(
        &'a self,
        upstreams: &'a [SocketAddr],
        attempt: &'a AttemptId,
    ) -> BoxFuture<'a, bool>;

    /// Returns the answer of a plain upstream, once.
    fn take_answer(&self) -> Option<StoredResponse> {
        None
    }
}

/// A call that is passed on to a plain upstream as it is.
pub struct PlainExecutor {
    answer: Mutex<Option<StoredResponse>>,
    call: PlainCall,
    client: Arc<UpstreamClient>,
}

impl PlainExecutor {
    /// Returns the work of a call.
    pub fn new(client: Arc<UpstreamClient>, call: PlainCall) -> Self {
        Self { answer: Mutex::new(None), call, client }
    }
}

impl UpstreamExecutor for PlainExecutor {
    fn prefill<'a>(
        &'a self,
        _: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>> {
        // A plain service has no prefill workers; a template that says so is at fault.
        Box::pin(async { Err(UpstreamFailure::NothingSent) })
    }

    fn run<'a>(
        &'a self,
        order: &'a RunRequest,
        _events: &'a UnboundedSender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>> {
        Box::pin(async move {
            let site = &order.target;
            let answer = self.client.call(site.address, &self.call, &site.context).await?;
            *lock(&self.answer) = Some(answer);
            Ok(FlowEvent::ResponseReceived(site.context.attempt.clone()))
        })
    }

    fn cancel<'a>(&'a self, _: &'a [SocketAddr], _: &'a AttemptId) -> BoxFuture<'a, bool> {
        // Plain services know no cancel.
        Box::pin(async { true })
    }

    fn take_answer(&self) -> Option<StoredResponse> {
        lock(&self.answer).take()
    }
}

/// A completion by engines that speak the OpenAI protocol.
pub struct CompletionExecutor {
    /// The request's body.
    pub body: Value,
    /// Calls the engines.
    pub client: Arc<UpstreamClient>,
    /// The path at the engine.
    pub path: String,
}

impl CompletionExecutor {
    async fn decode(
        &self,
        order: &RunRequest,
        events: &UnboundedSender<FlowEvent>,
    ) -> Result<FlowEvent, UpstreamFailure> {
        let site = &order.target;
        let handle = order.handle.as_ref();
        let decoded = self
            .client
            .decode(site.address, &self.path, &self.body, handle, order.first_token, &site.context)
            .await?;
        let mut decoded = std::pin::pin!(decoded);
        while let Some(event) = decoded.next().await {
            let attempt = site.context.attempt.clone();
            match event {
                Ok(EngineEvent::Token { request_id, index, text }) => {
                    let token = FlowEvent::Token { attempt, index, request_id, text };
                    if events.send(token).is_err() {
                        break;
                    }
                }
                Ok(EngineEvent::End(total)) => return Ok(FlowEvent::RunEnded(attempt, total)),
                Err(_) => break,
            }
        }
        // Without an end marker the answer is not whole.
        Err(self.client.diagnose(site.address).await)
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
        site: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>> {
        Box::pin(self.client.prefill(site.address, &self.path, &self.body, &site.context))
    }

    fn run<'a>(
        &'a self,
        order: &'a RunRequest,
        events: &'a UnboundedSender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>> {
        Box::pin(self.decode(order, events))
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
