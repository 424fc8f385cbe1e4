//! OpenAI-compatible completions and chat completions, streamed or as one JSON body.

use crate::coordination::flow::{DisconnectPolicy, RequestSpec, UnlimitedRetries};
use crate::coordination::stops::{WorkForecast, expected_work};
use crate::prelude::*;
use crate::transport::http::head::{AdmittedRequest, RequestHead, admit, read_body};
use crate::transport::http::reply::{CallerReply, ProblemReply, problem_body};
use crate::transport::http::trace::SpanTrace;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::requests::{ResponsePart, start_request};
use crate::transport::runs::CompletionExecutor;
use futures::StreamExt;
use futures::stream::BoxStream;
use rocket::data::Data;
use rocket::response::stream::{ByteStream, Event, EventStream, stream};
use rocket::serde::json::Json;
use rocket::{Route, State, get, post, routes};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc::Receiver;

/// The interval at which a response with nothing to send writes a heartbeat, because only a failed
/// write shows that the caller has disconnected.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The assumed number of bytes per prompt token. Prompts are not tokenized here.
const BYTES_PER_TOKEN: u32 = 4;
/// The response limit, in tokens, of a request that sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// How many leading KV-cache blocks of a prompt are hashed to match prefix caches.
const MAX_PREFIX_BLOCKS: usize = 16;

/// Returns the routes of the OpenAI-compatible API.
pub fn routes() -> Vec<Route> {
    routes![chat, complete, models]
}

#[get("/v1/models")]
fn models(node: &State<Arc<DaemonNode>>) -> Json<Value> {
    let fleet = node.current_config();
    let models = fleet.templates.values().flat_map(|template| template.models.iter());
    let list: Vec<_> = models.map(|model| json!({ "id": model, "object": "model" })).collect();
    Json(json!({ "object": "list", "data": list }))
}

#[post("/v1/completions", data = "<data>")]
async fn complete(node: &State<Arc<DaemonNode>>, head: RequestHead, data: Data<'_>) -> CallerReply {
    serve(node, head, data, ResponseFormat::Text).await
}

#[post("/v1/chat/completions", data = "<data>")]
async fn chat(node: &State<Arc<DaemonNode>>, head: RequestHead, data: Data<'_>) -> CallerReply {
    serve(node, head, data, ResponseFormat::Chat).await
}

/// The API that a request came by, which decides how its response is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseFormat {
    Chat,
    Text,
}

impl ResponseFormat {
    /// Returns the path of this API at the caller and at an upstream.
    fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    fn response_id(self, request: &RequestId) -> String {
        match self {
            Self::Chat => format!("chatcmpl-{request}"),
            Self::Text => format!("cmpl-{request}"),
        }
    }

    /// Returns one event of a streamed response; no text marks the last chunk.
    fn chunk(self, id: &str, model: &str, text: Option<&str>) -> Value {
        let finish = if text.is_none() { json!("stop") } else { Value::Null };
        let (object, choice) = match self {
            Self::Chat => {
                let delta = text.map_or(json!({}), |text| json!({ "content": text }));
                (
                    "chat.completion.chunk",
                    json!({ "index": 0, "delta": delta, "finish_reason": finish }),
                )
            }
            Self::Text => {
                let text = text.unwrap_or_default();
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
            }
        };
        json!({ "id": id, "object": object, "model": model, "choices": [choice] })
    }

    /// Returns the body of a response that is not streamed.
    fn complete_body(
        self,
        id: &str,
        model: &str,
        text: &str,
        prompt: Tokens,
        tokens: u32,
    ) -> Value {
        let (object, choice) = match self {
            Self::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                (
                    "chat.completion",
                    json!({ "index": 0, "message": message, "finish_reason": "stop" }),
                )
            }
            Self::Text => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": "stop" }))
            }
        };
        let usage = json!({
            "prompt_tokens": prompt.0,
            "completion_tokens": tokens,
            "total_tokens": prompt.0 + tokens,
        });
        json!({ "id": id, "object": object, "model": model, "choices": [choice], "usage": usage })
    }
}

/// Writes the parts of one response to the caller.
///
/// It holds the request's in-flight permit until the response ends or the caller disconnects.
struct ResponseWriter {
    account: AccountName,
    id: String,
    model: String,
    node: Arc<DaemonNode>,
    _permit: OwnedSemaphorePermit,
    prompt: Tokens,
    format: ResponseFormat,
}

