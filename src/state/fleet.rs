//! Templates, client accounts and the configuration made of them. See docs/CONFIGURATION.md.

use crate::state::ids::{
    AccountName, DomainName, IdError, Incarnation, Revision, ServiceName, UpstreamName,
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

/// The largest document that is accepted, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// What an upstream does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Decodes answers.
    Decode,
    /// Serves plain calls.
    Plain,
    /// Computes the KV cache of prompts.
    Prefill,
}

/// Who places the requests of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementScope {
    /// The owner of each failure domain's shard, which knows exactly what its upstreams hold.
    #[default]
    Domain,
    /// Every entry alone, for services whose calls are too short to be worth a question.
    Entry,
}

/// One upstream of a service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Its HTTP address.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddr,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Whether it takes no new work, because it is leaving.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Distinguishes its lives under one name; a new life holds nothing of an earlier one.
    #[serde(default, rename = "life")]
    pub incarnation: Incarnation,
    /// Its name, unique within the service.
    pub name: UpstreamName,
    /// Its engine memory; unlimited when absent.
    #[serde(default, rename = "pieces")]
    pub kv_blocks: Option<KvBlocks>,
    /// What it does.
    pub role: UpstreamRole,
    /// How many requests it runs at the same time.
    pub slots: Slots,
}

/// An adapter that the engines of a service must have loaded.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The name under which callers ask for it.
    pub name: String,
    /// Where the engine finds its weights.
    pub path: String,
}

/// A kind of call that may not be repeated: a method and the start of a path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct CallPattern {
    method: String,
    path: String,
}

impl CallPattern {
    /// Returns whether a call is of this kind.
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

/// One kind of service, as its operators describe it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// The adapters that every engine must have loaded, and no others; engines without this key
    /// are left as they are.
    #[serde(default, rename = "adapter", skip_serializing_if = "Option::is_none")]
    pub adapters: Option<Vec<AdapterSpec>>,
    /// The target for the time between two tokens, in milliseconds.
    #[serde(default, rename = "between_token_target_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub inter_token_target: Duration,
    /// Whether decode workers compute prompts themselves when no prefill worker can.
    #[serde(default, rename = "decode_computes")]
    pub local_prefill: bool,
    /// The longest time that a request may take, in milliseconds.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// How long a prefill worker keeps a result that nobody fetched, in milliseconds.
    #[serde(default, rename = "eviction_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eviction: Duration,
    /// The target for the time to the first token, in milliseconds.
    #[serde(rename = "first_token_target_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token_target: Duration,
    /// The speed of the link into one decode worker; zero when it is no limit.
    #[serde(default)]
    pub link_tokens_per_second: TokenRate,
    /// The models that the service answers for.
    #[serde(default)]
    pub models: BTreeSet<String>,
    /// The calls that may not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
    /// Who places its requests.
    #[serde(default)]
    pub placement: PlacementScope,
    /// Whether every failure domain's owner uses the prefill workers of all. They hold no memory for
    /// long, so that no exact account is needed, and there may be fewer of them than failure domains.
    #[serde(default)]
    pub shared_prefill: bool,
    /// The tokens that one piece of engine memory holds.
    #[serde(default = "default_block_tokens", rename = "piece_tokens")]
    pub block_tokens: Tokens,
    /// The speed of one prefill worker.
    #[serde(default)]
    pub prefill_tokens_per_second: TokenRate,
    /// How long a ticket is honoured and its answer kept, in milliseconds.
    #[serde(default = "default_window", rename = "retry_window_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_window: Duration,
    /// The service's name.
    pub service: ServiceName,
    /// The time that an engine takes for one token, in milliseconds. With it, engine memory is forecast
    /// over time; without it, each request reserves all that it may need.
    #[serde(default, rename = "token_time_ms")]
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    pub token_time: Option<Duration>,
    /// The upstreams.
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
                return Err(format!("adapter {:?} is empty or stands twice", adapter.name));
            }
        }
        let mut names = BTreeSet::new();
        for upstream in &self.upstreams {
            if !names.insert(&upstream.name) {
                return Err(format!("upstream {:?} stands twice", upstream.name.as_str()));
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

/// What one client account may use of one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountQuota {
    /// The largest part of the slots that the account may hold, from 0 to 1.
    #[serde(default = "default_ceiling")]
    pub ceiling: f64,
    /// How many requests of the account may wait in one shard.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
    /// The part of the slots that the account has a right to, from 0 to 1.
    pub share: f64,
}

/// One client account's parameters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountParameters {
    /// The account's name.
    pub account: AccountName,
    /// The BLAKE3 digest of the account's bearer key, in hexadecimal digits.
    pub key_digest: String,
    /// What it may use of each service.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, AccountQuota>,
}

