//! The actions on stored documents that templates and accounts share.

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

/// Housekeeping runs after each edit whose revision is a multiple of this number.
const HOUSEKEEPING_INTERVAL: u64 = 16;
/// How many versions of a document housekeeping keeps, the current one included.
const KEPT_VERSIONS: usize = 20;

/// An action on the documents of one kind.
#[derive(Debug, clap::Subcommand)]
pub enum Action {
    /// Shows the lines that differ between two revisions.
    Diff {
        /// The document's name.
        name: String,
        /// The earlier revision.
        from: Revision,
        /// The later revision; the current one by default.
        to: Option<Revision>,
    },
    /// Opens the current text in $EDITOR and stores the result.
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
    /// Stores a file as the new text of a document.
    Put {
        /// The document's name.
        name: String,
        /// The TOML file with the new text.
        file: PathBuf,
        /// The revision that the change is based on; a later one is a conflict. The current one by
        /// default.
        #[arg(long)]
        base: Option<Revision>,
    },
    /// Removes a document.
    Remove {
        /// The document's name.
        name: String,
        /// The revision to remove; a later one is a conflict. The current one by default.
        #[arg(long)]
        base: Option<Revision>,
    },
}

/// Runs an action on documents of one kind, `template` or `account`.
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

/// Reads a document's text from a file.
pub fn read_file(path: &Path) -> CliResult<String> {
    let fail = |reason: String| CliError::Settings { path: path.to_owned(), reason };
    fs::read_to_string(path).map_err(|error| fail(error.to_string()))
}

/// Stores a document's text, where an empty text removes the document, and prints the new revision.
///
/// Without a base revision, the text replaces the current one.
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
        None => {
            find_location(store, name).await?.map(|location| location.revision).unwrap_or_default()
        }
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
            let result = json!({ "document": name, "revision": revision });
            config.print(&result, &format!("{name}: revision {revision}"))?;
            if revision.0.is_multiple_of(HOUSEKEEPING_INTERVAL) {
                run_housekeeping(store, name).await;
            }
            Ok(revision)
        }
        EditOutcome::Conflict(current) => Err(conflict(store, name, base, current, text).await),
    }
}

/// Returns the highest revision that any daemon has, or zero if none can be asked.
///
/// A new revision has to be higher: a store that was restored from a backup would otherwise assign
/// revisions that daemons already have.
async fn highest_revision(config: &Config) -> Revision {
    if !config.has_daemons() {
        return Revision::default();
    }
    let Ok(daemons) = config.daemons() else { return Revision::default() };
    let members = daemons.all_status().await.unwrap_or_default();
    let revisions = members.values().filter_map(|member| member.status.as_ref().ok());
    let revisions = revisions.filter_map(|status| status["revision"].as_u64());
    Revision(revisions.max().unwrap_or_default())
}

/// Returns the error for an edit based on a revision that is no longer current, with the
/// differences between the current text and the author's.
async fn conflict(
    store: &dyn KeyStore,
    name: &DocumentName,
    base: Revision,
    current: Revision,
    text: &str,
) -> CliError {
    let current_text = text_of_revision(store, name, current).await.unwrap_or_default();
    let difference = diff_lines(&current_text, text);
    CliError::Conflict(format!(
        "{name} is at revision {current}, not {base}: it was changed in the meantime.\n\
         The current text (-) and yours (+):\n{difference}\
         Merge the other change into your file and put it again with --base {current}."
    ))
}

async fn get(config: &Config, store: &dyn KeyStore, name: &DocumentName) -> CliResult<()> {
    let location = current_location(store, name).await?;
    let value = read_document(store, name, &location).await?;
    if value.text.is_empty() {
        let reason = format!("{name} was removed at revision {}", location.revision);
        return Err(CliError::Remote(reason));
    }
    let result = json!({ "document": name, "revision": location.revision, "text": value.text });
    if !config.json {
        eprintln!("{name}: revision {}", location.revision);
    }
    config.print(&result, value.text.trim_end())
}

