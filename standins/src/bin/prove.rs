//! A mutation test of the mechanisms in `tests/mechanisms.toml`: removes each from a scratch copy
//! of the project and expects its test to fail, which finds tests that pass without it.

use clap::Parser;
use serde::Deserialize;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Removes mechanisms one at a time from a copy of the project and expects their tests to fail.
#[derive(Debug, Parser)]
struct Args {
    /// The folder of the project.
    #[arg(long, default_value = ".")]
    project: PathBuf,
    /// The folder for the scratch copy and its build, which is reused by later runs.
    #[arg(long, default_value = "/tmp/apricotrun-prove")]
    scratch: PathBuf,
    /// Checks only mechanisms whose test contains this text.
    #[arg(long, default_value = "")]
    only: String,
}

/// The content of `tests/mechanisms.toml`.
#[derive(Debug, Deserialize)]
struct MechanismList {
    mechanism: Vec<Mechanism>,
}

/// A mechanism and the test that fails without it.
#[derive(Debug, Deserialize)]
struct Mechanism {
    /// What the project promises thanks to the mechanism.
    promise: String,
    mechanism: String,
    /// The source file to change.
    file: PathBuf,
    /// The code to replace, which must occur exactly once in the file.
    old: String,
    /// The replacement that removes the mechanism.
    new: String,
    /// The test as `FILE::NAME`.
    test: String,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse();
    let text = fs::read_to_string(args.project.join("tests/mechanisms.toml"))?;
    let list: MechanismList = toml::from_str(&text)?;
    copy_project(&args.project, &args.scratch)?;
    let mut unproven = 0;
    for mechanism in list.mechanism.iter().filter(|m| m.test.contains(&args.only)) {
        let verdict = check(&args.scratch, mechanism)?;
        unproven += usize::from(!verdict.starts_with("fails"));
        println!(
            "{}\n  without: {}\n  {}: {verdict}",
            mechanism.promise, mechanism.mechanism, mechanism.test
        );
    }
    println!("{unproven} mechanisms are not proved");
    match unproven {
        0 => Ok(()),
        _ => Err("a test passes without its mechanism or was not run".into()),
    }
}

/// Copies the files that git tracks in the project to the scratch folder.
fn copy_project(from: &Path, to: &Path) -> Result<(), Box<dyn Error>> {
    for folder in ["platform", "src", "standins", "tests"] {
        // Files that have been moved or deleted since the last run must not remain.
        if to.join(folder).exists() {
            fs::remove_dir_all(to.join(folder))?;
        }
    }
    let list = Command::new("git").args(["ls-files"]).current_dir(from).output()?;
    for name in String::from_utf8(list.stdout)?.lines() {
        let target = to.join(name);
        let folder = target.parent().ok_or("a tracked file has no parent folder")?;
        fs::create_dir_all(folder)?;
        let content = fs::read(from.join(name))?;
        fs::write(&target, content)?;
    }
    Ok(())
}

/// Runs a mechanism's test without the mechanism. Returns "fails" with the test's message if the
/// test fails as expected, and otherwise the reason why nothing is proved.
fn check(scratch: &Path, mechanism: &Mechanism) -> Result<String, Box<dyn Error>> {
    let path = scratch.join(&mechanism.file);
    let original = fs::read_to_string(&path)?;
    if original.matches(&mechanism.old).count() != 1 {
        return Ok(format!("not run: {:?} does not occur exactly once in the file", mechanism.old));
    }
    fs::write(&path, original.replace(&mechanism.old, &mechanism.new))?;
    let verdict = run_test(scratch, &mechanism.test);
    fs::write(&path, original)?;
    verdict
}

fn run_test(scratch: &Path, test: &str) -> Result<String, Box<dyn Error>> {
    let build = cargo(scratch, &["build", "--quiet", "--workspace", "--bins"])?;
    if !build.status.success() {
        return Ok("not run: the project does not build without the mechanism".to_owned());
    }
    let (file, name) =
        test.split_once("::").ok_or("a mechanism's test must have the form FILE::NAME")?;
    let output =
        cargo(scratch, &["test", "--quiet", "--workspace", "--test", file, "--", "--exact", name])?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if output.status.success() {
        return Ok("PASSES without the mechanism".to_owned());
    }
    if !text.contains("test result: FAILED") {
        return Ok("not run: the test does not build".to_owned());
    }
    let mut lines = text.lines().skip_while(|line| !line.contains("panicked at"));
    let reason = lines.nth(1).unwrap_or("no message");
    Ok(format!("fails: {}", reason.chars().take(100).collect::<String>()))
}

fn cargo(scratch: &Path, args: &[&str]) -> Result<Output, Box<dyn Error>> {
    let output = Command::new("cargo")
        .args(args)
        .current_dir(scratch)
        .env("RUST_BACKTRACE", "0")
        .env("CARGO_TARGET_DIR", scratch.join("target"))
        .output()?;
    Ok(output)
}
