//! What templates and accounts have in common: reading, putting, editing, history, differences.

use crate::config::Config;
use apricotrun::coordination::store::{
    DocumentEdit, DocumentLocation, DocumentValue, EditOutcome, KeyStore, document_key,
    put_document, read_document, read_head, refresh_snapshot,
};
use apricotrun::prelude::Revision;
use apricotrun::state::fleet::{DocumentName, parse_document};
use apricotrun::transport::error::{CliError, CliResult};
use serde_json::json;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// After how many revisions an author's tool tidies the store.
const HOUSEKEEPING_EVERY: u64 = 16;
/// How many earlier texts of a document are kept.
const KEPT_TEXTS: usize = 20;

/// What can be done with a document.
#[derive(Debug, clap::Subcommand)]
pub enum Action {
    /// Shows how one text differs from another.
    Diff {
        /// The document's name.
        name: String,
        /// The earlier revision.
        from: Revision,
        /// The later revision; the current one by default.
        to: Option<Revision>,
    },
    /// Opens the current text in $EDITOR and puts the result in place.
    Edit {
        /// The document's name.
        name: String,
    },
    /// Prints the current text.
    Get {
        /// The document's name.
        name: String,
    },
    /// Lists the revisions of a document.
    History {
        /// The document's name.
        name: String,
    },
    /// Lists the documents.
    List,
    /// Puts a file in place of the current text.
    Put {
        /// The document's name.
        name: String,
        /// The file.
        file: PathBuf,
        /// The revision of the text that was changed; without it the current one is replaced.
        #[arg(long)]
        base: Option<Revision>,
    },
    /// Removes a document.
    Remove {
        /// The document's name.
        name: String,
        /// The revision that was looked at; without it the current one is removed.
        #[arg(long)]
        base: Option<Revision>,
    },
}

/// Carries an action out for documents of one kind, `template` or `account`.
pub async fn run(config: &Config, kind: &str, action: Action) -> CliResult<()> {
    let store = config.store()?;
    let store: &dyn KeyStore = &store;
    let named = |name: &str| -> CliResult<DocumentName> { Ok(format!("{kind}/{name}").parse()?) };
    match action {
        Action::Diff { name, from, to } => diff(config, store, &named(&name)?, from, to).await,
        Action::Edit { name } => edit(config, store, &named(&name)?).await,
        Action::Get { name } => get(config, store, &named(&name)?).await,
        Action::History { name } => history(config, store, &named(&name)?).await,
        Action::List => list(config, store, kind).await,
        Action::Put { name, file, base } => {
            let text = read_file(&file)?;
            put(config, store, &named(&name)?, &text, base).await.map(|_| ())
        }
        Action::Remove { name, base } => {
            put(config, store, &named(&name)?, "", base).await.map(|_| ())
        }
    }
}

/// Reads a document file.
pub fn read_file(path: &Path) -> CliResult<String> {
    let fail = |reason: String| CliError::Settings { path: path.to_owned(), reason };
    fs::read_to_string(path).map_err(|error| fail(error.to_string()))
}

/// Puts a text in place and prints the revision that it brought.
pub async fn put(
    config: &Config,
    store: &dyn KeyStore,
    name: &DocumentName,
    text: &str,
    base: Option<Revision>,
) -> CliResult<Revision> {
    if !text.is_empty() {
        parse_document(name, text)?;
    }
    let base = match base {
        Some(base) => base,
        None => place_of(store, name).await?.map(|place| place.revision).unwrap_or_default(),
    };
    let edit = DocumentEdit {
        author: std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()),
        base,
        min_revision: highest_revision(config).await,
        id: format!("{:016x}", rand::random::<u64>()),
        name: name.clone(),
        text: text.to_owned(),
    };
    match put_document(store, &edit).await? {
        EditOutcome::Accepted(revision) => {
            let answer = json!({ "document": name, "revision": revision });
            config.print(&answer, &format!("{name}: revision {revision}"))?;
            if revision.0.is_multiple_of(HOUSEKEEPING_EVERY) {
                keep_house(store, name).await;
            }
            Ok(revision)
        }
        EditOutcome::Conflict(current) => Err(conflict(store, name, base, current, text).await),
    }
}

/// A store that was restored from a copy must not hand out revisions that daemons already have.
async fn highest_revision(config: &Config) -> Revision {
    if !config.has_daemons() {
        return Revision::default();
    }
    let Ok(daemons) = config.daemons() else { return Revision::default() };
    let answers = daemons.all_status().await.unwrap_or_default();
    let revisions = answers.values().filter_map(|member| member.answer.as_ref().ok());
    let revisions = revisions.filter_map(|status| status["revision"].as_u64());
    Revision(revisions.max().unwrap_or_default())
}

/// Says what somebody else changed in the meantime.
async fn conflict(
    store: &dyn KeyStore,
    name: &DocumentName,
    base: Revision,
    current: Revision,
    text: &str,
) -> CliError {
    let theirs = text_at(store, name, current).await.unwrap_or_default();
    let difference = diff_lines(&theirs, text);
    CliError::Conflict(format!(
        "{name} is at revision {current}, not {base}: somebody changed it in the meantime.\n\
         Their text (-) and yours (+):\n{difference}\
         Take their change into your file and put it again with --base {current}."
    ))
}

async fn get(config: &Config, store: &dyn KeyStore, name: &DocumentName) -> CliResult<()> {
    let place = existing_place(store, name).await?;
    let value = read_document(store, name, &place).await?;
    if value.text.is_empty() {
        let reason = format!("{name} was removed at revision {}", place.revision);
        return Err(CliError::Remote(reason));
    }
    let answer = json!({ "document": name, "revision": place.revision, "text": value.text });
    if !config.json {
        eprintln!("{name}: revision {}", place.revision);
    }
    config.print(&answer, value.text.trim_end())
}