impl AccountParameters {
    fn check(&self) -> Result<(), String> {
        for (service, grant) in &self.services {
            let fraction = 0.0..=1.0;
            if !fraction.contains(&grant.share) || !fraction.contains(&grant.ceiling) {
                return Err(format!(
                    "services.{service}: share and ceiling must lie between 0 and 1"
                ));
            }
        }
        Ok(())
    }
}

/// Returns the digest under which an account's bearer key is kept.
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// What a document describes, and for whom.
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

/// One document at one revision. An empty text marks a removed document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredDocument {
    /// The revision of the configuration that brought this text.
    pub revision: Revision,
    /// The TOML text.
    pub text: String,
}

/// Says why a document cannot come into force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("document {name}: {reason}")]
pub struct DocumentError {
    /// Which document.
    pub name: DocumentName,
    /// What is wrong with it.
    pub reason: String,
}

/// A whole configuration, checked; it never changes once built.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// The accounts by name.
    pub accounts: BTreeMap<AccountName, Arc<AccountParameters>>,
    /// The documents that it was built from.
    pub documents: BTreeMap<DocumentName, StoredDocument>,
    /// Its number.
    pub revision: Revision,
    /// The templates by service.
    pub templates: BTreeMap<ServiceName, Arc<ServiceTemplate>>,
    keys: BTreeMap<String, AccountName>,
}

impl FleetConfig {
    /// Checks every document and builds the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first document that is not valid.
    pub fn build(
        revision: Revision,
        documents: BTreeMap<DocumentName, StoredDocument>,
    ) -> Result<Self, DocumentError> {
        let mut config = Self { revision, ..Self::default() };
        for (name, document) in &documents {
            if !document.text.is_empty() {
                config.add(name, &document.text)?;
            }
        }
        config.documents = documents;
        Ok(config)
    }

    /// Returns a configuration of parts that another source has checked.
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

    fn add(&mut self, name: &DocumentName, text: &str) -> Result<(), DocumentError> {
        match parse_document(name, text)? {
            ParsedDocument::Account(account) => {
                let digest = account.key_digest.clone();
                if let Some(other) = self.keys.insert(digest, account.account.clone()) {
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
        let name = self.keys.get(&key_digest(key))?;
        self.accounts.get(name)
    }

    /// Returns the template that serves a model.
    pub fn template_of_model(&self, model: &str) -> Option<&Arc<ServiceTemplate>> {
        self.templates.values().find(|template| template.models.contains(model))
    }

    /// Returns the documents that came after `revision`.
    pub fn changes_since(&self, revision: Revision) -> BTreeMap<DocumentName, StoredDocument> {
        let newer = self.documents.iter().filter(|(_, document)| document.revision > revision);
        newer.map(|(name, document)| (name.clone(), document.clone())).collect()
    }
}

/// A document's content.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedDocument {
    /// A client account's parameters.
    Account(AccountParameters),
    /// A service's template.
    Template(ServiceTemplate),
}

/// Reads and checks one document.
///
/// # Errors
///
/// Returns what is wrong: size, syntax, an unknown key, a value outside its range, or a name that
/// differs from the document's.
pub fn parse_document(name: &DocumentName, text: &str) -> Result<ParsedDocument, DocumentError> {
    let fail = |reason: String| DocumentError { name: name.clone(), reason };
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(fail(format!("{} bytes are more than {MAX_DOCUMENT_BYTES}", text.len())));
    }
    match name {
        DocumentName::Account(expected) => {
            let account: AccountParameters =
                toml::from_str(text).map_err(|error| fail(error.to_string()))?;
            if account.account != *expected {
                return Err(fail(format!("account = {:?} differs", account.account.as_str())));
            }
            account.check().map_err(fail)?;
            Ok(ParsedDocument::Account(account))
        }
        DocumentName::Template(expected) => {
            let template: ServiceTemplate =
                toml::from_str(text).map_err(|error| fail(error.to_string()))?;
            if template.service != *expected {
                return Err(fail(format!("service = {:?} differs", template.service.as_str())));
            }
            template.check().map_err(fail)?;
            Ok(ParsedDocument::Template(template))
        }
    }
}
