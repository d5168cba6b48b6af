//! Checks that the capacity page, the measured lines and the recorded sizes match what the commands compute today, and
//! that copied constants and settings match those of the programs.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use clap::Parser;
use spokeflow_config::ServiceFlags;
use spokeflow_control_plane::ControlPlaneFlags;
use spokeflow_experiments::capacity::{evidence, limits, read_records, Target};

const TARGET: &str = "docs/capacity/target.toml";
const SLOPES: &str = "docs/capacity/slopes.json";
const RUNS: &str = "docs/capacity/runs";
const PAGE: &str = "docs/CAPACITY.md";
const FIXTURES: &str = "crates/spokeflow-experiments/tests/fixtures/capacity-runs";

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

fn printed(output: &Output) -> String {
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn read(file: impl AsRef<Path>) -> String {
    std::fs::read_to_string(root().join(file)).unwrap()
}

/// A temporary file that is removed when the value is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let file =
            std::env::temp_dir().join(format!("spokeflow-capacity-{}-{name}", std::process::id()));
        std::fs::write(&file, text).unwrap();
        TempFile(file)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Collects measured lines from the fixtures, which are invented values and no real runs.
fn fixture_slopes(name: &str) -> TempFile {
    let out = TempFile::new(name, "");
    printed(&run_program(&[
        "collect-slopes",
        "--runs",
        FIXTURES,
        "--out",
        out.path(),
    ]));
    out
}

fn page(target: &str, slopes: &str) -> String {
    printed(&run_program(&[
        "capacity", "--target", target, "--slopes", slopes,
    ]))
}

/// Returns the section of the page with this heading.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let from = page
        .find(&format!("## {heading}\n"))
        .unwrap_or_else(|| panic!("the page has no section '{heading}'"));
    let rest = &page[from + 3..];
    &rest[..rest.find("\n## ").unwrap_or(rest.len())]
}

#[test]
fn page_matches_the_printed_output() {
    let text = page(TARGET, SLOPES);
    assert!(text.len() > 5000);
    assert!(
        text == read(PAGE),
        "{PAGE} differs from the printed page; update it with: spokeflow-experiments capacity > {PAGE}"
    );
}

#[test]
fn slopes_file_matches_the_raw_runs() {
    let out = TempFile::new("collected.json", "");
    printed(&run_program(&[
        "collect-slopes",
        "--runs",
        RUNS,
        "--out",
        out.path(),
    ]));
    assert!(
        std::fs::read_to_string(out.path()).unwrap() == read(SLOPES),
        "{SLOPES} differs from the lines collected from {RUNS}; update it with: spokeflow-experiments collect-slopes"
    );
}

#[test]
fn recorded_bytes_match_the_codecs() {
    let recorded = read_records(&root().join(RUNS).join("bytes.json")).unwrap();
    let out = TempFile::new("bytes.json", "");
    printed(&run_program(&[
        "measure-bytes",
        "--out",
        out.path(),
        "--date",
        &recorded[0].date,
    ]));
    assert_eq!(read_records(&out.0).unwrap(), recorded);
}

#[test]
fn without_lines_rows_are_listed_as_not_measured() {
    let slopes = TempFile::new("none.json", r#"{"lines": []}"#);
    let text = page(TARGET, slopes.path());
    assert!(section(&text, "Over budget").contains("Nothing that was measured is over its budget."));
    assert!(section(&text, "Measured lines").contains("None yet."));
    let missing = section(&text, "Not measured");
    for what in [
        "offer that changes one tenant",
        "work per command",
        "processor_share",
    ] {
        assert!(
            missing.contains(what),
            "'{what}' is not listed as not measured: {missing}"
        );
    }
}

#[test]
fn first_mechanism_has_the_largest_ratio() {
    let slopes = fixture_slopes("first.json");
    let text = page(TARGET, slopes.path());
    let first = section(&text, "What to build first");
    assert!(
        first.contains("**Figures kept in the decision module**"),
        "{first}"
    );
    let over = section(&text, "Over budget");
    let ratios: Vec<f64> = over
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(" | ").next()?.parse().ok())
        .collect();
    assert!(
        ratios.len() >= 2 && ratios.is_sorted_by(|a, b| a >= b),
        "{ratios:?}"
    );
}

#[test]
fn page_is_computed_for_the_target_file() {
    let slopes = fixture_slopes("small.json");
    let small = read(TARGET)
        .replace("hosts = 12000", "hosts = 320")
        .replace("largest_service_hosts = 1000", "largest_service_hosts = 60")
        .replace("name = \"two years out\"", "name = \"a small one\"");
    let target = TempFile::new("small.toml", &small);
    let text = page(target.path(), slopes.path());
    assert!(text.starts_with("# Capacity: what \"a small one\" costs today"));
    assert!(
        section(&text, "What to build first").contains("No measured row"),
        "{text}"
    );
}

