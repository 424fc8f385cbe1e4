//! Finds the client account of a caller's key. See docs/design/client-accounts.md.

use crate::prelude::*;
use crate::state::routes::{RouteRule, RouteTable};
use crate::transport::gateway::dialect::PromptShape;
use crate::transport::gateway::reply::{ResponseBody, refusal_response, text_response};
use crate::transport::gateway::start::Gateway;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::lock;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use metrics::counter;
use rand::Rng;
use std::fmt;
use std::sync::Arc;

/// The range of the `Retry-After` time of a host whose configuration is too old, in milliseconds. A
/// store that was lost is tried again every 400 ms at least.
const STALE_RETRY_MS: std::ops::Range<u64> = 500..1_200;

/// The account of a caller, and the key that shows it.
#[derive(Clone)]
pub struct CallerIdentity {
    /// The account.
    pub account: Arc<ClientAccount>,
    /// The key as the caller sent it, for a host that the request is passed on to.
    pub key: HeaderValue,
}

impl fmt::Debug for CallerIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerIdentity({})", self.account.name)
    }
}

impl CallerIdentity {
    /// Returns what a request costs of the account's allotment.
    pub fn cost_of(&self, prompt: Option<&PromptShape>) -> f64 {
        self.account.cost_of(prompt.map(|prompt| (prompt.prompt, prompt.max_output)))
    }
}

impl Gateway {
    /// Returns the account whose key a request carries; `None` if the route needs none.
    ///
    /// # Errors
    ///
    /// Returns the response to a request without a valid key, or to any request with a key while the
    /// configuration is too old to tell.
    pub fn identify(
        &self,
        rule: &RouteRule,
        request_id: &str,
        headers: &HeaderMap,
    ) -> Result<Option<CallerIdentity>, Box<Response<ResponseBody>>> {
        if rule.open_to_all {
            return Ok(None);
        }
        // Read in this order: a pause in between makes the configuration look older.
        let now = self.node.clock.boot();
        let Some(routes) = lock(&self.routes).current().cloned() else { return Ok(None) };
        let Some(accounts) = &routes.accounts else { return Ok(None) };
        if !lock(&self.node.freshness).is_fresh(now, routes.revision) {
            return Err(Box::new(self.refuse_stale(request_id, &routes)));
        }
        let key = self.dialect.read_key(headers);
        let account = key.and_then(|key| accounts.find(key.as_bytes()));
        match key.zip(account) {
            Some((key, account)) => {
                let mut key = key.clone();
                key.set_sensitive(true);
                Ok(Some(CallerIdentity { account: account.clone(), key }))
            }
            None => {
                counter!("apricotrun_unknown_keys_total").increment(1);
                if self.node.log_limiter.permits(DecisionKind::Unserved) {
                    log::info!(
                        request = request_id, revision = routes.revision.0, sent = key.is_some();
                        "entry: no valid key"
                    );
                }
                let text = RefusalReason::UnknownAccount.to_string();
                Err(Box::new(text_response(StatusCode::UNAUTHORIZED, &text)))
            }
        }
    }

    fn refuse_stale(&self, request_id: &str, routes: &RouteTable) -> Response<ResponseBody> {
        counter!("apricotrun_stale_configuration_total").increment(1);
        if self.node.log_limiter.permits(DecisionKind::Unserved) {
            let age = lock(&self.node.freshness).age(self.node.clock.boot());
            log::info!(
                request = request_id, revision = routes.revision.0,
                age_ms = age.map_or(0, |age| age.as_millis() as u64);
                "entry: the configuration is too old for keys"
            );
        }
        let wait = Duration::from_millis(rand::rng().random_range(STALE_RETRY_MS));
        let refusal = Refusal::not_run(RefusalReason::StaleConfiguration);
        refusal_response(&refusal.with_retry_after(wait))
    }

    /// Returns whether the configuration is recent enough for callers' keys, or needs none.
    pub fn is_fresh(&self) -> bool {
        let now = self.node.clock.boot();
        let Some(routes) = lock(&self.routes).current().cloned() else { return false };
        routes.accounts.is_none() || lock(&self.node.freshness).is_fresh(now, routes.revision)
    }

    /// Takes the cost of a request from its account's allotment, and waits for tokens for at most
    /// `patience`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time at which there are tokens again.
    pub async fn charge(
        &self,
        identity: &CallerIdentity,
        cost: f64,
        patience: Duration,
    ) -> Result<(), Refusal> {
        let account = &identity.account.name;
        let taken = self.node.take_tokens(account, cost, patience).await;
        let name = account.to_string();
        match &taken {
            Ok(()) => {
                counter!("apricotrun_account_tokens_total", "account" => name)
                    .increment(cost as u64);
            }
            Err(_) => {
                counter!("apricotrun_account_refusals_total", "account" => name).increment(1);
            }
        }
        taken
    }
}