async fn serve(
    node: &Arc<DaemonNode>,
    head: RequestHead,
    data: Data<'_>,
    format: ResponseFormat,
) -> CallerReply {
    let admitted = match admit(node, &head) {
        Ok(admitted) => admitted,
        Err(refusal) => return CallerReply::Problem(ProblemReply::new(node, refusal, None)),
    };
    let account = admitted.account.account.clone();
    match serve_admitted(node, head, data, format, admitted).await {
        Ok(reply) => reply,
        Err(refusal) => CallerReply::Problem(ProblemReply::new(node, refusal, Some(&account))),
    }
}

async fn serve_admitted(
    node: &Arc<DaemonNode>,
    head: RequestHead,
    data: Data<'_>,
    format: ResponseFormat,
    admitted: AdmittedRequest,
) -> Result<CallerReply, Refusal> {
    let bytes = read_body(node, data).await?;
    let body: Value = serde_json::from_slice(&bytes).map_err(|_| bad_request())?;
    let model = body["model"].as_str().ok_or_else(bad_request)?.to_owned();
    let unknown = Refusal::not_run(RefusalReason::UnknownService);
    let template = admitted.fleet.template_of_model(&model).ok_or(unknown)?;
    let account = admitted.account.account.clone();
    if !admitted.account.services.contains_key(&template.service) {
        return Err(Refusal::not_run(RefusalReason::Forbidden));
    }
    let prompt = read_prompt(&body, format).ok_or_else(bad_request)?;
    let limit = body["max_tokens"].as_u64().or(body["max_completion_tokens"].as_u64());
    let limit =
        Tokens(limit.unwrap_or(DEFAULT_MAX_TOKENS).clamp(1, u64::from(u32::MAX / 4)) as u32);
    let returning = head.is_returning(node, &account);
    let spec = build_spec(node, template, &account, prompt, limit, returning);
    let writer = ResponseWriter {
        _permit: admitted.permit,
        account,
        id: format.response_id(&spec.id),
        model,
        node: node.clone(),
        prompt: spec.prompt,
        format,
    };
    let streamed = body["stream"].as_bool().unwrap_or(false);
    let trace = Box::new(SpanTrace::new(head.trace));
    let client = node.upstreams.clone();
    let executor = Arc::new(CompletionExecutor { body, client, path: format.path().to_owned() });
    let request_id = spec.id.to_string();
    let service = template.service.clone();
    let mut parts = start_request(node, service, &request_id, spec, executor, trace);
    match parts.recv().await {
        Some(ResponsePart::Refused(refusal)) => Err(refusal),
        None => {
            Err(Refusal::not_run(RefusalReason::UpstreamFailed).with_verdict(Verdict::MayHaveRun))
        }
        Some(_) if streamed => Ok(CallerReply::Events(
            EventStream::from(write_events(writer, parts)).heartbeat(HEARTBEAT_INTERVAL),
        )),
        Some(_) => Ok(CallerReply::Body(ByteStream(write_body(writer, parts)))),
    }
}

fn bad_request() -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest)
}

/// The prompt of a completion.
struct PromptText {
    /// The messages of a chat but the last, which other requests may share.
    parts: Vec<PromptPart>,
    /// The prompt, or the text contents of a chat's messages joined by line breaks.
    text: String,
}

fn read_prompt(body: &Value, format: ResponseFormat) -> Option<PromptText> {
    match format {
        ResponseFormat::Text => {
            Some(PromptText { parts: Vec::new(), text: body["prompt"].as_str()?.to_owned() })
        }
        ResponseFormat::Chat => {
            let messages = body["messages"].as_array()?;
            let texts = messages.iter().filter_map(|message| message["content"].as_str());
            let texts: Vec<_> = texts.collect();
            let shared = texts.split_last().map_or(&[][..], |(_, shared)| shared);
            let parts = shared.iter().map(|text| PromptPart::of(text)).collect();
            Some(PromptText { parts, text: texts.join("\n") })
        }
    }
}

/// Returns the scheduling parameters of a completion, from its template and the lengths of its
/// prompt and response.
fn build_spec(
    node: &Arc<DaemonNode>,
    template: &ServiceTemplate,
    account: &AccountName,
    prompt: PromptText,
    limit: Tokens,
    returning: bool,
) -> RequestSpec {
    let now = node.clock.now();
    let PromptText { parts, text: prompt } = prompt;
    let length = Tokens((prompt.len() as u32).div_ceil(BYTES_PER_TOKEN).max(1));
    let service = template.service.as_str().as_bytes();
    let fingerprint = Fingerprint::of(&[service, prompt.as_bytes()]);
    let (crash_verdict, crash_weight) = node.check_crashes(now, &fingerprint, &parts);
    let token_time = template.token_time.unwrap_or(template.inter_token_target);
    let work = expected_work(template.first_token_target, limit, token_time);
    RequestSpec {
        account: account.clone(),
        avoid: Vec::new(),
        expected_output: limit,
        inter_token_target: template.inter_token_target.max(Duration::from_millis(1)),
        crash_weight,
        deadline: now + template.deadline,
        domains: node.domains_of(template),
        first_index: 0,
        prefill_retention: template.prefill_retention,
        fingerprint,
        first_token_due: now + template.first_token_target,
        id: node.next_request_id(),
        transfer_time: template.link_tokens_per_second.time_for(length),
        prefill_time: template.prefill_tokens_per_second.time_for(length),
        crash_verdict,
        parts,
        prefix: prefix_digests(&prompt, template.block_tokens),
        prompt: length,
        max_output: limit,
        origin_lifetime: None,
        after_disconnect: DisconnectPolicy::Cancel,
        retryable: true,
        progress_period: None,
        retries: Arc::new(UnlimitedRetries),
        returning,
        max_runs: u32::MAX,
        software: None,
        stall_limit: None,
        urgency: UrgencyRank::default(),
        tokens_per_index: 1,
        work: WorkForecast::fixed(work, Duration::ZERO),
    }
}

