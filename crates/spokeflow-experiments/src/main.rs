use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use spokeflow_control_plane::ControlPlaneProgram;
use spokeflow_experiments::capacity;
use spokeflow_experiments::plan::{MatrixFlags, Seeds, Terms, Which};
use spokeflow_experiments::store::{Store, Stored};
use spokeflow_experiments::{agree, agreement, alone, charts, compare, hunt, sweep, tables};
use spokeflow_router::{main_with, RouterProgram};
use spokeflow_scenario::flags::{ScenarioFlags, SizeFlags};
use spokeflow_scenario::scenario::{FleetSize, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play, StrategyKind};
use spokeflow_testbed::load::{load, pass_through, LoadFlags};
use spokeflow_testbed::routers::Starting;

/// Days in simulated time: one, many, two ways compared, the worst ones found; and loads on a real router
#[derive(Parser)]
#[command(name = "spokeflow-experiments", version)]
struct Program {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays one day in simulated time and prints its report. Exit code 0: all rules kept; 1: one broken; 2:
    /// wrong use
    Run(Box<RunFlags>),
    /// Plays days x seeds x sizes x terms x who on all cores, and writes tables and charts. What the store has
    /// is not played again, so a sweep that was cut off goes on. Exit code 1: the engine broke a rule
    Sweep(Box<SweepFlags>),
    /// Two ways to play the same days: paired differences with 95% intervals
    Compare(Box<CompareFlags>),
    /// Draws days, keeps those that break a rule or lose most against full sight, and shrinks them
    Hunt(Box<HuntFlags>),
    /// Plays the same days on sockets, with real routers, and in simulated time, and says how far both agree
    Agree(Box<AgreeFlags>),
    /// Plays drawn days of keepers and the routers that follow them, and says whether any two contradicted each other
    /// for longer than a lease. Exit code 1: they did
    Agreement(agreement::AgreementFlags),
    /// Tables and charts of a store
    Report(ReportFlags),
    /// What routers that each judge alone could know of a build at best, and one that hears all of them
    Alone(alone::AloneFlags),
    /// Prints what a target costs in each role, computed from measured lines, as a page in Markdown
    Capacity(capacity::CapacityFlags),
    /// Makes the measured lines that `capacity` reads from the raw runs of a folder
    CollectSlopes(capacity::CollectFlags),
    /// Measures by the real codecs how many bytes messages and kept records take, and writes a raw run
    MeasureBytes(capacity::MeasureBytesFlags),
    /// Measures over sockets what a real router adds to a request, over numbers of hosts, and writes a raw run
    MeasureLoad(capacity::MeasureLoadFlags),
    /// Puts an open loop of commands on a real router, beside a plain pass-through in turn
    Load(LoadFlags),
    #[command(hide = true)]
    Pass {
        #[arg(long)]
        host: Vec<std::net::SocketAddr>,
    },
    #[command(hide = true)]
    Router(Box<RouterProgram>),
    #[command(hide = true)]
    Keeper(Box<ControlPlaneProgram>),
}

#[derive(Args)]
struct RunFlags {
    #[command(flatten)]
    day: ScenarioFlags,
    /// StrategyKind decides: engine, random, round-robin, two-choices or full-sight
    #[arg(long, env = "SPOKEFLOW_LAB_WHO", default_value = "engine")]
    who: StrategyKind,
    /// Changes of the terms, NAME=VALUE joined by +
    #[arg(long, env = "SPOKEFLOW_LAB_TERMS", default_value = "usual")]
    terms: Terms,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Writes the curves of the day into this folder, as SVG and PNG
    #[arg(long)]
    charts: Option<PathBuf>,
    /// Prints events a second and what was kept at most, to standard error
    #[arg(long)]
    cost: bool,
}

#[derive(Args)]
struct SweepFlags {
    #[command(flatten)]
    matrix: MatrixFlags,
    #[command(flatten)]
    keep: KeepFlags,
    /// Where tables and charts go
    #[arg(long, env = "SPOKEFLOW_LAB_OUT", default_value = "lab-out")]
    out: PathBuf,
    /// Name of these files
    #[arg(long, default_value = "sweep")]
    name: String,
}

#[derive(Args)]
struct KeepFlags {
    /// The results
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_STORE",
        default_value = "lab-out/results.redb"
    )]
    store: PathBuf,
    /// Name of this build in the results [default: its version and a sum of the program]
    #[arg(long, env = "SPOKEFLOW_LAB_LABEL")]
    label: Option<String>,
    /// Days played at a time [default: as many as there are cores]
    #[arg(long, env = "SPOKEFLOW_LAB_JOBS")]
    jobs: Option<usize>,
}

