//! Names that leave a process keep their spelling: flags and their values, variables, keys of JSON and TOML, words of
//! the text protocols, tables and marks of stored files. `names.txt` lists them by package; a rename that drops one of
//! them would break clients, scripts or stored data without breaking the build.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const NAMES: &str = include_str!("names.txt");

/// The names of one package.
struct Section {
    package: &'static str,
    names: Vec<&'static str>,
}

/// Reads the list: a line without indent starts a package, an indented one holds a name.
fn sections() -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for line in NAMES.lines() {
        match (line.strip_prefix("    "), sections.last_mut()) {
            (Some(name), Some(section)) => section.names.push(name),
            (Some(name), None) => panic!("{name} stands before any package"),
            (None, _) => sections.push(Section {
                package: line,
                names: Vec::new(),
            }),
        }
    }
    sections
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap().map(Result::unwrap) {
        let path = entry.path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            files.push(path);
        }
    }
    files
}

/// The source of a package without its comment lines.
fn source_of(package: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(package)
        .join("src");
    let mut source = String::new();
    for file in rust_files(&folder) {
        let text = fs::read_to_string(file).unwrap();
        for line in text.lines().filter(|line| !line.trim().starts_with("//")) {
            source.push_str(line);
            source.push('\n');
        }
    }
    source
}

fn identifiers(source: &str) -> BTreeSet<&str> {
    source
        .split(|character: char| !character.is_alphanumeric() && character != '_')
        .collect()
}

/// The variant from which `fast-errors` or `fast_errors` is derived: `FastErrors`.
fn camel_case(name: &str) -> String {
    let capitalize = |part: &str| {
        let mut characters = part.chars();
        let first = characters.next().map(|first| first.to_ascii_uppercase());
        first.into_iter().chain(characters).collect::<String>()
    };
    name.split(['-', '_']).map(capitalize).collect()
}

/// A name stands in the source as a text, or as the field or variant from which it is derived.
fn is_present(name: &str, source: &str, identifiers: &BTreeSet<&str>) -> bool {
    let bare = name.trim_start_matches('-');
    let derived = [
        bare.to_string(),
        bare.replace('-', "_"),
        bare.to_lowercase().replace('-', "_"),
        camel_case(bare),
    ];
    let quoted = [
        format!("\"{name}\""),
        format!("\"{bare}\""),
        format!("\"{name} "),
    ];
    derived.iter().any(|one| identifiers.contains(one.as_str()))
        || quoted.iter().any(|one| source.contains(one))
}

#[test]
fn every_name_that_leaves_a_process_is_still_in_its_package() {
    let mut missing = Vec::new();
    let mut looked_up = 0;
    for section in sections() {
        let source = source_of(section.package);
        let identifiers = identifiers(&source);
        looked_up += section.names.len();
        for name in section.names {
            if !is_present(name, &source, &identifiers) {
                missing.push(format!("{}: {name}", section.package));
            }
        }
    }
    assert!(looked_up > 1_000, "the list holds {looked_up} names only");
    assert!(
        missing.is_empty(),
        "names are gone:\n{}",
        missing.join("\n")
    );
}

#[test]
fn a_name_that_only_a_comment_or_a_longer_word_holds_counts_as_gone() {
    let source = "let slow_start = read(\"drain-grace\");\n";
    let words = identifiers(source);
    assert!(is_present("--slow-start", source, &words));
    assert!(is_present("drain-grace", source, &words));
    assert!(!is_present("slow", source, &words));
    assert!(!is_present("drain-grace-span", source, &words));
}
