//! Runs `spokeflow-testbed scale` at a small size with real processes: checks the figures and findings of the report,
//! the flags that are refused, and that no process is left behind.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeflow-testbed");
/// 30 hollow routers in two processes, one real router and three voters.
const SMALL_FLEET: [&str; 4] = [
    "scale",
    "--routers=31",
    "--real=1",
    "--hollow-per-process=15",
];
/// A build without optimization on a busy machine uses a multiple of the processor time that the target's budget
/// allows. These tests check that the usage is measured and compared with the budget, not the budget itself.
const PROCESSOR_BUDGET: &str = "--router-processor-share=0.2";

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

/// Returns the processes of this build's program whose command line contains this argument.
fn processes_with_argument(argument: &str) -> Vec<i32> {
    let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_spokeflow-testbed")).unwrap();
    let of = |entry: std::fs::DirEntry| {
        let pid: i32 = entry.file_name().to_str()?.parse().ok()?;
        // The same test may run from another build folder on this machine; its processes do not count.
        if std::fs::read_link(entry.path().join("exe")).ok()? != program {
            return None;
        }
        let line = std::fs::read(entry.path().join("cmdline")).ok()?;
        let words = line.split(|byte| *byte == 0).map(String::from_utf8_lossy);
        words.into_iter().any(|w| w == argument).then_some(pid)
    };
    std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| of(entry.ok()?))
        .collect()
}

/// Returns the running router processes of a run with one real router, identified by its seed.
fn running_routers(seed: u64) -> Vec<i32> {
    let real = seed.wrapping_mul(31);
    [format!("--seed={seed}"), format!("--seed={real}")]
        .iter()
        .flat_map(|argument| processes_with_argument(argument))
        .collect()
}

/// Returns the values of all figures of this role and quantity, in the order of the phases.
fn values(report: &Value, role: &str, quantity: &str) -> Vec<f64> {
    let figures = report["figures"].as_array().unwrap();
    let matching = figures
        .iter()
        .filter(|f| f["role"] == role && f["quantity"] == quantity);
    matching.map(|f| f["value"].as_f64().unwrap()).collect()
}

