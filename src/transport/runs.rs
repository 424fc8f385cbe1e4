//! One run of an attempt at a decode worker or plain upstream.

use crate::coordination::flow::{FlowEvent, KvHandle, UpstreamLoss};
use crate::coordination::tickets::StoredAnswer;
use crate::transport::engine::{CallContext, EngineEvent, PlainCall};
use crate::transport::node::{DaemonNode, lock};
use futures::StreamExt;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::UnboundedSender;

/// What an upstream is asked to do.
#[derive(Clone, Debug)]
pub enum UpstreamWork {
    /// A call that is passed on as it is.
    Plain(PlainCall),
    /// An answer of a model.
    Tokens {
        /// The request's body.
        body: Value,
        /// The path at the engine.
        path: String,
    },
}

/// One run at a decode worker or plain upstream.
pub struct UpstreamRun {
    /// Where it runs.
    pub address: SocketAddr,
    /// Takes a plain upstream's answer.
    pub answer: Arc<Mutex<Option<StoredAnswer>>>,
    /// The attempt and its trace.
    pub context: CallContext,
    /// The request's flow.
    pub events: UnboundedSender<FlowEvent>,
    /// The first token that the caller lacks.
    pub from: u32,
    /// Where the computed prompt lies.
    pub handle: Option<KvHandle>,
    /// This daemon.
    pub node: Arc<DaemonNode>,
    /// What is asked.
    pub work: Arc<UpstreamWork>,
}

impl UpstreamRun {
    /// Runs to the end and passes everything on to the flow.
    pub async fn run(self) {
        let attempt = self.context.attempt.clone();
        let event = match &*self.work {
            UpstreamWork::Plain(call) => self.call(call).await,
            UpstreamWork::Tokens { body, path } => self.decode(body, path).await,
        };
        let _ = self.events.send(match event {
            Ok(event) => event,
            Err(loss) => FlowEvent::RunFailed(attempt, loss),
        });
    }

    async fn call(&self, call: &PlainCall) -> Result<FlowEvent, UpstreamLoss> {
        let answer = self.node.upstreams.call(self.address, call, &self.context).await?;
        *lock(&self.answer) = Some(answer);
        Ok(FlowEvent::CallAnswered(self.context.attempt.clone()))
    }

    async fn decode(&self, body: &Value, path: &str) -> Result<FlowEvent, UpstreamLoss> {
        let upstreams = &self.node.upstreams;
        let handle = self.handle.as_ref();
        let events =
            upstreams.decode(self.address, path, body, handle, self.from, &self.context).await?;
        let mut events = std::pin::pin!(events);
        while let Some(event) = events.next().await {
            let attempt = self.context.attempt.clone();
            match event {
                Ok(EngineEvent::Token { marked, index, text }) => {
                    let token = FlowEvent::Token { attempt, index, marked, text };
                    let _ = self.events.send(token);
                }
                Ok(EngineEvent::End(total)) => return Ok(FlowEvent::RunEnded(attempt, total)),
                Err(_) => break,
            }
        }
        // Without an end marker the answer is not whole.
        Err(upstreams.diagnose(self.address).await)
    }
}