impl KeepFlags {
    fn jobs(&self) -> usize {
        self.jobs
            .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()))
    }

    fn label(&self) -> String {
        self.label.clone().unwrap_or_else(sweep::own_build)
    }
}

#[derive(Args)]
struct CompareFlags {
    #[command(flatten)]
    matrix: MatrixFlags,
    #[command(flatten)]
    keep: KeepFlags,
    /// The first: WHO, or WHO:TERMS; played now where the store does not have it
    #[arg(long, default_value = "engine")]
    first: String,
    /// The second, compared with the first
    #[arg(long, default_value = "random")]
    second: String,
    /// The first is of this build, which played the same days into the store before
    #[arg(long)]
    first_label: Option<String>,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct HuntFlags {
    /// Seeds of the drawn days
    #[arg(long, env = "SPOKEFLOW_LAB_SEEDS", default_value = "1-200")]
    seeds: Seeds,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 90)]
    seconds: u64,
    /// FleetSize of the days
    #[arg(long, env = "SPOKEFLOW_DAY_SIZE", value_enum, default_value = "small")]
    size: FleetSize,
    /// A share of all routers must vote, and routers tell each other what they see
    #[arg(long, env = "SPOKEFLOW_LAB_MAJORITY")]
    majority: bool,
    /// Days kept and shrunk
    #[arg(long, default_value_t = 3)]
    worst: usize,
    /// Days played at most to shrink one
    #[arg(long, default_value_t = 80)]
    tries: usize,
    /// Days played at a time [default: as many as there are cores]
    #[arg(long, env = "SPOKEFLOW_LAB_JOBS")]
    jobs: Option<usize>,
}

#[derive(Args)]
struct AgreeFlags {
    /// Days: plain, bad-day, drawn or only:KIND, split by commas
    #[arg(
        long = "days",
        env = "SPOKEFLOW_LAB_DAYS",
        value_delimiter = ',',
        default_value = "bad-day"
    )]
    days: Vec<Which>,
    /// Seeds of each: one, or FIRST-LAST
    #[arg(long, env = "SPOKEFLOW_LAB_SEEDS", default_value = "1-3")]
    seeds: Seeds,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 40)]
    seconds: u64,
    /// Days played on sockets at a time
    #[arg(long, default_value_t = 3)]
    beside: usize,
}

#[derive(Args)]
struct ReportFlags {
    /// The results
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_STORE",
        default_value = "lab-out/results.redb"
    )]
    store: PathBuf,
    /// Only of this build
    #[arg(long, env = "SPOKEFLOW_LAB_LABEL")]
    label: Option<String>,
    /// Where tables and charts go
    #[arg(long, env = "SPOKEFLOW_LAB_OUT", default_value = "lab-out")]
    out: PathBuf,
    /// Name of these files
    #[arg(long, default_value = "report")]
    name: String,
    /// Lists every day in which a rule was broken, with the first messages
    #[arg(long)]
    broken: bool,
}