/// Checks that every role has its figures of memory, processor time and traffic.
fn check_figures_of_roles(report: &Value) {
    for role in [
        "voter_leader",
        "voter_follower",
        "hollow_router",
        "real_router",
    ] {
        // One figure for the launch and for each of the three phases.
        for quantity in ["memory_steady", "memory_peak"] {
            let bytes = values(report, role, quantity);
            assert!(
                bytes.len() == 4 && bytes.iter().all(|b| *b > 10_000.0),
                "{role} {quantity}: {bytes:?}"
            );
        }
        let shares = values(report, role, "processor_share");
        assert!(shares.len() >= 3, "{role}: {shares:?}");
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
fn small_fleet_keeps_its_bounds_through_revisions_and_loss_of_the_leader() {
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
        PROCESSOR_BUDGET,
    ];
    let output = run(&[&SMALL_FLEET[..], &phases, &more].concat(), &json);
    let (stdout, stderr) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert_eq!(output.status.code(), Some(0), "{stdout}{stderr}");
    assert!(stderr.contains("bound: processes at most 200"), "{stderr}");
    assert!(
        stdout.contains("services 320: not carried") && stdout.contains("routes 7500: not carried"),
        "{stdout}"
    );
    let report = read(&json);
    assert_eq!(
        (&report["outcome"], &report["findings"]),
        (&"kept".into(), &Value::Array(Vec::new()))
    );
    check_figures_of_roles(&report);
    // A router requests its lease three times per lease of 3 s, but at a higher rate until there is a leader.
    let request_rates = values(&report, "hollow_router", "frames_sent");
    assert!(
        request_rates[1..]
            .iter()
            .all(|rate| (0.5..3.0).contains(rate)),
        "{request_rates:?}"
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
    assert!(running_routers(910_001).is_empty());
}

#[test]
fn fleet_keeps_its_bounds_while_parts_of_it_are_absent_cut_off_or_suspended() {
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
        PROCESSOR_BUDGET,
    ];
    let output = run(&[&SMALL_FLEET[..], &phases, &more].concat(), &json);
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{stdout}");
    let report = read(&json);
    let revisions = values(&report, "fleet", "revisions");
    assert!(
        revisions.len() == 5 && revisions.iter().all(|n| *n >= 1.0),
        "expected at least one revision in each phase: {revisions:?}"
    );
    // Routers start in the phases launch, churn, zone and start.
    assert_eq!(values(&report, "fleet", "time_to_ready_worst").len(), 4);
    assert!(running_routers(910_002).is_empty());
}

#[test]
fn exceeded_budgets_are_findings() {
    let json = report_file("budget");
    let small = [
        "--router-bytes-per-second=1",
        "--router-memory-mb=0.01",
        "--router-processor-share=0.000001",
    ];
    let more = ["--phase=quiet", "--quiet-lasts=2s", "--seed=910003"];
    let output = run(&[&SMALL_FLEET[..], &small, &more].concat(), &json);
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
fn late_revision_is_a_finding() {
    let json = report_file("late");
    let more = [
        "--phase=changes",
        "--changes-last=2s",
        "--in-force-within=100ms",
        "--seed=910004",
    ];
    let output = run(&[&SMALL_FLEET[..], &more].concat(), &json);
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

/// A proposal with 33,000 tenants exceeds the frame limit of a voter for operators.
#[test]
fn revision_that_no_voter_accepts_is_a_finding_with_its_size() {
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
    let text = refused.expect("a finding 'revision refused'")["text"]
        .as_str()
        .unwrap()
        .to_string();
    assert!(
        text.starts_with("a proposal of 3") && text.contains("bytes was not announced"),
        "{text}"
    );
}

/// Invalid flags, and a part of the error message for each.
const INVALID_FLAGS: [(&[&str], &str); 15] = [
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
fn invalid_flags_are_reported_in_one_line_before_any_process_starts() {
    for (arguments, message) in INVALID_FLAGS {
        let mut command = Command::new(PROGRAM);
        let output = command
            .arg("scale")
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {stderr}");
        let lines: Vec<&str> = stderr
            .lines()
            .filter(|line| !line.starts_with("bound: "))
            .collect();
        assert_eq!(lines.len(), 1, "{arguments:?}: {stderr}");
        assert!(
            lines[0].starts_with("spokeflow-testbed: ") && lines[0].contains(message),
            "{arguments:?}: {stderr}"
        );
    }
    for unparsable in [
        &["--routers=many"][..],
        &["--phase=noisy"],
        &["--quiet-lasts=10"],
        &["--seed=-1"],
    ] {
        let output = Command::new(PROGRAM)
            .arg("scale")
            .args(unparsable)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{unparsable:?}");
    }
}

#[test]
fn run_that_needs_more_than_half_of_the_memory_is_refused() {
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
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("MB of memory, under"), "{stderr}");
}

#[test]
fn run_that_needs_more_descriptors_than_the_limit_is_refused() {
    let script = format!("ulimit -n 600 && exec '{PROGRAM}' scale --routers 31");
    let output = Command::new("sh").args(["-c", &script]).output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("600 allowed: raise ulimit -n"), "{stderr}");
}

/// The tenants of a real router are passed as arguments, here more than the system accepts for a process.
#[test]
fn process_that_cannot_be_started_is_named_in_the_report() {
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
    assert!(running_routers(910_006).is_empty());
}

/// Waits until a process of hollow routers of the run with this seed is running, and returns its process id.
fn wait_for_hollow_process(seed: u64) -> i32 {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        if let Some(pid) = processes_with_argument(&format!("--seed={seed}"))
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
    panic!("no process of hollow routers with seed {seed} was started within 20 s");
}

/// Starts a run, calls `fault` with its process id, and waits for its end. Returns its exit code, report and process
/// id.
fn run_with_fault(name: &str, seed: u64, fault: impl Fn(u32)) -> (Option<i32>, Value, u32) {
    let json = report_file(name);
    let mut command = Command::new(PROGRAM);
    command.args(SMALL_FLEET).args([
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
    wait_for_hollow_process(seed);
    std::thread::sleep(Duration::from_secs(2));
    fault(scale.id());
    let deadline = Instant::now() + Duration::from_secs(20);
    while scale.try_wait().unwrap().is_none() {
        if Instant::now() > deadline {
            scale.kill().unwrap();
            panic!("the run did not end within 20 s of the fault");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    (scale.wait().unwrap().code(), read(&json), scale.id())
}

#[test]
fn process_that_ends_by_itself_stops_the_run() {
    let seed = 910_007;
    let kill_hollow_process = |_| {
        kill(
            Pid::from_raw(wait_for_hollow_process(seed)),
            Signal::SIGKILL,
        )
        .unwrap()
    };
    let (code, report, pid) = run_with_fault("ended", seed, kill_hollow_process);
    assert_eq!(code, Some(1));
    let stopped = report["stopped"].as_str().unwrap();
    assert!(
        stopped.starts_with("hollow-") && stopped.ends_with("has ended by itself"),
        "{stopped}"
    );
    assert!(running_routers(seed).is_empty());
    let stores = std::env::temp_dir().join(format!("spokeflow-scale-{pid}"));
    let store = format!("--store={}", stores.join("voter-1.redb").display());
    assert!(processes_with_argument(&store).is_empty() && !stores.exists());
}

#[test]
fn terminated_run_leaves_no_process_behind() {
    let seed = 910_008;
    let terminate = |pid: u32| kill(Pid::from_raw(pid as i32), Signal::SIGTERM).unwrap();
    let (code, report, pid) = run_with_fault("terminated", seed, terminate);
    assert_eq!(code, Some(1));
    assert_eq!(report["stopped"], "received SIGTERM or SIGINT");
    assert!(running_routers(seed).is_empty());
    let stores = std::env::temp_dir().join(format!("spokeflow-scale-{pid}"));
    let store = format!("--store={}", stores.join("voter-1.redb").display());
    assert!(processes_with_argument(&store).is_empty() && !stores.exists());
}
