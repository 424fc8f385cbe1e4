//! Runs `apricotctl` on recorded logs.

use standins::fleet::binaries_folder;
use std::fs;
use std::process::Command;

/// Writes the named files into a temporary folder, runs `apricotctl` there, and returns its standard
/// output and error.
pub fn run_on_logs(files: &[(&str, &str)], args: &[&str]) -> String {
    let folder = tempfile::tempdir().expect("temporary folder");
    for (name, text) in files {
        fs::write(folder.path().join(name), text).expect("file written");
    }
    let output = Command::new(binaries_folder().join("apricotctl"))
        .args(args)
        .current_dir(folder.path())
        .output()
        .expect("the program starts");
    let text = [output.stdout, output.stderr].concat();
    String::from_utf8_lossy(&text).into_owned()
}
