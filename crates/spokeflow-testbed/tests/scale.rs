//! The scale run at a small size, with real processes; what it refuses; and that it leaves no process behind.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeflow-testbed");
/// 30 hollow routers in two processes and one real one, three voters.
const SMALL: [&str; 4] = [
    "scale",
    "--routers=31",
    "--real=1",
    "--hollow-per-process=15",
];
/// A build without optimization on a machine that does other work takes a multiple of the processor time that the
/// target's budget names: what these tests hold is that all is measured and judged, not the budget itself.
const PROCESSOR: &str = "--router-processor-share=0.2";

fn report_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "spokeflow-scale-test-{name}-{}.json",
        std::process::id()
    ))
}

fn run(arguments: &[&str], json: &Path) -> Output {
    let mut command = Command::new(PROGRAM);
    command
        .args(arguments)
        .arg("--json")
        .arg(json)
        .stdin(Stdio::null());
    command.output().unwrap()
}

fn read(json: &Path) -> Value {
    let report = serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    std::fs::remove_file(json).unwrap();
    report
}

/// Processes whose command line has this word.
fn processes_with(word: &str) -> Vec<i32> {
    let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_spokeflow-testbed")).unwrap();
    let of = |entry: std::fs::DirEntry| {
        let pid: i32 = entry.file_name().to_str()?.parse().ok()?;
        // The same test may run from another build folder on this machine: its processes are not ours.
        if std::fs::read_link(entry.path().join("exe")).ok()? != program {
            return None;
        }
        let line = std::fs::read(entry.path().join("cmdline")).ok()?;
        let words = line.split(|byte| *byte == 0).map(String::from_utf8_lossy);
        words.into_iter().any(|w| w == word).then_some(pid)
    };
    std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| of(entry.ok()?))
        .collect()
}

/// Hollow and real routers of a run with one real router, told from all other processes by their seed.
fn left_of(seed: u64) -> Vec<i32> {
    let real = seed.wrapping_mul(31);
    [format!("--seed={seed}"), format!("--seed={real}")]
        .iter()
        .flat_map(|word| processes_with(word))
        .collect()
}

/// Values of all figures of this role and quantity, in the order of the phases.
fn values(report: &Value, role: &str, quantity: &str) -> Vec<f64> {
    let figures = report["figures"].as_array().unwrap();
    let wanted = figures
        .iter()
        .filter(|f| f["role"] == role && f["quantity"] == quantity);
    wanted.map(|f| f["value"].as_f64().unwrap()).collect()
}

/// Every role has its figures of memory, processor time and traffic.
fn check_figures_of_roles(report: &Value) {
    for role in [
        "voter_leader",
        "voter_follower",
        "hollow_router",
        "real_router",
    ] {
        // Launch and three phases.
        for quantity in ["memory_steady", "memory_peak"] {
            let bytes = values(report, role, quantity);
            assert!(
                bytes.len() == 4 && bytes.iter().all(|b| *b > 10_000.0),
                "{role} {quantity}: {bytes:?}"
            );
        }
        let seconds = values(report, role, "processor_share");
        assert!(seconds.len() >= 3, "{role}: {seconds:?}");
        for quantity in [
            "bytes_sent",
            "bytes_received",
            "frames_sent",
            "frames_received",
        ] {
            let rates = values(report, role, quantity);
            assert!(
                rates.len() >= 3 && rates.iter().all(|r| *r > 0.0),
                "{role} {quantity}: {rates:?}"
            );
        }
    }
}

#[test]
fn a_small_fleet_keeps_its_bounds_while_it_changes_and_loses_its_leader() {
    let json = report_file("small");
    let seed = "--seed=910001";
    let phases = [
        "--phase=quiet",
        "--phase=changes",
        "--phase=leader",
        "--quiet-lasts=3s",
        "--changes-last=4s",
    ];
    let more = [
        "--away-lasts=2s",
        "--changes-per-minute=60",
        "--services=320",
        "--routes=7500",
        seed,
        PROCESSOR,
    ];
    let output = run(&[&SMALL[..], &phases, &more].concat(), &json);
    let (text, said) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert_eq!(output.status.code(), Some(0), "{text}{said}");
    assert!(said.contains("bound: processes at most 200"), "{said}");
    assert!(
        text.contains("services 320: not carried") && text.contains("routes 7500: not carried"),
        "{text}"
    );
    let report = read(&json);
    assert_eq!(
        (&report["outcome"], &report["findings"]),
        (&"kept".into(), &Value::Array(Vec::new()))
    );
    check_figures_of_roles(&report);
    // A router asks for its lease three times in a lease of 3 s; before there is a leader it asks one after the other.
    let asks = values(&report, "hollow_router", "frames_sent");
    assert!(
        asks[1..].iter().all(|rate| (0.5..3.0).contains(rate)),
        "{asks:?}"
    );
    let revisions = values(&report, "fleet", "revisions");
    assert!(
        revisions.len() == 2 && revisions[0] >= 1.0 && revisions[1] == 1.0,
        "{revisions:?}"
    );
    let in_force = values(&report, "fleet", "offer_to_in_force_worst");
    assert!(
        in_force.len() == 2 && in_force.iter().all(|s| (0.01..15.0).contains(s)),
        "{in_force:?}"
    );
    let leaderless = values(&report, "fleet", "leaderless");
    assert!(
        leaderless.len() == 1 && (0.05..2.0).contains(&leaderless[0]),
        "{leaderless:?}"
    );
    let ready = values(&report, "fleet", "time_to_ready_worst");
    assert!(!ready.is_empty() && ready[0] > 0.0, "{ready:?}");
    assert!(left_of(910_001).is_empty());
}

