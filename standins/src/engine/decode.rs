//! The decode phase of one request.

use super::{Engine, STALL_DURATION, SlotGuard, token_text};
use rocket::response::stream::Event;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// A decode run, which streams tokens until it is complete or aborted.
pub(super) struct DecodeRun {
    /// Whether to write chunks in the format of chat completions.
    pub(super) chat: bool,
    pub(super) engine: Engine,
    /// The index of the first token to send, above 0 when a run is resumed.
    pub(super) from: u32,
    pub(super) guard: SlotGuard,
    /// The attempt's id, which every chunk carries.
    pub(super) id: String,
    pub(super) model: Value,
    pub(super) prompt: String,
    pub(super) sender: UnboundedSender<Event>,
    /// The length of the complete output, in tokens, including those before `from`.
    pub(super) total: u32,
    /// The `kv_transfer_params` of the request, or null if there is no prefill result to fetch.
    pub(super) transfer: Value,
}

impl DecodeRun {
    /// Fetches the prefill result if the request names one, then streams the tokens. The stream
    /// ends without a token if the result is no longer available.
    pub(super) async fn run(self) {
        if !self.transfer.is_null() && !self.fetch_prefill().await {
            return;
        }
        let faults = self.engine.state().faults.clone();
        let mut indices: Vec<u32> = (self.from..self.total).collect();
        if faults.swap_tokens {
            indices.chunks_mut(2).for_each(<[u32]>::reverse);
        }
        for (sent, index) in indices.iter().enumerate() {
            match self.engine.config.token_time {
                Duration::ZERO => tokio::task::yield_now().await,
                time => tokio::time::sleep(time).await,
            }
            let faults = self.engine.state().faults.clone();
            if faults.break_after.is_some_and(|after| sent as u32 >= after) {
                return;
            }
            if faults.foreign_tokens {
                self.send("another-request", *index, " foreign");
            }
            let text = token_text(&self.prompt, *index);
            self.send(&self.id, *index, &text);
            if faults.double_tokens {
                self.send(&self.id, *index, &text);
            }
        }
        let end = json!({
            "id": format!("cmpl-{}", self.id),
            "model": self.model,
            "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
            "usage": { "completion_tokens": self.total },
        });
        let _ = self.sender.send(Event::data(end.to_string()));
        let _ = self.sender.send(Event::data("[DONE]"));
        drop(self.guard);
    }

    /// Transfers the prefill result over the link; returns false if it is no longer available.
    async fn fetch_prefill(&self) -> bool {
        if self.engine.state().faults.stall_transfer {
            tokio::time::sleep(STALL_DURATION).await;
        }
        let host = self.transfer["remote_host"].as_str().unwrap_or_default();
        let id = self.transfer["remote_request_id"].as_str().unwrap_or_default();
        let url = format!("http://{host}:{}/kv/{id}", self.transfer["remote_port"]);
        let Ok(response) = self.engine.client.get(url).send().await else { return false };
        if !response.status().is_success() {
            return false;
        }
        let tokens: f64 = response.text().await.ok().and_then(|t| t.parse().ok()).unwrap_or(0.0);
        let _link = self.engine.link.lock().await;
        let time = tokens / self.engine.config.link_tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(time)).await;
        true
    }

    fn send(&self, id: &str, index: u32, text: &str) {
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": null }),
            false => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        let chunk = json!({
            "id": format!("cmpl-{id}"),
            "model": self.model,
            "choices": [choice],
            "token_index": index,
        });
        let _ = self.sender.send(Event::data(chunk.to_string()));
    }
}