#[test]
fn lines_with_few_sizes_and_far_extrapolations_are_marked() {
    let slopes = fixture_slopes("marks.json");
    let text = page(TARGET, slopes.path());
    let row = text
        .lines()
        .find(|line| line.starts_with("| processor | 1 cores"))
        .unwrap();
    assert!(
        row.contains("!~"),
        "a value for 1300 routers from two sizes up to 300 should have both marks: {row}"
    );
    assert!(section(&text, "Measured lines").contains("two points only"));
    assert!(
        text.contains("30: 0.0110 (0.0100-0.0120)"),
        "a point of three runs should show their median, minimum and maximum"
    );
}

#[test]
fn rows_are_printed_as_json() {
    let rows = printed(&run_program(&[
        "capacity", "--target", TARGET, "--slopes", SLOPES, "--json",
    ]));
    let rows: Vec<serde_json::Value> = serde_json::from_str(&rows).unwrap();
    let proposal = rows
        .iter()
        .find(|row| row["quantity"] == "offer that changes one tenant")
        .unwrap();
    let value = proposal["cells"][0]["estimate"]["value"].as_f64().unwrap();
    let recorded = read_records(&root().join(RUNS).join("bytes.json")).unwrap();
    let measured = recorded
        .iter()
        .find(|r| r.quantity.starts_with("offer") && r.size == 33_000.0)
        .unwrap();
    assert_eq!(value, measured.value);
}

