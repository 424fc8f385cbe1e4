//! Service templates, client accounts and the configuration that they form. See
//! docs/CONFIGURATION.md.

use crate::state::ids::{
    AccountName, DomainName, IdError, Incarnation, Revision, ServiceName, SoftwareVersion,
    UpstreamName,
};
use crate::state::units::{KvBlocks, Slots, TokenRate, Tokens};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, DurationMilliSecondsWithFrac, serde_as};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// The largest accepted document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// The stage of a request that an upstream serves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Generates the tokens of responses.
    Decode,
    /// Serves plain calls, without prefill and decode.
    Plain,
    /// Computes the KV cache of prompts.
    Prefill,
}

/// Who assigns the requests of a service to upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementScope {
    /// The owner of each failure domain's shard, which knows exactly what its upstreams hold.
    #[default]
    Domain,
    /// Every entry on its own, for services whose calls are too short to ask an owner first.
    Entry,
}

/// An upstream of a service, as operators describe it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// The HTTP address.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddr,
    /// Whether it refuses an order that carries an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The failure domain that it belongs to.
    pub domain: DomainName,
    /// Whether it gets no new requests, because it is about to stop.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Distinguishes successive processes under one name; a new one holds nothing of an earlier
    /// one.
    #[serde(default, rename = "life")]
    pub incarnation: Incarnation,
    /// The name, unique within the service.
    pub name: UpstreamName,
    /// The size of its KV cache in blocks; unlimited when absent.
    #[serde(default, rename = "pieces")]
    pub kv_blocks: Option<KvBlocks>,
    /// The stage that it serves.
    pub role: UpstreamRole,
    /// The number of requests that it runs concurrently.
    pub slots: Slots,
    /// The version of its software.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// A LoRA adapter that the engines of a service must have loaded.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The model name under which callers request it.
    pub name: String,
    /// The path at which the engine finds its weights.
    pub path: String,
}

/// A pattern of calls that may run at most once: a method and the prefix of a path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct CallPattern {
    method: String,
    path: String,
}

impl CallPattern {
    /// Returns whether a call matches; the method's case does not matter.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method.eq_ignore_ascii_case(method) && path.starts_with(&self.path)
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

impl FromStr for CallPattern {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(' ') {
            Some((method, path)) if path.starts_with('/') && !method.is_empty() => {
                Ok(Self { method: method.to_owned(), path: path.to_owned() })
            }
            _ => Err(IdError {
                kind: "call pattern",
                value: text.to_owned(),
                allowed: "a method, one space and a path that starts with '/' are allowed",
            }),
        }
    }
}

impl From<CallPattern> for String {
    fn from(pattern: CallPattern) -> String {
        pattern.to_string()
    }
}

impl TryFrom<String> for CallPattern {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

fn default_block_tokens() -> Tokens {
    Tokens(2000)
}

fn default_window() -> Duration {
    Duration::from_secs(600)
}

/// The template of a service, as operators describe it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// The adapters that every engine must have loaded, and no others. When the key is absent, the
    /// engines keep the adapters that they have.
    #[serde(default, rename = "adapter", skip_serializing_if = "Option::is_none")]
    pub adapters: Option<Vec<AdapterSpec>>,
    /// The target for the mean time between two tokens, in milliseconds.
    #[serde(default, rename = "between_token_target_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub inter_token_target: Duration,
    /// Whether decode workers compute prompts themselves when no prefill worker can.
    #[serde(default, rename = "decode_computes")]
    pub local_prefill: bool,
    /// The longest duration of a request, in milliseconds.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// How long a prefill worker keeps a result that is not fetched, in milliseconds.
    #[serde(default, rename = "eviction_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub prefill_retention: Duration,
    /// The target for the time to first token, in milliseconds.
    #[serde(rename = "first_token_target_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token_target: Duration,
    /// How much longer a request may wait for engines before it leaves the failure domain, in
    /// milliseconds. When given, the owner decides which requests leave.
    #[serde(default, rename = "leaving_cost_ms")]
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    pub leaving_cost: Option<Duration>,
    /// The transfer rate of the link into one decode worker; zero for no limit.
    #[serde(default)]
    pub link_tokens_per_second: TokenRate,
    /// The names of the models that the service serves.
    #[serde(default)]
    pub models: BTreeSet<String>,
    /// The calls that may run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
    /// Who assigns the requests to upstreams.
    #[serde(default)]
    pub placement: PlacementScope,
    /// Whether the owner in each failure domain uses the prefill workers of all failure domains.
    /// They hold KV cache only briefly, so no exact accounting of it is needed, and there may be
    /// fewer of them than failure domains.
    #[serde(default)]
    pub shared_prefill: bool,
    /// How much longer a plain call may wait before it leaves the failure domain, in milliseconds. When
    /// given, calls go where they are expected to be complete first, if upstreams report their load.
    #[serde(default, rename = "remote_cost_ms")]
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    pub remote_cost: Option<Duration>,
    /// The number of tokens in one KV-cache block.
    #[serde(default = "default_block_tokens", rename = "piece_tokens")]
    pub block_tokens: Tokens,
    /// The prefill rate of one worker; zero when it is not known.
    #[serde(default)]
    pub prefill_tokens_per_second: TokenRate,
    /// How long a ticket is valid and its response kept, in milliseconds.
    #[serde(default = "default_window", rename = "retry_window_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_window: Duration,
    /// The name of the service.
    pub service: ServiceName,
    /// The time that an engine takes for one token, in milliseconds. When given, the use of KV
    /// cache is forecast over time; when absent, each request reserves all blocks that it may need.
    #[serde(default, rename = "token_time_ms")]
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    pub token_time: Option<Duration>,
    /// Upstreams in all failure domains.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<UpstreamSpec>,
}