#[test]
fn parts_of_the_fleet_leave_are_cut_off_or_stop_and_the_others_go_on() {
    let json = report_file("parts");
    let phases = [
        "--phase=churn",
        "--phase=zone",
        "--phase=start",
        "--phase=region",
        "--phase=stalled",
    ];
    let more = [
        "--changes-last=3s",
        "--away-lasts=2s",
        "--changes-per-minute=30",
        "--seed=910002",
        PROCESSOR,
    ];
    let output = run(&[&SMALL[..], &phases, &more].concat(), &json);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let report = read(&json);
    let revisions = values(&report, "fleet", "revisions");
    assert!(
        revisions.len() == 5 && revisions.iter().all(|n| *n >= 1.0),
        "a change in each phase: {revisions:?}"
    );
    // Launch, churn, zone and start have routers that start.
    assert_eq!(values(&report, "fleet", "time_to_ready_worst").len(), 4);
    assert!(left_of(910_002).is_empty());
}

#[test]
fn a_budget_that_is_too_small_is_a_finding() {
    let json = report_file("budget");
    let small = [
        "--router-bytes-per-second=1",
        "--router-memory-mb=0.01",
        "--router-processor-share=0.000001",
    ];
    let more = ["--phase=quiet", "--quiet-lasts=2s", "--seed=910003"];
    let output = run(&[&SMALL[..], &small, &more].concat(), &json);
    assert_eq!(output.status.code(), Some(1));
    let report = read(&json);
    assert_eq!(report["outcome"], "exceeded");
    let findings = report["findings"].as_array().unwrap();
    for bound in ["bytes", "memory", "processor"] {
        assert!(
            findings
                .iter()
                .any(|f| f["bound"] == bound && f["phase"] == "quiet"),
            "{bound}: {findings:?}"
        );
    }
}

#[test]
fn a_revision_that_is_too_late_is_a_finding() {
    let json = report_file("late");
    let more = [
        "--phase=changes",
        "--changes-last=2s",
        "--in-force-within=100ms",
        "--seed=910004",
    ];
    let output = run(&[&SMALL[..], &more].concat(), &json);
    assert_eq!(output.status.code(), Some(1));
    let findings = read(&json)["findings"].clone();
    assert!(
        findings
            .as_array()
            .unwrap()
            .iter()
            .any(|f| f["bound"] == "in force"),
        "{findings}"
    );
}

/// 33,000 customers do not fit into the frame that a keeper takes from a person.
#[test]
fn a_revision_that_no_voter_takes_is_a_finding_with_its_size() {
    let json = report_file("refused");
    let more = [
        "--phase=changes",
        "--changes-last=1s",
        "--tenants=33000",
        "--hosts=0",
        "--seed=910005",
    ];
    let output = run(&[&["scale", "--routers=2"][..], &more].concat(), &json);
    assert_eq!(output.status.code(), Some(1));
    let findings = read(&json)["findings"].clone();
    let refused = findings
        .as_array()
        .unwrap()
        .iter()
        .find(|f| f["bound"] == "revision refused");
    let text = refused.expect("refused")["text"]
        .as_str()
        .unwrap()
        .to_string();
    assert!(
        text.starts_with("an offer of 3") && text.contains("bytes was not announced"),
        "{text}"
    );
}

/// Flags that do not fit, and what the error says of them.
const WRONG_USE: [(&[&str], &str); 15] = [
    (&["--routers=0"], "--routers: at least 1"),
    (
        &["--routers=2", "--real=3"],
        "--real 3: more than --routers 2",
    ),
    (
        &["--hollow-per-process=0"],
        "--hollow-per-process: at least 1",
    ),
    (&["--voters=4"], "--voters 4: 3, 5 or 7"),
    (&["--regions=0"], "--regions: at least 1"),
    (
        &["--zones=2", "--regions=3"],
        "--zones 2: fewer than --regions 3",
    ),
    (
        &["--changes-per-minute=0"],
        "--changes-per-minute 0: above 0",
    ),
    (
        &["--changes-per-minute=inf"],
        "--changes-per-minute inf: above 0",
    ),
    (&["--quiet-lasts=0s"], "--quiet-lasts: above 0s"),
    (&["--lease=100ms"], "--lease: at least 500ms"),
    (&["--router-memory-mb=-1"], "--router-memory-mb -1: above 0"),
    (
        &["--phase=stalled", "--routers=1", "--real=1"],
        "--phase stalled: needs a hollow router",
    ),
    (
        &["--json=/does/not/exist.json"],
        "--json /does/not/exist.json: ",
    ),
    (
        &["--routers=1000", "--hollow-per-process=1"],
        "processes, 200 at most: raise --hollow-per-process",
    ),
    (
        &["--routers=100000", "--hollow-per-process=5000"],
        "descriptors in one process",
    ),
];

