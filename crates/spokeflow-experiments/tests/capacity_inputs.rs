//! Invalid inputs of the capacity commands: each must be refused with exit code 2 and one line on standard error that
//! names the file, the entry, and the expected value.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

const TARGET: &str = "docs/capacity/target.toml";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run_program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spokeflow-experiments"))
        .current_dir(root())
        .args(args)
        .output()
        .unwrap()
}

/// Creates a temporary folder for one caller, because tests run in parallel.
fn create_temp_folder() -> PathBuf {
    static FOLDERS: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), FOLDERS.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(format!("spokeflow-inputs-{process}-{number}"));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes `text` into a file called `name`, runs the program with it, and expects a refusal with one line that contains
/// the file name and all of `expected`.
fn assert_refused(name: &str, text: &str, args: impl Fn(&str) -> Vec<String>, expected: &[&str]) {
    let folder = create_temp_folder();
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    let args = args(file.to_str().unwrap());
    let output = run_program(&args.iter().map(String::as_str).collect::<Vec<_>>());
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2), "{expected:?}: {stderr}");
    assert!(
        output.stdout.is_empty(),
        "{expected:?}: expected no standard output"
    );
    assert_eq!(stderr.lines().count(), 1, "{expected:?}: {stderr}");
    for word in expected.iter().chain(&[name]) {
        assert!(
            stderr.contains(word),
            "expected '{word}' in the error, got: {stderr}"
        );
    }
    std::fs::remove_dir_all(folder).unwrap();
}

fn with_target(file: &str) -> Vec<String> {
    let slopes = "--slopes=docs/capacity/slopes.json";
    vec!["capacity".into(), format!("--target={file}"), slopes.into()]
}

fn with_slopes(file: &str) -> Vec<String> {
    vec![
        "capacity".into(),
        format!("--target={TARGET}"),
        format!("--slopes={file}"),
    ]
}

/// Text to replace in the target, its replacement, and the texts that the error must contain.
const TARGET_CASES: &[(&str, &str, &[&str])] = &[
    // Missing entries.
    (
        "routers = 1300\n",
        "",
        &["fleet", "missing field `routers`"],
    ),
    (
        "voter_cores = 1\n",
        "",
        &["assumptions", "missing field `voter_cores`"],
    ),
    ("name = \"two years out\"\n", "", &["missing field `name`"]),
    // Unknown entries.
    (
        "routers = 1300",
        "routers = 1300\nrooters = 3",
        &["fleet.rooters", "unknown field"],
    ),
    ("[budget]", "[extra]\n[budget]", &["extra", "unknown field"]),
    // Wrong types.
    (
        "routers = 1300",
        "routers = \"many\"",
        &["fleet.routers", "invalid type", "f64"],
    ),
    // Negative numbers, and zero for numbers that are divisors.
    (
        "hosts = 12000",
        "hosts = -12000",
        &["fleet.hosts", "from 1 to", "got -12000"],
    ),
    (
        "routers = 1300",
        "routers = 0",
        &["fleet.routers", "from 1 to", "got 0"],
    ),
    (
        "services = 320",
        "services = 0",
        &["fleet.services", "from 1 to"],
    ),
    (
        "regions = 6",
        "regions = 0",
        &["fleet.regions", "from 1 to"],
    ),
    ("zones = 15", "zones = 0", &["fleet.zones", "from 1 to"]),
    (
        "change_bound_seconds = 15",
        "change_bound_seconds = 0",
        &["load.change_bound_seconds", "from 0.1"],
    ),
    (
        "control_core_share = 0.014",
        "control_core_share = 0",
        &["budget.control_core_share", "a number from"],
    ),
    (
        "control_memory_mb = 128",
        "control_memory_mb = -1",
        &["budget.control_memory_mb"],
    ),
    (
        "restart_hours = 8",
        "restart_hours = 0",
        &["assumptions.restart_hours", "from 0.1 to 24"],
    ),
    (
        "lease_seconds = 3",
        "lease_seconds = 0",
        &["terms.lease_seconds", "from 0.1"],
    ),
    // Numbers that are not finite or far out of range.
    (
        "peak_requests_per_second = 390000",
        "peak_requests_per_second = inf",
        &["load.peak_requests_per_second", "got inf"],
    ),
    (
        "answer_milliseconds = 150",
        "answer_milliseconds = nan",
        &["assumptions.answer_milliseconds", "got NaN"],
    ),
    (
        "tenants = 33000",
        "tenants = 1e300",
        &["fleet.tenants", "to 10000000"],
    ),
    (
        "clock_drift = 0.01",
        "clock_drift = 0.9",
        &["terms.clock_drift", "to 0.5"],
    ),
    // A fraction for a number of machines.
    (
        "routers = 1300",
        "routers = 12.5",
        &["fleet.routers", "a whole number"],
    ),
    // Entries that contradict each other.
    ("voters = 5", "voters = 4", &["terms.voters", "3, 5 or 7"]),
    (
        "control_machines = 14",
        "control_machines = 3",
        &["terms.voters", "3 control machines"],
    ),
    (
        "zones = 15",
        "zones = 5",
        &["fleet.zones", "each of 6 regions"],
    ),
    (
        "services = 320",
        "services = 20000",
        &["fleet.services", "12000 hosts"],
    ),
    (
        "largest_service_hosts = 1000",
        "largest_service_hosts = 13000",
        &["assumptions.largest_service_hosts"],
    ),
    (
        "stage_caps = [0.07, ",
        "stage_caps = [",
        &["terms.stage_caps", "one for each of 4 stages"],
    ),
    (
        "stage_shares = [0.05",
        "stage_shares = [0.0",
        &["terms.stage_shares", "above 0"],
    ),
    (
        "stage_shares = [0.05, 0.2",
        "stage_shares = [0.2, 0.05",
        &["terms.stage_shares", "none below"],
    ),
    // Invalid TOML.
    ("[fleet]", "[fleet", &["target-file"]),
];

