//! Checks that names of the platform's protocol occur only in `platform/`.

use std::fs;
use std::path::{Path, PathBuf};

/// Headers, fields and paths of the platform whose names have no other use.
const PLATFORM_NAMES: [&str; 21] = [
    "Expect-Instance",
    "Kv-Source",
    "Not-Executed",
    "Prefix-Hash",
    "Server-Leaving",
    "Server-Seal",
    "Store-Era",
    "Token-Count",
    "expect-instance",
    "fencing_token",
    "kv-handle",
    "kv-source",
    "kv_capacity",
    "not-executed",
    "prefix-hash",
    "route_kind",
    "server-leaving",
    "store-era",
    "token-count",
    "traffic_split",
    "transfer_handle",
];

/// Collects the paths of all Rust files below a folder.
fn collect_sources(folder: &Path, paths: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, paths);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            paths.push(path);
        }
    }
}

#[test]
fn library_contains_no_platform_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&root.join("src"), &mut files);
    collect_sources(&root.join("standins/src"), &mut files);
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{}: {name}", file.display());
        }
    }
}
