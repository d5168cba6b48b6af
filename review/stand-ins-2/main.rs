//! The cases of the second review. `cases CASE ROOT FOLDER RECORD` plays one; with `TROUBLE=0` without its disruption.
//! Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod copied_id;
mod cut_request;
mod empty_lines;
#[allow(dead_code)]
mod rig;
mod short_length;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record] = arguments.as_slice() else {
        rig::cannot_run("expected CASE ROOT FOLDER RECORD");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let place = rig::Place {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: PathBuf::from(record),
    };
    let broken = match case.as_str() {
        "empty-lines" => empty_lines::play(&place, trouble),
        "short-length" => short_length::play(&place, trouble),
        "cut-request" => cut_request::play(&place, trouble),
        "copied-id" => copied_id::play(&place, trouble),
        _ => rig::cannot_run("unknown case"),
    };
    std::process::exit(i32::from(broken));
}