#[test]
fn invalid_target_is_refused() {
    let target = std::fs::read_to_string(root().join(TARGET)).unwrap();
    for (from, to, expected) in TARGET_CASES.iter().copied() {
        assert!(target.contains(from), "{from}");
        assert_refused(
            "target-file.toml",
            &target.replacen(from, to, 1),
            with_target,
            expected,
        );
    }
}

const LINE: &str = r#"{"lines": [{"id": "a", "role": "voter", "quantity": "q", "unit": "bytes", "per": "hosts",
  "phase": "encoded", "held": {}, "points": [{"size": 1, "value": 2, "min": null, "max": null},
  {"size": 3, "value": 4, "min": 3, "max": 5}], "command": "c", "run": "r.json", "date": "2000-01-01"}]}"#;

/// Text to replace in `LINE`, its replacement, and the texts that the error must contain.
const LINE_CASES: &[(&str, &str, &[&str])] = &[
    (
        r#""run": "r.json", "#,
        "",
        &["lines[0]", "missing field `run`"],
    ),
    (
        r#""phase": "encoded", "#,
        "",
        &["lines[0]", "missing field `phase`"],
    ),
    (
        r#""id": "a""#,
        r#""id": "a", "slope": 7"#,
        &["lines[0].slope", "unknown field"],
    ),
    (
        r#""role": "voter""#,
        r#""role": "ruler""#,
        &["lines[0].role", "unknown variant `ruler`"],
    ),
    (
        r#""size": 3"#,
        r#""size": "three""#,
        &["lines[0].points[1].size", "invalid type"],
    ),
    (
        r#""size": 1"#,
        r#""size": 0"#,
        &["lines[0].points[0].size", "above 0"],
    ),
    (
        r#""size": 1"#,
        r#""size": -1"#,
        &["lines[0].points[0].size", "above 0"],
    ),
    (
        r#""size": 3"#,
        r#""size": 1"#,
        &["lines[0].points[1].size", "rise"],
    ),
    (
        r#""value": 2"#,
        r#""value": -2"#,
        &["lines[0].points[0].value", "from 0"],
    ),
    (
        r#""value": 2"#,
        r#""value": 1e16"#,
        &["lines[0].points[0].value", "to 1e15"],
    ),
    (
        r#""value": 2"#,
        r#""value": 1e400"#,
        &["lines[0].points[0].value", "number out of range"],
    ),
    (
        r#""value": 2"#,
        r#""value": NaN"#,
        &["lines[0].points[0].value"],
    ),
    (
        r#""min": 3"#,
        r#""min": 4.5"#,
        &["lines[0].points[1].min", "from 0 to value"],
    ),
    (
        r#""max": 5"#,
        r#""max": 3.5"#,
        &["lines[0].points[1].min", "from value"],
    ),
    (
        r#""command": "c""#,
        r#""command": " ""#,
        &["lines[0].command", "expected a non-empty text"],
    ),
    (r#""2000-01-01"}]}"#, r#""2000-01-01"}]"#, &["EOF"]),
    (
        r#""2000-01-01"}]}"#,
        r#""2000-01-01"}]} more"#,
        &["trailing characters"],
    ),
];

#[test]
fn invalid_lines_are_refused() {
    for (from, to, expected) in LINE_CASES.iter().copied() {
        let text = LINE.replacen(from, to, 1);
        assert_ne!(text, LINE, "{from}");
        assert_refused("slopes-file.json", &text, with_slopes, expected);
    }
}

#[test]
fn duplicate_id_and_line_without_points_are_refused() {
    let mut slopes: serde_json::Value = serde_json::from_str(LINE).unwrap();
    let line = slopes["lines"][0].clone();
    slopes["lines"].as_array_mut().unwrap().push(line);
    assert_refused(
        "slopes-file.json",
        &slopes.to_string(),
        with_slopes,
        &["lines[1].id", "given twice"],
    );
    slopes["lines"][1]["points"] = serde_json::json!([]);
    slopes["lines"][1]["id"] = serde_json::json!("b");
    assert_refused(
        "slopes-file.json",
        &slopes.to_string(),
        with_slopes,
        &["lines[1].points", "at least one point"],
    );
}

#[test]
fn missing_files_are_named() {
    for (args, expected) in [
        (
            [
                "capacity",
                "--target=/nowhere/t.toml",
                "--slopes=docs/capacity/slopes.json",
            ],
            "/nowhere/t.toml",
        ),
        (
            [
                "capacity",
                "--target=docs/capacity/target.toml",
                "--slopes=/nowhere/s.json",
            ],
            "/nowhere/s.json",
        ),
        (
            [
                "collect-slopes",
                "--runs=/nowhere/runs",
                "--out=/nowhere/out.json",
            ],
            "/nowhere/runs",
        ),
        (
            [
                "measure-bytes",
                "--out=/nowhere/bytes.json",
                "--date=2000-01-01",
            ],
            "/nowhere/bytes.json",
        ),
    ] {
        let output = run_program(&args);
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(
            output.status.code() == Some(2) && stderr.lines().count() == 1,
            "{stderr}"
        );
        assert!(stderr.contains(expected), "{stderr}");
    }
}

const RECORD: &str = r#"[{"role": "voter", "quantity": "q", "unit": "bytes", "phase": "quiet", "size_of": "hosts",
  "size": 1, "value": 2, "min": null, "max": null, "held": {}, "command": "c", "date": "2000-01-01"}]"#;