impl ServiceTemplate {
    /// Returns whether a call may run at most once.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent.iter().any(|pattern| pattern.matches(method, path))
    }

    fn check(&self) -> Result<(), String> {
        let mut adapters = BTreeSet::new();
        for adapter in self.adapters.iter().flatten() {
            if adapter.name.is_empty() || !adapters.insert(&adapter.name) {
                return Err(format!("adapter {:?} is empty or listed twice", adapter.name));
            }
        }
        let mut names = BTreeSet::new();
        for upstream in &self.upstreams {
            if !names.insert(&upstream.name) {
                return Err(format!("upstream {:?} is listed twice", upstream.name.as_str()));
            }
            if upstream.slots.0 == 0 {
                return Err(format!(
                    "upstream {:?} has slots = 0; at least 1 is needed",
                    upstream.name.as_str()
                ));
            }
        }
        if self.deadline.is_zero() {
            return Err("deadline_ms = 0; at least 1 is needed".to_owned());
        }
        if self.first_token_target.is_zero() || self.first_token_target > self.deadline {
            return Err("first_token_target_ms must lie between 1 and deadline_ms".to_owned());
        }
        if self.block_tokens.0 == 0 {
            return Err("piece_tokens = 0; at least 1 is needed".to_owned());
        }
        Ok(())
    }
}

fn default_ceiling() -> f64 {
    1.0
}

fn default_waiting() -> u32 {
    1000
}

/// The quota of one client account for one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountQuota {
    /// The largest fraction of the slots that the account may hold, from 0 to 1.
    #[serde(default = "default_ceiling")]
    pub ceiling: f64,
    /// The largest number of requests of the account that may wait in one shard.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
    /// The fraction of the slots that the account is entitled to, from 0 to 1.
    pub share: f64,
}

/// The parameters of one client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountParameters {
    /// The name of the account.
    pub account: AccountName,
    /// The BLAKE3 digest of the account's bearer key, in hexadecimal digits.
    pub key_digest: String,
    /// The quotas by service.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, AccountQuota>,
}

impl AccountParameters {
    fn check(&self) -> Result<(), String> {
        for (service, quota) in &self.services {
            let fraction = 0.0..=1.0;
            if !fraction.contains(&quota.share) || !fraction.contains(&quota.ceiling) {
                return Err(format!(
                    "services.{service}: share and ceiling must lie between 0 and 1"
                ));
            }
        }
        Ok(())
    }
}

/// Returns the digest that documents keep in place of an account's bearer key.
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// The name of a configuration document: its kind, and the account or service that it describes.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub enum DocumentName {
    /// A client account's parameters.
    Account(AccountName),
    /// A service's template.
    Template(ServiceName),
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account(name) => write!(f, "account/{name}"),
            Self::Template(name) => write!(f, "template/{name}"),
        }
    }
}

impl FromStr for DocumentName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('/') {
            Some(("account", name)) => Ok(Self::Account(name.parse()?)),
            Some(("template", name)) => Ok(Self::Template(name.parse()?)),
            _ => Err(IdError {
                kind: "document",
                value: text.to_owned(),
                allowed: "account/NAME and template/NAME are allowed",
            }),
        }
    }
}

impl From<DocumentName> for String {
    fn from(name: DocumentName) -> String {
        name.to_string()
    }
}

impl TryFrom<String> for DocumentName {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// A document at one revision. An empty text is the tombstone of a removed document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredDocument {
    /// The revision of the configuration that introduced this text.
    pub revision: Revision,
    /// The content as TOML.
    pub text: String,
}

