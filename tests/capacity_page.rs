//! The tables in docs/CAPACITY.md equal the results that the measurements wrote to
//! docs/measurements.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// The start of the comment that names the file of the table that follows it.
const MARKER: &str = "<!-- measured: ";

/// Returns the tables of the page by the name of the file that each must equal.
fn marked_tables(page: &str) -> BTreeMap<String, String> {
    let mut tables = BTreeMap::new();
    for part in page.split(MARKER).skip(1) {
        let (name, rest) = part.split_once(" -->\n```text\n").expect("a table follows the marker");
        let (table, _) = rest.split_once("```").expect("the table is closed");
        tables.insert(name.to_owned(), table.to_owned());
    }
    tables
}

#[test]
fn page_matches_the_measurements() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let page = fs::read_to_string(docs.join("CAPACITY.md")).expect("the page is readable");
    let tables = marked_tables(&page);
    assert!(tables.len() >= 6, "{:?}", tables.keys());
    for (name, table) in tables {
        let measured = fs::read_to_string(docs.join("measurements").join(&name));
        assert_eq!(table, measured.expect("the measurement file is readable"), "{name}");
    }
}