/// Returns a digest for each of the leading full KV-cache blocks of a prompt; each digest covers
/// its block and all blocks before it.
fn prefix_digests(prompt: &str, block: Tokens) -> Vec<u64> {
    let size = (block.0 * BYTES_PER_TOKEN) as usize;
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.as_bytes().chunks_exact(size.max(1)).take(MAX_PREFIX_BLOCKS);
    let digest = |block: &[u8]| {
        hasher.update(block);
        let mut half = [0; 8];
        half.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(half)
    };
    blocks.map(digest).collect()
}

/// Writes a response as server-sent events. A refusal after the first part is sent as an `error`
/// event, since the status code has already gone out.
fn write_events(
    writer: ResponseWriter,
    mut parts: Receiver<ResponsePart>,
) -> BoxStream<'static, Event> {
    let stream = stream! {
        while let Some(part) = parts.recv().await {
            match part {
                ResponsePart::Text(text) => {
                    let chunk = writer.format.chunk(&writer.id, &writer.model, Some(&text));
                    yield Event::data(chunk.to_string());
                }
                ResponsePart::Finished => {
                    let chunk = writer.format.chunk(&writer.id, &writer.model, None);
                    yield Event::data(chunk.to_string());
                    yield Event::data("[DONE]");
                    return;
                }
                ResponsePart::Refused(refusal) => {
                    let body = problem_body(&writer.node, &refusal, Some(&writer.account));
                    yield Event::data(body.to_string()).event("error");
                    return;
                }
                ResponsePart::Response(_) | ResponsePart::Opened => {}
            }
        }
    };
    stream.boxed()
}

/// Writes a response as one JSON body, preceded by a space for each heartbeat interval that passes
/// without a part. JSON parsers skip the spaces, and a failed write shows that the caller has
/// disconnected.
fn write_body(
    writer: ResponseWriter,
    mut parts: Receiver<ResponsePart>,
) -> BoxStream<'static, Vec<u8>> {
    let stream = stream! {
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            let part = match tokio::time::timeout(HEARTBEAT_INTERVAL, parts.recv()).await {
                Err(_) => {
                    yield b" ".to_vec();
                    continue;
                }
                Ok(part) => part,
            };
            match part {
                Some(ResponsePart::Text(part)) => {
                    text.push_str(&part);
                    tokens += 1;
                }
                Some(ResponsePart::Finished) => {
                    let ResponseWriter { format, id, model, prompt, .. } = &writer;
                    yield format
                        .complete_body(id, model, &text, *prompt, tokens)
                        .to_string()
                        .into_bytes();
                    return;
                }
                Some(ResponsePart::Refused(refusal)) => {
                    let body = problem_body(&writer.node, &refusal, Some(&writer.account));
                    yield body.to_string().into_bytes();
                    return;
                }
                Some(ResponsePart::Response(_) | ResponsePart::Opened) => {}
                None => return,
            }
        }
    };
    stream.boxed()
}

impl DaemonNode {
    /// Returns the failure domains in which a service has upstreams and a daemon runs: this
    /// daemon's own first, then the others in an order that rotates with each request.
    pub fn domains_of(&self, template: &ServiceTemplate) -> Vec<DomainName> {
        let mut domains = lock(&self.members).domains();
        domains
            .retain(|domain| template.upstreams.iter().any(|upstream| upstream.domain == *domain));
        let own = usize::from(domains.first() == Some(&self.settings.domain));
        // Requests that the own failure domain cannot take are spread over the others.
        let others = &mut domains[own..];
        if !others.is_empty() {
            let offset = self.sequence.load(std::sync::atomic::Ordering::Relaxed) as usize;
            others.rotate_left(offset % others.len());
        }
        domains
    }
}
