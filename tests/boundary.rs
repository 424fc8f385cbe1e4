//! The platform's own words stay in `platform/`.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of the platform's headers, fields and paths that nothing else calls so.
const PLATFORM_WORDS: [&str; 17] = [
    "Expect-Instance",
    "Kv-Source",
    "Not-Executed",
    "Prefix-Hash",
    "Server-Seal",
    "Token-Count",
    "expect-instance",
    "fencing_token",
    "kv-handle",
    "kv-source",
    "kv_capacity",
    "not-executed",
    "prefix-hash",
    "route_kind",
    "token-count",
    "traffic_split",
    "transfer_handle",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn the_library_knows_no_word_of_the_platform() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("standins/src"), &mut files);
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        for word in PLATFORM_WORDS {
            assert!(!text.contains(word), "{}: {word}", file.display());
        }
    }
}
