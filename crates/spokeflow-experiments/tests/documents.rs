//! Guards the documentation against names that no longer exist: every path, package, program, flag and type in
//! backticks in the README, CONTRIBUTING and `docs/` must be present in the source. Pages of the project's history
//! (results, incidents) and the generated capacity page may show former names and are skipped.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages and folders that are skipped because they record history or are printed by a program.
const SKIPPED_PAGES: [&str; 4] = ["results.md", "CAPACITY.md", "incidents", "results"];
/// Former names of programs and packages that pages may mention.
const FORMER_NAMES: [&str; 7] = [
    "spokeflow-keeper",
    "spokeflow-fleet",
    "spokeflow-move",
    "spokeflow-lab",
    "spokeflow-standin",
    "spokeflow-emulator",
    "spokeflow-quorum",
];
/// The former name of a package that pages may mention.
const FORMER_PACKAGE: &str = "spokeflow-agreed";
/// Flags of programs outside this workspace that pages may mention.
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

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap().map(Result::unwrap) {
        let path = entry.path();
        let name = entry.file_name().into_string().unwrap();
        if path.is_dir() {
            if name != "target" && !SKIPPED_PAGES.contains(&name.as_str()) {
                files.extend(files_below(&path, ending));
            }
        } else if name.ends_with(ending) && !SKIPPED_PAGES.contains(&name.as_str()) {
            files.push(path);
        }
    }
    files
}

/// The Rust source of the workspace, and the set of its words.
struct Source {
    text: String,
    words: BTreeSet<String>,
}

impl Source {
    fn read() -> Source {
        let files = files_below(&workspace_root().join("crates"), ".rs");
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

    /// Returns whether the source has a field from which the flag is derived, or the flag as a string literal.
    fn has_flag(&self, flag: &str) -> bool {
        let name = flag.trim_start_matches("--");
        let is_field = self.words.contains(&name.replace('-', "_"));
        is_field || self.text.contains(&format!("\"{name}\""))
    }
}

/// Returns the texts between backticks in a page, without indented code blocks.
fn quotes(text: &str) -> Vec<String> {
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with("    "))
        .collect();
    let prose = lines.join("\n");
    prose
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

/// Returns whether the text is a name in camel case, or a path that starts with one.
fn is_type(text: &str) -> bool {
    let starts_upper = text.starts_with(|character: char| character.is_ascii_uppercase());
    let has_lower = text.contains(|character: char| character.is_ascii_lowercase());
    let is_path = text
        .chars()
        .all(|character| character.is_ascii_alphanumeric() || "_:".contains(character));
    starts_upper && has_lower && is_path
}

/// Returns what the quoted text names that does not exist, or `None` if everything exists or it names nothing to check.
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
        return (!workspace_root().join(path).exists()).then(|| format!("path {path}"));
    }
    if is_type(quote) {
        let missing_part = quote.split("::").find(|part| !source.words.contains(*part));
        return missing_part.map(|part| format!("{quote}: no {part}"));
    }
    let program = first.strip_prefix("spokeflow-").filter(|name| {
        !name.is_empty()
            && name
                .chars()
                .all(|character| character.is_ascii_lowercase() || character == '-')
    });
    if program.is_some() {
        let is_package = workspace_root().join("crates").join(first).exists();
        let is_binary = workspace_root()
            .join(format!("crates/spokeflow-router/src/bin/{first}.rs"))
            .exists();
        let is_former = FORMER_NAMES.contains(&first) || first == FORMER_PACKAGE;
        if !is_package && !is_binary && !is_former {
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
fn documentation_names_only_what_exists() {
    let source = Source::read();
    let mut pages = files_below(&workspace_root().join("docs"), ".md");
    pages.push(workspace_root().join("README.md"));
    pages.push(workspace_root().join("CONTRIBUTING.md"));
    let mut problems = Vec::new();
    for page in pages {
        let text = fs::read_to_string(&page).unwrap();
        for quote in quotes(&text) {
            if let Some(problem) = missing(&quote, &source) {
                problems.push(format!(
                    "{}: {problem}",
                    page.file_name().unwrap().to_string_lossy()
                ));
            }
        }
    }
    assert!(
        problems.is_empty(),
        "documentation names what does not exist:\n{}",
        problems.join("\n")
    );
}

/// Guards against a check that accepts everything: missing paths, programs, flags and names must be found.
#[test]
fn missing_names_are_found_and_present_ones_accepted() {
    let source = Source::read();
    for template in [
        "crates/spokeflow-core/src/nowhere.rs",
        "spokeflow-nowhere",
        "spokeflow-router --no-such-flag-here",
        "RaftNode::no_such_method_here",
    ] {
        // Replaced at run time, so that the name itself is not found in this file.
        let quote = template.replace("here", "where");
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
