//! Runs a number of commands through the decision module and ends, for a profiler that counts
//! instructions:
//! `valgrind --tool=callgrind target/release/examples/replay quiet 1000 600`.

#[path = "../benches/traffic/mod.rs"]
mod traffic;

use std::process::ExitCode;

use traffic::{Phase, Traffic};

fn arguments() -> Option<(Phase, u32, u32)> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [phase, hosts, commands] = arguments.as_slice() else {
        return None;
    };
    let phase = Phase::ALL.into_iter().find(|other| other.name() == phase)?;
    let hosts = hosts.parse().ok().filter(|&count| count > 0)?;
    Some((phase, hosts, commands.parse().ok()?))
}

fn main() -> ExitCode {
    let Some((phase, hosts, commands)) = arguments() else {
        let names = Phase::ALL.map(Phase::name).join("|");
        eprintln!("usage: replay {names} HOSTS COMMANDS, with at least one host");
        return ExitCode::from(2);
    };
    let mut traffic = Traffic::start(phase, hosts);
    for _ in 0..commands {
        traffic.send_command();
    }
    println!(
        "{hosts} hosts, {commands} commands, {} refused",
        traffic.refused()
    );
    ExitCode::SUCCESS
}
