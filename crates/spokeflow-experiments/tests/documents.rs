//! The pages name only what exists: every path, package, program, flag, variable and type that stands in backticks in
//! the README and under `docs/` is looked for in the source. History (results, incidents, the printed capacity page)
//! shows former names and is left out.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages that show what was, or that a program prints.
const HISTORY: [&str; 4] = ["results.md", "CAPACITY.md", "incidents", "results"];
/// Shown as former names, on purpose.
const FORMER_NAMES: [&str; 7] = [
    "spokeflow-keeper",
    "spokeflow-fleet",
    "spokeflow-move",
    "spokeflow-lab",
    "spokeflow-standin",
    "spokeflow-emulator",
    "spokeflow-quorum",
];
const FORMER_PACKAGE: &str = "spokeflow-agreed";
/// Flags of programs that are not ours.
const FOREIGN_FLAGS: [&str; 13] = [
    "--release",
    "--locked",
    "--workspace",
    "--duplicates",
    "--rough",
    "--seed",
    "--nodes",
    "--quick",
    "--why",
    "--panel",
    "--all",
    "--check",
    "--help",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap().map(Result::unwrap) {
        let path = entry.path();
        let name = entry.file_name().into_string().unwrap();
        if path.is_dir() {
            if name != "target" && !HISTORY.contains(&name.as_str()) {
                files.extend(files_below(&path, ending));
            }
        } else if name.ends_with(ending) && !HISTORY.contains(&name.as_str()) {
            files.push(path);
        }
    }
    files
}

/// All Rust source of the workspace, and the words in it.
struct Source {
    text: String,
    words: BTreeSet<String>,
}

impl Source {
    fn read() -> Source {
        let files = files_below(&root().join("crates"), ".rs");
        let text: String = files
            .iter()
            .map(|file| fs::read_to_string(file).unwrap())
            .collect();
        let words = text
            .split(|character: char| !character.is_alphanumeric() && character != '_')
            .map(str::to_string)
            .collect();
        Source { text, words }
    }

    /// A flag is the name of a field with dashes, or given as text.
    fn has_flag(&self, flag: &str) -> bool {
        let name = flag.trim_start_matches("--");
        let is_field = self.words.contains(&name.replace('-', "_"));
        is_field || self.text.contains(&format!("\"{name}\""))
    }
}

/// What stands between backticks in a page, fenced blocks left out.
fn quoted(text: &str) -> Vec<String> {
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with("    "))
        .collect();
    let parts = lines.join("\n");
    parts
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

fn is_type(text: &str) -> bool {
    let starts = text.starts_with(|character: char| character.is_ascii_uppercase());
    let has_lower = text.contains(|character: char| character.is_ascii_lowercase());
    let plain = text
        .chars()
        .all(|character| character.is_ascii_alphanumeric() || "_:".contains(character));
    starts && has_lower && plain
}

fn missing(quote: &str, source: &Source) -> Option<String> {
    let first = quote.split_whitespace().next().unwrap_or_default();
    let path = first
        .split(':')
        .next()
        .unwrap_or_default()
        .trim_end_matches(',');
    let is_path = ["crates/", "docs/", "deploy/", ".ci/"]
        .iter()
        .any(|folder| path.starts_with(folder));
    if is_path && !path.contains(['*', '<', '{']) {
        return (!root().join(path).exists()).then(|| format!("path {path}"));
    }
    if is_type(quote) {
        let lacks = quote.split("::").find(|part| !source.words.contains(*part));
        return lacks.map(|part| format!("{quote}: no {part}"));
    }
    let program = first.strip_prefix("spokeflow-").filter(|name| {
        !name.is_empty()
            && name
                .chars()
                .all(|character| character.is_ascii_lowercase() || character == '-')
    });
    if program.is_some() {
        let package = root().join("crates").join(first).exists();
        let binary = root()
            .join(format!("crates/spokeflow-router/src/bin/{first}.rs"))
            .exists();
        let former = FORMER_NAMES.contains(&first) || first == FORMER_PACKAGE;
        if !package && !binary && !former {
            return Some(format!("package or program {first}"));
        }
    }
    quote
        .split_whitespace()
        .filter(|word| word.starts_with("--") && word.len() > 2)
        .map(|word| word.split(['=', ',', ':']).next().unwrap_or_default())
        .find(|flag| !FOREIGN_FLAGS.contains(flag) && !source.has_flag(flag))
        .map(|flag| format!("flag {flag}"))
}

#[test]
fn pages_name_only_what_exists() {
    let source = Source::read();
    let mut pages = files_below(&root().join("docs"), ".md");
    pages.push(root().join("README.md"));
    pages.push(root().join("CONTRIBUTING.md"));
    let mut lacking = Vec::new();
    for page in pages {
        let text = fs::read_to_string(&page).unwrap();
        for quote in quoted(&text) {
            if let Some(what) = missing(&quote, &source) {
                lacking.push(format!(
                    "{}: {what}",
                    page.file_name().unwrap().to_string_lossy()
                ));
            }
        }
    }
    assert!(lacking.is_empty(), "{}", lacking.join("\n"));
}

/// The check sees what it is for.
#[test]
fn a_name_that_is_gone_is_found() {
    let source = Source::read();
    for gone in [
        "crates/spokeflow-core/src/nowhere.rs",
        "spokeflow-nowhere",
        "spokeflow-router --no-such-flag-here",
        "RaftNode::no_such_method_here",
    ] {
        // Built here, so that the words are not found in this very file.
        let quote = gone.replace("here", "where");
        assert!(missing(&quote, &source).is_some(), "{quote}");
    }
    for present in [
        "crates/spokeflow-core/src/lib.rs",
        "spokeflow-router --list",
        "RaftNode::term",
    ] {
        assert_eq!(missing(present, &source), None, "{present}");
    }
}