async fn edit(config: &Config, store: &dyn KeyStore, name: &DocumentName) -> CliResult<()> {
    let place = existing_place(store, name).await?;
    let before = read_document(store, name, &place).await?.text;
    let file = std::env::temp_dir().join(format!("apricotctl-{}.toml", std::process::id()));
    fs::write(&file, &before)?;
    let editor = std::env::var("EDITOR").unwrap_or_else(|_| "vi".to_owned());
    let status = Command::new(editor).arg(&file).status()?;
    let after = fs::read_to_string(&file)?;
    if !status.success() || after == before {
        fs::remove_file(&file)?;
        return Err(CliError::Remote("nothing was changed".to_owned()));
    }
    let outcome = put(config, store, name, &after, Some(place.revision)).await;
    match &outcome {
        Ok(_) => fs::remove_file(&file)?,
        Err(_) => eprintln!("apricotctl: your text is kept in {}", file.display()),
    }
    outcome.map(|_| ())
}

async fn list(config: &Config, store: &dyn KeyStore, kind: &str) -> CliResult<()> {
    let (head, _) = read_head(store).await?;
    let prefix = format!("{kind}/");
    let mut rows = Vec::new();
    for (name, place) in &head.documents {
        if name.to_string().starts_with(&prefix) {
            rows.push(json!({ "document": name, "revision": place.revision }));
        }
    }
    let lines = rows.iter().map(|row| format!("{} {}", row["revision"], row["document"]));
    config.print(&rows, &lines.collect::<Vec<_>>().join("\n").replace('"', ""))
}

async fn history(config: &Config, store: &dyn KeyStore, name: &DocumentName) -> CliResult<()> {
    let rows = texts(store, name).await?;
    let rows: Vec<_> = rows
        .into_iter()
        .map(|(place, value)| {
            json!({
                "author": value.author,
                "bytes": value.text.len(),
                "removed": value.text.is_empty(),
                "revision": place.revision,
            })
        })
        .collect();
    let line = |row: &serde_json::Value| {
        let what = if row["removed"] == true { "removed" } else { "changed" };
        format!("{} {what} by {} ({} bytes)", row["revision"], row["author"], row["bytes"])
    };
    let lines: Vec<_> = rows.iter().map(line).collect();
    config.print(&rows, &lines.join("\n"))
}

async fn diff(
    config: &Config,
    store: &dyn KeyStore,
    name: &DocumentName,
    from: Revision,
    to: Option<Revision>,
) -> CliResult<()> {
    let to = match to {
        Some(to) => to,
        None => existing_place(store, name).await?.revision,
    };
    let before = text_at(store, name, from).await?;
    let after = text_at(store, name, to).await?;
    let lines = diff_lines(&before, &after);
    config.print(&json!({ "from": from, "to": to, "diff": lines }), lines.trim_end())
}

async fn place_of(
    store: &dyn KeyStore,
    name: &DocumentName,
) -> CliResult<Option<DocumentLocation>> {
    let (head, _) = read_head(store).await?;
    Ok(head.documents.get(name).cloned())
}

async fn existing_place(store: &dyn KeyStore, name: &DocumentName) -> CliResult<DocumentLocation> {
    let place = place_of(store, name).await?;
    place.ok_or_else(|| CliError::Remote(format!("{name} does not exist; see the list command")))
}

/// Returns the kept texts of a document, the newest first.
async fn texts(
    store: &dyn KeyStore,
    name: &DocumentName,
) -> CliResult<Vec<(DocumentLocation, DocumentValue)>> {
    let mut rows = Vec::new();
    let mut next = place_of(store, name).await?;
    while let Some(place) = next {
        let Ok(value) = read_document(store, name, &place).await else { break };
        next = value.parent.clone();
        rows.push((place, value));
    }
    Ok(rows)
}

async fn text_at(
    store: &dyn KeyStore,
    name: &DocumentName,
    revision: Revision,
) -> CliResult<String> {
    let rows = texts(store, name).await?;
    let row = rows.into_iter().find(|(place, _)| place.revision == revision);
    let missing = || CliError::Remote(format!("{name} has no kept text of revision {revision}"));
    row.map(|(_, value)| value.text).ok_or_else(missing)
}

/// Brings the snapshot up to date and removes what is too old; a failure leaves that for later.
async fn keep_house(store: &dyn KeyStore, name: &DocumentName) {
    prune(store, name).await;
    let _ = refresh_snapshot(store).await;
}

/// Removes the texts that have become too old to keep.
async fn prune(store: &dyn KeyStore, name: &DocumentName) {
    let rows = texts(store, name).await.unwrap_or_default();
    for (place, _) in rows.iter().skip(KEPT_TEXTS) {
        let _ = store.remove(&document_key(name, place)).await;
    }
}

/// Returns the lines that only one of two texts has, in order.
fn diff_lines(before: &str, after: &str) -> String {
    let (old, new): (Vec<_>, Vec<_>) = (before.lines().collect(), after.lines().collect());
    let mut common = vec![vec![0usize; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i][j] = match old[i] == new[j] {
                true => common[i + 1][j + 1] + 1,
                false => common[i + 1][j].max(common[i][j + 1]),
            };
        }
    }
    let (mut i, mut j, mut lines) = (0, 0, String::new());
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            (i, j) = (i + 1, j + 1);
        } else if j == new.len() || (i < old.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push_str(&format!("- {}\n", old[i]));
            i += 1;
        } else {
            lines.push_str(&format!("+ {}\n", new[j]));
            j += 1;
        }
    }
    lines
}