/// An error in a configuration document, which keeps it from coming into force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("document {name}: {reason}")]
pub struct DocumentError {
    /// The document with the error.
    pub name: DocumentName,
    /// The description of the error.
    pub reason: String,
}

/// A complete, validated configuration; immutable once built.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// The accounts by name.
    pub accounts: BTreeMap<AccountName, Arc<AccountParameters>>,
    /// The documents that it was built from; empty if they were validated elsewhere.
    pub documents: BTreeMap<DocumentName, StoredDocument>,
    /// The revision of the configuration.
    pub revision: Revision,
    /// The templates by service.
    pub templates: BTreeMap<ServiceName, Arc<ServiceTemplate>>,
    accounts_by_digest: BTreeMap<String, AccountName>,
}

impl FleetConfig {
    /// Validates every document and builds the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error for the first document that is not valid.
    pub fn build(
        revision: Revision,
        documents: BTreeMap<DocumentName, StoredDocument>,
    ) -> Result<Self, DocumentError> {
        let mut config = Self { revision, ..Self::default() };
        for (name, document) in &documents {
            if !document.text.is_empty() {
                config.add_document(name, &document.text)?;
            }
        }
        config.documents = documents;
        Ok(config)
    }

    /// Builds a configuration from accounts and templates that were validated elsewhere.
    pub fn from_parts(
        revision: Revision,
        accounts: impl IntoIterator<Item = AccountParameters>,
        templates: impl IntoIterator<Item = ServiceTemplate>,
    ) -> Self {
        let accounts = accounts.into_iter().map(|a| (a.account.clone(), Arc::new(a)));
        let templates = templates.into_iter().map(|t| (t.service.clone(), Arc::new(t)));
        Self {
            accounts: accounts.collect(),
            revision,
            templates: templates.collect(),
            ..Self::default()
        }
    }

    fn add_document(&mut self, name: &DocumentName, text: &str) -> Result<(), DocumentError> {
        match parse_document(name, text)? {
            ParsedDocument::Account(account) => {
                let digest = account.key_digest.clone();
                if let Some(other) = self.accounts_by_digest.insert(digest, account.account.clone())
                {
                    let reason = format!("account {other} has the same key_digest");
                    return Err(DocumentError { name: name.clone(), reason });
                }
                self.accounts.insert(account.account.clone(), Arc::new(account));
            }
            ParsedDocument::Template(template) => {
                self.templates.insert(template.service.clone(), Arc::new(template));
            }
        }
        Ok(())
    }

    /// Returns the account that a bearer key belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&Arc<AccountParameters>> {
        let name = self.accounts_by_digest.get(&key_digest(key))?;
        self.accounts.get(name)
    }

    /// Returns the template of the service that serves a model.
    pub fn template_of_model(&self, model: &str) -> Option<&Arc<ServiceTemplate>> {
        self.templates.values().find(|template| template.models.contains(model))
    }

    /// Returns the documents that were changed or removed after `revision`.
    pub fn changes_since(&self, revision: Revision) -> BTreeMap<DocumentName, StoredDocument> {
        let newer = self.documents.iter().filter(|(_, document)| document.revision > revision);
        newer.map(|(name, document)| (name.clone(), document.clone())).collect()
    }
}

/// The parsed content of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedDocument {
    /// A client account's parameters.
    Account(AccountParameters),
    /// A service's template.
    Template(ServiceTemplate),
}

/// Parses and validates one document.
///
/// # Errors
///
/// Returns an error for a document that is too large, is not valid TOML, has an unknown key or a
/// value outside its range, or gives another name than the document's.
pub fn parse_document(name: &DocumentName, text: &str) -> Result<ParsedDocument, DocumentError> {
    let fail = |reason: String| DocumentError { name: name.clone(), reason };
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(fail(format!("{} bytes exceed the limit of {MAX_DOCUMENT_BYTES}", text.len())));
    }
    match name {
        DocumentName::Account(expected) => {
            let account: AccountParameters =
                toml::from_str(text).map_err(|error| fail(error.to_string()))?;
            if account.account != *expected {
                return Err(fail(format!(
                    "account = {:?} does not match the document's name",
                    account.account.as_str()
                )));
            }
            account.check().map_err(fail)?;
            Ok(ParsedDocument::Account(account))
        }
        DocumentName::Template(expected) => {
            let template: ServiceTemplate =
                toml::from_str(text).map_err(|error| fail(error.to_string()))?;
            if template.service != *expected {
                return Err(fail(format!(
                    "service = {:?} does not match the document's name",
                    template.service.as_str()
                )));
            }
            template.check().map_err(fail)?;
            Ok(ParsedDocument::Template(template))
        }
    }
}