fn main() -> ExitCode {
    spokeflow_config::adopt_former_variables();
    let done = match Program::parse().what {
        What::Router(program) => return main_with(*program),
        What::Keeper(program) => return spokeflow_control_plane::main_with(*program),
        What::Run(flags) => run(&flags),
        What::Sweep(flags) => sweep_days(&flags),
        What::Compare(flags) => compare_days(&flags).map(|()| true),
        What::Hunt(flags) => hunt_days(&flags),
        What::Agree(flags) => agree_days(&flags).map(|()| true),
        What::Report(flags) => report(&flags).map(|()| true),
        What::Alone(flags) => {
            print!("{}", alone::text(&flags));
            Ok(true)
        }
        What::Agreement(flags) => Ok(agreement::agreement(&flags)),
        What::Capacity(flags) => {
            capacity::capacity(&flags)
                .map_err(|e| e.to_string())
                .map(|page| {
                    print!("{page}");
                    true
                })
        }
        What::CollectSlopes(flags) => capacity::collect_slopes(&flags)
            .map_err(|e| e.to_string())
            .map(|lines| {
                eprintln!("{lines} lines");
                true
            }),
        What::MeasureBytes(flags) => capacity::measure_bytes(&flags)
            .map_err(|e| e.to_string())
            .map(|records| {
                eprintln!("{records} records");
                true
            }),
        What::MeasureLoad(flags) => capacity::measure_load(&flags).map(|records| {
            eprintln!("{records} records");
            true
        }),
        What::Load(flags) => load(&flags).map(|()| true).map_err(|e| e.to_string()),
        What::Pass { host } => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let passed = runtime
                .map_err(|e| e.to_string())
                .and_then(|r| r.block_on(pass_through(&host)).map_err(|e| e.to_string()));
            passed.map(|()| true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(what) => {
            eprintln!("spokeflow-experiments: {what}");
            ExitCode::from(2)
        }
    }
}

fn run(flags: &RunFlags) -> Result<bool, String> {
    let mut day = flags.day.day()?;
    flags.terms.apply(&mut day);
    let began = std::time::Instant::now();
    let played = play(&day, flags.who, true);
    if flags.cost {
        let (took, span) = (
            began.elapsed().as_secs_f64(),
            played.span as f64 / SECOND as f64,
        );
        let [events, tries, seats] = played.most_kept;
        eprintln!(
            "{span:.0} s in {took:.2} s: {:.1} simulated seconds a second, {} events, {:.0} a second; kept at most \
             {events} events, {tries} tries, {seats} hosts",
            span / took,
            played.events,
            played.events as f64 / took
        );
    }
    let report = &played.report;
    if let Some(folder) = &flags.charts {
        std::fs::create_dir_all(folder)
            .map_err(|e| format!("--charts {}: {e}", folder.display()))?;
        let name = format!(
            "{}-{}-{}",
            report.scenario.replace(' ', "-"),
            report.seed,
            flags.who
        );
        charts::over_time(folder, &name, report)?;
    }
    if flags.json {
        println!(
            "{}",
            serde_json::to_string_pretty(report).map_err(|e| e.to_string())?
        );
    } else {
        print!("{}", report.text());
    }
    Ok(report.sound())
}

fn sweep_days(flags: &SweepFlags) -> Result<bool, String> {
    let cells = flags.matrix.cells()?;
    let (store, label) = (Store::open(&flags.keep.store)?, flags.keep.label());
    let all = sweep::sweep(&store, &label, &cells, flags.keep.jobs())?;
    print!("{}", sweep::write_out(&all, &flags.out, &flags.name)?);
    let broken: Vec<&Stored> = all
        .iter()
        .filter(|s| s.who == "engine" && !s.report.broken.is_empty())
        .collect();
    for s in &broken {
        eprintln!(
            "a rule is broken: {} seed {} size {} terms {}",
            s.day, s.seed, s.size, s.terms
        );
    }
    Ok(broken.is_empty())
}

fn compare_days(flags: &CompareFlags) -> Result<(), String> {
    let (store, label) = (Store::open(&flags.keep.store)?, flags.keep.label());
    let side = |text: &str, build: &str| {
        let (who, terms) = text.split_once(':').unwrap_or((text, "usual"));
        let mut matrix = flags.matrix.clone();
        matrix.who = vec![who.parse()?];
        matrix.terms = vec![terms.parse()?];
        let cells = matrix.cells()?;
        if build != label {
            // Another build's days cannot be played by this one.
            for cell in &cells {
                if !store.has(build, &cell.key())? {
                    return Err(format!(
                        "--first-label {build}: the store lacks {} seed {}",
                        cell.day, cell.seed
                    ));
                }
            }
        }
        sweep::sweep(&store, build, &cells, flags.keep.jobs())
    };
    let first = side(&flags.first, flags.first_label.as_deref().unwrap_or(&label))?;
    let second = side(&flags.second, &label)?;
    let all = compare::compare(&first, &second)?;
    if flags.json {
        let list: Vec<_> = all
            .iter()
            .map(|d| {
                serde_json::json!({"figure": d.what, "days": d.days, "first": d.first, "second": d.second,
                "difference": d.mean, "from": d.low, "to": d.high})
            })
            .collect();
        println!(
            "{}",
            serde_json::to_string_pretty(&list).map_err(|e| e.to_string())?
        );
    } else {
        print!("{}", tables::text(&compare::HEAD, &compare::rows(&all)));
    }
    Ok(())
}

fn hunt_days(flags: &HuntFlags) -> Result<bool, String> {
    if flags.seconds < 10 {
        return Err("--seconds: at least 10".into());
    }
    let size = SizeFlags {
        size: Some(flags.size),
        majority: flags.majority,
        ..SizeFlags::default()
    };
    let seeds: Vec<u64> = (flags.seeds.0..=flags.seeds.1).collect();
    let length = flags.seconds as Micros * SECOND;
    let day = |seed: u64| size.apply(Scenario::drawn(seed, length));
    seeds.first().map(|s| day(*s)).transpose()?;
    let jobs = flags
        .jobs
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()));
    let next = std::sync::atomic::AtomicUsize::new(0);
    let mut found: Vec<(u64, hunt::Found, Scenario)> = std::thread::scope(|s| {
        let work = || {
            let mut found = Vec::new();
            while let Some(seed) =
                seeds.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
            {
                if let Ok(day) = day(*seed) {
                    found.push((*seed, hunt::judge(&day), day));
                }
            }
            found
        };
        let all: Vec<_> = (0..jobs.max(1)).map(|_| s.spawn(work)).collect();
        all.into_iter()
            .flat_map(|t| t.join().unwrap_or_default())
            .collect()
    });
    found.sort_by(|a, b| b.1.weight().total_cmp(&a.1.weight()).then(a.0.cmp(&b.0)));
    let broken = found
        .iter()
        .filter(|f| matches!(f.1, hunt::Found::Rule(_)))
        .count();
    let mean = found.iter().filter_map(|f| {
        if let hunt::Found::Loss(l) = f.1 {
            Some(l)
        } else {
            None
        }
    });
    let (count, sum) = mean.fold((0, 0.0), |(n, s), l| (n + 1, s + l));
    println!(
        "{} days: {broken} with a rule broken, mean loss against full sight {:.4}",
        found.len(),
        sum / f64::from(count.max(1))
    );
    for (seed, what, day) in found.iter().take(flags.worst) {
        let small = hunt::shrink(day, *what, flags.tries);
        println!("seed {seed}: {what:?}, {}", hunt::summary(day));
        println!(
            "  shrunk to {}, {:?}",
            hunt::summary(&small),
            hunt::judge(&small)
        );
        println!("  spokeflow-experiments run {}", hunt::flags(&small));
    }
    Ok(broken == 0)
}