#[test]
fn invalid_raw_runs_are_refused() {
    let cases = [
        (r#""value": 2, "#, "", vec!["[0]", "missing field `value`"]),
        (
            r#""size": 1"#,
            r#""size": 1, "sise": 2"#,
            vec!["[0].sise", "unknown field"],
        ),
        (r#""size": 1"#, r#""size": -1"#, vec!["[0].size", "above 0"]),
        (
            r#""value": 2"#,
            r#""value": 1e300"#,
            vec!["[0].value", "to 1e15"],
        ),
        (
            r#""min": null"#,
            r#""min": 3"#,
            vec!["[0].min", "from 0 to value"],
        ),
        (
            r#""role": "voter""#,
            r#""role": "ruler""#,
            vec!["[0].role", "unknown variant"],
        ),
        (
            r#""command": "c""#,
            r#""command": """#,
            vec!["[0].command", "expected a non-empty text"],
        ),
    ];
    for (from, to, expected) in cases {
        let text = RECORD.replacen(from, to, 1);
        assert_ne!(text, RECORD, "{from}");
        let runs = |file: &str| {
            let folder = Path::new(file).parent().unwrap().display().to_string();
            vec![
                "collect-slopes".into(),
                format!("--runs={folder}"),
                format!("--out={folder}/out.txt"),
            ]
        };
        assert_refused("run-file.json", &text, runs, &expected);
    }
}