async fn edit(config: &Config, store: &dyn KeyStore, name: &DocumentName) -> CliResult<()> {
    let location = current_location(store, name).await?;
    let before = read_document(store, name, &location).await?.text;
    let file = std::env::temp_dir().join(format!("apricotctl-{}.toml", std::process::id()));
    fs::write(&file, &before)?;
    let editor = std::env::var("EDITOR").unwrap_or_else(|_| "vi".to_owned());
    let status = Command::new(editor).arg(&file).status()?;
    let after = fs::read_to_string(&file)?;
    if !status.success() || after == before {
        fs::remove_file(&file)?;
        return Err(CliError::Remote("the text was not changed".to_owned()));
    }
    let outcome = put(config, store, name, &after, Some(location.revision)).await;
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
    for (name, location) in &head.documents {
        if name.to_string().starts_with(&prefix) {
            rows.push(json!({ "document": name, "revision": location.revision }));
        }
    }
    let lines = rows.iter().map(|row| format!("{} {}", row["revision"], row["document"]));
    config.print(&rows, &lines.collect::<Vec<_>>().join("\n").replace('"', ""))
}

async fn history(config: &Config, store: &dyn KeyStore, name: &DocumentName) -> CliResult<()> {
    let rows = stored_versions(store, name).await?;
    let rows: Vec<_> = rows
        .into_iter()
        .map(|(location, value)| {
            json!({
                "author": value.author,
                "bytes": value.text.len(),
                "removed": value.text.is_empty(),
                "revision": location.revision,
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
        None => current_location(store, name).await?.revision,
    };
    let before = text_of_revision(store, name, from).await?;
    let after = text_of_revision(store, name, to).await?;
    let lines = diff_lines(&before, &after);
    config.print(&json!({ "from": from, "to": to, "diff": lines }), lines.trim_end())
}

/// Returns where the current version of a document is stored, if there is one.
async fn find_location(
    store: &dyn KeyStore,
    name: &DocumentName,
) -> CliResult<Option<DocumentLocation>> {
    let (head, _) = read_head(store).await?;
    Ok(head.documents.get(name).cloned())
}

/// Returns where the current version of a document is stored, or an error if there is none.
async fn current_location(
    store: &dyn KeyStore,
    name: &DocumentName,
) -> CliResult<DocumentLocation> {
    let location = find_location(store, name).await?;
    location.ok_or_else(|| CliError::Remote(format!("{name} does not exist; see the list command")))
}

/// Returns the versions of a document that are still stored, the newest first.
async fn stored_versions(
    store: &dyn KeyStore,
    name: &DocumentName,
) -> CliResult<Vec<(DocumentLocation, DocumentValue)>> {
    let mut rows = Vec::new();
    let mut next = find_location(store, name).await?;
    while let Some(location) = next {
        let Ok(value) = read_document(store, name, &location).await else { break };
        next = value.parent.clone();
        rows.push((location, value));
    }
    Ok(rows)
}

/// Returns the text of one revision of a document.
async fn text_of_revision(
    store: &dyn KeyStore,
    name: &DocumentName,
    revision: Revision,
) -> CliResult<String> {
    let rows = stored_versions(store, name).await?;
    let row = rows.into_iter().find(|(location, _)| location.revision == revision);
    let missing = || CliError::Remote(format!("{name}: no text of revision {revision} is stored"));
    row.map(|(_, value)| value.text).ok_or_else(missing)
}

/// Removes old versions of a document and refreshes the snapshot of all documents. Errors are
/// ignored, since a later edit tries again.
async fn run_housekeeping(store: &dyn KeyStore, name: &DocumentName) {
    prune_versions(store, name).await;
    let _ = refresh_snapshot(store).await;
}

/// Removes all but the newest [`KEPT_VERSIONS`] versions of a document.
async fn prune_versions(store: &dyn KeyStore, name: &DocumentName) {
    let rows = stored_versions(store, name).await.unwrap_or_default();
    for (location, _) in rows.iter().skip(KEPT_VERSIONS) {
        let _ = store.remove(&document_key(name, location)).await;
    }
}

/// Returns the lines that only one of two texts has, in order: `-` marks lines of the old text and
/// `+` lines of the new one. The lines in common are a longest common subsequence.
fn diff_lines(before: &str, after: &str) -> String {
    let (old, new): (Vec<_>, Vec<_>) = (before.lines().collect(), after.lines().collect());
    // common[i][j] is the length of the longest common subsequence of old[i..] and new[j..].
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