/// Writes invented runs into a temporary folder and collects the measured lines. Returns the file of the lines and its
/// content.
fn collect_runs(name: &str, runs: &[(&str, serde_json::Value)]) -> (TempFile, serde_json::Value) {
    let folder = std::env::temp_dir().join(format!("spokeflow-runs-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for (file, records) in runs {
        std::fs::write(folder.join(file), records.to_string()).unwrap();
    }
    let out = TempFile::new(name, "");
    printed(&run_program(&[
        "collect-slopes",
        "--runs",
        folder.to_str().unwrap(),
        "--out",
        out.path(),
    ]));
    std::fs::remove_dir_all(folder).unwrap();
    let slopes = serde_json::from_str(&std::fs::read_to_string(out.path()).unwrap()).unwrap();
    (out, slopes)
}

/// Returns a record of the work per command.
fn work_record(hosts: f64, micros: f64, held: serde_json::Value) -> serde_json::Value {
    serde_json::json!({"role": "router data side", "quantity": "work per command", "unit": "us", "phase": "quiet",
        "size_of": "hosts", "size": hosts, "value": micros, "min": micros, "max": micros, "held": held,
        "command": "made up", "date": "2000-01-01"})
}

#[test]
fn runs_after_a_change_take_precedence_over_runs_before_it() {
    let runs = |micros: f64| serde_json::json!([work_record(38.0, micros, serde_json::json!({}))]);
    let (slopes, _) = collect_runs(
        "before.json",
        &[
            ("work-after.json", runs(7.0)),
            ("work-before.json", runs(900.0)),
        ],
    );
    let text = page(TARGET, slopes.path());
    let row = text
        .lines()
        .find(|line| line.starts_with("| work of the module for one request; each service has"))
        .unwrap();
    assert!(row.contains("| 7 us~ "), "{row}");
}

#[test]
fn records_are_read_from_a_list_or_a_report() {
    let records = serde_json::json!([work_record(10.0, 1.0, serde_json::json!({}))]);
    let report = serde_json::json!({"outcome": "kept", "findings": [], "figures": records});
    let (_, of_list) = collect_runs("list.json", &[("run.json", records)]);
    let (_, of_report) = collect_runs("report.json", &[("run.json", report)]);
    assert_eq!(of_list, of_report);
}

#[test]
fn sweeps_with_different_fixed_sizes_form_separate_lines() {
    let held =
        |routers: u32, given: u32| serde_json::json!({"routers": routers, "commands_given": given});
    let records = serde_json::json!([
        work_record(10.0, 1.0, held(30, 100)),
        work_record(20.0, 2.0, held(30, 200)),
        work_record(10.0, 5.0, held(300, 100)),
        work_record(10.0, 7.0, held(300, 100)),
        work_record(10.0, 6.0, held(300, 100)),
    ]);
    let (_, slopes) = collect_runs("sweeps.json", &[("run.json", records)]);
    let lines = slopes["lines"].as_array().unwrap();
    assert_eq!(lines.len(), 2, "{slopes}");
    let line_of = |routers: u32| {
        lines
            .iter()
            .find(|line| line["held"]["routers"] == routers)
            .unwrap()
    };
    assert_eq!(
        line_of(30)["points"].as_array().unwrap().len(),
        2,
        "parameters that differ from point to point should not split a line"
    );
    assert_eq!(line_of(30)["held"], serde_json::json!({"routers": 30}));
    let repeated = &line_of(300)["points"][0];
    assert_eq!(
        *repeated,
        serde_json::json!({"size": 10.0, "value": 6.0, "min": 5.0, "max": 7.0})
    );
}

#[derive(Parser)]
struct Voter {
    #[command(flatten)]
    flags: ControlPlaneFlags,
}

#[derive(Parser)]
struct Router {
    #[command(flatten)]
    flags: ServiceFlags,
}

#[test]
fn target_terms_match_the_program_defaults() {
    let terms = Target::read(&root().join(TARGET)).unwrap().terms;
    let voter = Voter::parse_from(["voter", "--id=1", "--store=unused"]).flags;
    assert_eq!(terms.lease_seconds, voter.lease.as_secs_f64());
    assert_eq!(terms.silence_seconds, voter.election_timeout.as_secs_f64());
    assert_eq!(terms.clock_drift, voter.max_clock_drift);
    assert_eq!(terms.callers_at_most, voter.max_connections as f64);
    let router =
        Router::parse_from(["router", "--op=any:redeliverable:target=1s:timeout=60s"]).flags;
    assert_eq!(terms.stage_fractions, router.stage_shares);
    assert_eq!(terms.stage_caps, router.stage_caps);
    assert_eq!(terms.stage_bake_seconds, router.stage_bake.as_secs_f64());
}

/// Source file, the text in it that defines a constant, the copy of the constant in this crate, and its value.
const COPIED_CONSTANTS: &[(&str, &str, f64, f64)] = &[
    (
        "crates/spokeflow-control-plane/src/inbound.rs",
        "const REQUEST_LIMIT: usize = 64 << 10;",
        limits::CALLER_FRAME_BYTES,
        65_536.0,
    ),
    (
        "crates/spokeflow-coordination/src/config_state.rs",
        "const MAX_RETAINED_RECORDS: usize = 500;",
        limits::MAX_REVISIONS,
        500.0,
    ),
    (
        "crates/spokeflow-coordination/src/lease_granter.rs",
        "const MAX_TRACKED_LEASES: usize = 8192;",
        limits::MAX_LEASES,
        8192.0,
    ),
    (
        "crates/spokeflow-coordination/src/endpoint_list.rs",
        "const MAX_RETAINED_CHANGES: usize = 4096;",
        limits::MAX_LIST_CHANGES,
        4096.0,
    ),
    (
        "crates/spokeflow-coordination/src/lease_holder.rs",
        "const RENEWALS_PER_LEASE: Micros = 3;",
        limits::RENEWALS_PER_LEASE,
        3.0,
    ),
    (
        "crates/spokeflow-control-plane/src/list.rs",
        "const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(2);",
        limits::FULL_SYNC_SECONDS,
        2.0,
    ),
    (
        "crates/spokeflow-raft/src/node/replication.rs",
        "const MAX_ENTRIES_PER_MESSAGE: usize = 64;",
        limits::ENTRIES_PER_MESSAGE,
        64.0,
    ),
    (
        "crates/spokeflow-core/src/router/timers.rs",
        "const TICK: Micros = 20 * MILLISECOND;",
        limits::TICKS_PER_SECOND,
        50.0,
    ),
    (
        "crates/spokeflow-core/src/router/voting.rs",
        "const MIN_DELIVERIES_TO_JUDGE: u32 = 3;",
        evidence::ENOUGH_ANSWERS,
        3.0,
    ),
    (
        "crates/spokeflow-core/src/router/evidence.rs",
        "const ROLLBACK_EVIDENCE: f64 = 4.0;",
        evidence::ROLLBACK_EVIDENCE,
        4.0,
    ),
    (
        "crates/spokeflow-core/src/router/analysis.rs",
        "const SLOWNESS_WEIGHT: f64 = 0.4;",
        evidence::SLOWNESS_WEIGHT,
        0.4,
    ),
    (
        "crates/spokeflow-core/src/router/analysis.rs",
        "const SLOWNESS_MARGIN: f64 = 0.6;",
        evidence::SLOWNESS_MARGIN,
        0.6,
    ),
    (
        "crates/spokeflow-core/src/router/analysis.rs",
        "const MAX_SLOWNESS: f64 = 2.0;",
        evidence::MAX_SLOWNESS,
        2.0,
    ),
    (
        "crates/spokeflow-core/src/router/canary.rs",
        "const CANARY_FRACTION_OF_CAP: f64 = 0.7;",
        evidence::CANARY_FRACTION_OF_CAP,
        0.7,
    ),
    (
        "crates/spokeflow-core/src/router/canary.rs",
        "const PROPORTIONAL_FRACTION_OF_CAP: f64 = 0.9;",
        evidence::PROPORTIONAL_FRACTION_OF_CAP,
        0.9,
    ),
    (
        "crates/spokeflow-core/src/router/canary.rs",
        "const CANARY_LEAD: f64 = 1.25;",
        evidence::CANARY_LEAD,
        1.25,
    ),
];

/// Private constants of other crates are copied into this crate. Guards against a copy that no longer matches its
/// source.
#[test]
fn copied_constants_match_the_source() {
    for (file, text, copied, value) in COPIED_CONSTANTS.iter().copied() {
        assert!(
            read(file).contains(text),
            "{file} does not contain '{text}'"
        );
        assert_eq!(copied, value, "copy of '{text}' in {file}");
    }
}