#[test]
fn wrong_use_is_told_in_one_line_before_anything_starts() {
    for (arguments, what) in WRONG_USE {
        let mut command = Command::new(PROGRAM);
        let output = command
            .arg("scale")
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {said}");
        let lines: Vec<&str> = said
            .lines()
            .filter(|line| !line.starts_with("bound: "))
            .collect();
        assert_eq!(lines.len(), 1, "{arguments:?}: {said}");
        assert!(
            lines[0].starts_with("spokeflow-testbed: ") && lines[0].contains(what),
            "{arguments:?}: {said}"
        );
    }
    for unread in [
        &["--routers=many"][..],
        &["--phase=noisy"],
        &["--quiet-lasts=10"],
        &["--seed=-1"],
    ] {
        let output = Command::new(PROGRAM)
            .arg("scale")
            .args(unread)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{unread:?}");
    }
}

#[test]
fn more_memory_than_half_of_the_machine_is_refused() {
    let sizes = [
        "--routers=4000",
        "--hollow-per-process=100",
        "--hosts=100000",
    ];
    let output = Command::new(PROGRAM)
        .arg("scale")
        .args(sizes)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert!(said.contains("MB of memory, under"), "{said}");
}

#[test]
fn a_limit_of_descriptors_that_is_too_low_is_refused() {
    let script = format!("ulimit -n 600 && exec '{PROGRAM}' scale --routers 31");
    let output = Command::new("sh").args(["-c", &script]).output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert!(said.contains("600 allowed: raise ulimit -n"), "{said}");
}

/// The customers of a real router are arguments, and these are longer than the system takes.
#[test]
fn a_process_that_cannot_be_started_is_named() {
    let json = report_file("unstarted");
    let output = run(
        &[
            "scale",
            "--routers=1",
            "--tenants=400000",
            "--hosts=0",
            "--seed=910006",
        ],
        &json,
    );
    assert_eq!(
        output.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let stopped = read(&json)["stopped"].as_str().unwrap().to_string();
    assert!(
        stopped.starts_with("real-0 cannot be started: "),
        "{stopped}"
    );
    assert!(left_of(910_006).is_empty());
}

/// Waits until a process of hollow routers of this run is there.
fn hollow_of(seed: u64) -> i32 {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Some(pid) = processes_with(&format!("--seed={seed}"))
            .into_iter()
            .find(|pid| {
                let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
                line.split(|byte| *byte == 0).any(|word| word == b"hollow")
            })
        {
            return pid;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no process of hollow routers was started");
}

/// Answers the run's exit code and report after `trouble` was done to it.
fn troubled(name: &str, seed: u64, trouble: impl Fn(u32)) -> (Option<i32>, Value, u32) {
    let json = report_file(name);
    let mut command = Command::new(PROGRAM);
    command.args(SMALL).args([
        "--phase=quiet",
        "--quiet-lasts=60s",
        &format!("--seed={seed}"),
    ]);
    command
        .arg("--json")
        .arg(&json)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let mut scale = command.spawn().unwrap();
    hollow_of(seed);
    std::thread::sleep(Duration::from_secs(2));
    trouble(scale.id());
    let until = Instant::now() + Duration::from_secs(20);
    while scale.try_wait().unwrap().is_none() {
        if Instant::now() > until {
            scale.kill().unwrap();
            panic!("the run did not end by itself");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    (scale.wait().unwrap().code(), read(&json), scale.id())
}

#[test]
fn a_process_that_ends_by_itself_stops_the_run() {
    let seed = 910_007;
    let trouble = |_| kill(Pid::from_raw(hollow_of(seed)), Signal::SIGKILL).unwrap();
    let (code, report, pid) = troubled("ended", seed, trouble);
    assert_eq!(code, Some(1));
    let stopped = report["stopped"].as_str().unwrap();
    assert!(
        stopped.starts_with("hollow-") && stopped.ends_with("has ended by itself"),
        "{stopped}"
    );
    assert!(left_of(seed).is_empty());
    let stores = std::env::temp_dir().join(format!("spokeflow-scale-{pid}"));
    let store = format!("--store={}", stores.join("voter-1.redb").display());
    assert!(processes_with(&store).is_empty() && !stores.exists());
}

#[test]
fn a_run_that_is_told_to_end_leaves_no_process_behind() {
    let seed = 910_008;
    let trouble = |pid: u32| kill(Pid::from_raw(pid as i32), Signal::SIGTERM).unwrap();
    let (code, report, pid) = troubled("told", seed, trouble);
    assert_eq!(code, Some(1));
    assert_eq!(report["stopped"], "told to end");
    assert!(left_of(seed).is_empty());
    let stores = std::env::temp_dir().join(format!("spokeflow-scale-{pid}"));
    let store = format!("--store={}", stores.join("voter-1.redb").display());
    assert!(processes_with(&store).is_empty() && !stores.exists());
}
