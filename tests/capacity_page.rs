//! The tables of docs/CAPACITY.md are the output that the measurement left in docs/measurements.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

const MARK: &str = "<!-- measured: ";

/// Returns the text blocks of the page by the file that each must equal.
fn blocks(page: &str) -> BTreeMap<String, String> {
    let mut blocks = BTreeMap::new();
    for part in page.split(MARK).skip(1) {
        let (name, rest) = part.split_once(" -->\n```text\n").expect("a block follows the mark");
        let (block, _) = rest.split_once("```").expect("the block ends");
        blocks.insert(name.to_owned(), block.to_owned());
    }
    blocks
}

#[test]
fn page_shows_what_was_measured() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let page = fs::read_to_string(docs.join("CAPACITY.md")).expect("the page");
    let blocks = blocks(&page);
    assert!(blocks.len() >= 6, "{:?}", blocks.keys());
    for (name, block) in blocks {
        let measured = fs::read_to_string(docs.join("measurements").join(&name));
        assert_eq!(block, measured.expect("the measurement is kept"), "{name}");
    }
}