fn agree_days(flags: &AgreeFlags) -> Result<(), String> {
    if flags.seconds < 5 || flags.beside == 0 {
        return Err("--seconds: at least 5; --beside: at least 1".into());
    }
    let length = flags.seconds as Micros * SECOND;
    let seeds = flags.seeds.0..=flags.seeds.1;
    let days: Vec<Scenario> = flags
        .days
        .iter()
        .flat_map(|w| seeds.clone().map(|seed| w.day(seed, length)))
        .collect();
    let starting = Starting::own().map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let mut rows = Vec::new();
    for some in days.chunks(flags.beside) {
        let on_sockets = runtime.block_on(async {
            let all = some.iter().map(|day| {
                tokio::spawn(spokeflow_testbed::day::play(
                    day.clone(),
                    starting.clone(),
                    |_| {},
                ))
            });
            let mut played = Vec::new();
            for day in all.collect::<Vec<_>>() {
                let run = day.await.map_err(|e| e.to_string());
                played.push(run.and_then(|p| p.map_err(|e| e.to_string())));
            }
            played
        });
        for (day, played) in some.iter().zip(on_sockets) {
            eprintln!("{} seed {}", day.name, day.seed);
            rows.push(agree::Pair {
                sockets: played?.report,
                simulated: play(day, StrategyKind::Engine, false).report,
            });
        }
    }
    print!("{}", tables::text(&agree::HEAD, &agree::rows(&rows)));
    runtime.shutdown_background();
    Ok(())
}

fn report(flags: &ReportFlags) -> Result<(), String> {
    if !flags.store.exists() {
        return Err(format!("--store {}: there is none", flags.store.display()));
    }
    let mut all = Store::open(&flags.store)?.all()?;
    if let Some(label) = &flags.label {
        all.retain(|s| s.build == *label);
    }
    let mut builds: Vec<&str> = all.iter().map(|s| s.build.as_str()).collect();
    builds.sort_unstable();
    builds.dedup();
    if builds.len() > 1 {
        return Err(format!(
            "--label: the store has results of {}",
            builds.join(", ")
        ));
    }
    print!("{}", sweep::write_out(&all, &flags.out, &flags.name)?);
    if flags.broken {
        for s in all.iter().filter(|s| !s.report.broken.is_empty()) {
            println!(
                "{} seed {} size {} terms {} by {}",
                s.day, s.seed, s.size, s.terms, s.who
            );
            for b in s.report.broken.iter().take(2) {
                println!("  rule {} at {:.3} s: {}", b.rule, b.at_s, b.what);
                b.messages.iter().take(6).for_each(|m| println!("    {m}"));
            }
        }
    }
    Ok(())
}
