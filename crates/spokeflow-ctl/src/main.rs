//! The operators' command line for the control plane.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use comfy_table::Table;
use rand::RngExt;
use serde::Serialize;
use spokeflow_config::check_overrides;
use spokeflow_control_plane::client::ask;
use spokeflow_coordination::wire::{ClusterStatus, Request, Response};
use spokeflow_coordination::{Overrides, Proposal, ProposalOutcome, RevisionNumber};
use spokeflow_raft::NodeId;

/// Shows and changes the configuration that all routers of a fleet follow. Exit code 0: done; 1: refused, or not so;
/// 2: wrong use, or no node answers
#[derive(Parser)]
#[command(name = "spokeflowctl", version)]
struct Program {
    #[command(flatten)]
    common: Common,
    #[command(subcommand)]
    what: What,
}

#[derive(Args)]
struct Common {
    /// A control-plane node; repeat the flag for each, any that answers will do
    #[arg(
        long = "control-plane",
        alias = "keeper",
        env = "SPOKEFLOW_CONTROL_PLANE",
        value_delimiter = ',',
        global = true
    )]
    keepers: Vec<SocketAddr>,
    /// Prints JSON
    #[arg(long, global = true)]
    json: bool,
    /// How long to try
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration, global = true)]
    within: Duration,
}

#[derive(Subcommand)]
enum What {
    /// Who leads, what is in force, what is announced, who acts on it
    Status,
    /// Revisions, who offered them, when and why
    History,
    /// Proposes a revision: NAME=VALUE for each flag that is to differ from the routers' own. What is not named goes
    /// back to those, unless --keep is given
    #[command(alias = "offer")]
    Propose(ProposeFlags),
    /// What a revision would change against the newest
    Diff {
        #[arg(value_name = "NAME=VALUE")]
        values: Vec<String>,
    },
    /// Checks values as the control plane does; connects to no node
    Check {
        #[arg(value_name = "NAME=VALUE")]
        values: Vec<String>,
    },
    /// Waits until this revision, or a later one, is in force
    Watch { revision: u64 },
    /// Registers the address of a node, so that it may be added
    #[command(alias = "seat")]
    Register { keeper: u32, address: SocketAddr },
    /// Adds a node whose address is known
    #[command(alias = "take-in")]
    AddNode { keeper: u32 },
    /// Removes a node, for good: its number is not used again
    #[command(alias = "take-out")]
    RemoveNode { keeper: u32 },
}

#[derive(Args)]
struct ProposeFlags {
    #[arg(value_name = "NAME=VALUE")]
    values: Vec<String>,
    /// Names that are not given stay as the newest revision has them
    #[arg(long)]
    keep: bool,
    /// The newest revision that you have seen; refused where there is a newer one. Asked for where not given
    #[arg(long)]
    against: Option<u64>,
    /// Who offers it
    #[arg(long, env = "USER")]
    who: String,
    /// Why, in one sentence
    #[arg(long)]
    why: String,
    /// Waits until it is in force
    #[arg(long)]
    wait: bool,
}

enum Fault {
    /// It is not so, or it was refused.
    Refused(String),
    Wrong(String),
}

fn read(values: &[String]) -> Result<Overrides, Fault> {
    let mut all = Overrides::new();
    for text in values {
        let (name, value) = text.split_once('=').ok_or_else(|| {
            Fault::Wrong(format!(
                "'{text}' is not NAME=VALUE, such as stage-cap=0.05,0.2,0.5,1"
            ))
        })?;
        all.insert(name.trim_start_matches('-').to_string(), value.to_string());
    }
    Ok(all)
}

fn text(values: &Overrides) -> String {
    match values.is_empty() {
        true => "each router's own flags".into(),
        false => values
            .iter()
            .map(|(n, v)| format!("{n}={v}"))
            .collect::<Vec<_>>()
            .join(" "),
    }
}

#[derive(Serialize)]
struct Change {
    name: String,
    before: Option<String>,
    after: Option<String>,
}

fn changes(before: &Overrides, after: &Overrides) -> Vec<Change> {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let change = |n: &String| Change {
        name: n.clone(),
        before: before.get(n).cloned(),
        after: after.get(n).cloned(),
    };
    names
        .into_iter()
        .map(change)
        .filter(|c| c.before != c.after)
        .collect()
}

impl Common {
    async fn ask(&self, what: Request) -> Result<Response, Fault> {
        if self.keepers.is_empty() {
            return Err(Fault::Wrong(
                "--control-plane: at least one address, or the variable SPOKEFLOW_CONTROL_PLANE"
                    .into(),
            ));
        }
        match ask(&self.keepers, what, self.within).await {
            Ok(Response::Invalid(what)) => Err(Fault::Refused(what)),
            Ok(Response::Indeterminate) => Err(Fault::Refused(
                "not clear whether it was done: see status".into(),
            )),
            Ok(answer) => Ok(answer),
            Err(what) => Err(Fault::Wrong(what)),
        }
    }

    async fn view(&self) -> Result<ClusterStatus, Fault> {
        match self.ask(Request::Status).await? {
            Response::Status(view) => Ok(*view),
            other => Err(Fault::Wrong(format!("another answer came: {other:?}"))),
        }
    }

    fn print(&self, value: &impl Serialize, table: impl FnOnce() -> String) -> Result<(), Fault> {
        match self.json {
            true => {
                println!(
                    "{}",
                    serde_json::to_string_pretty(value).map_err(|e| Fault::Wrong(e.to_string()))?
                )
            }
            false => println!("{}", table()),
        }
        Ok(())
    }

    async fn wait_for(&self, revision: u64) -> Result<(), Fault> {
        let until = tokio::time::Instant::now() + self.within;
        loop {
            let view = self.view().await?;
            if view.in_force.number.0 >= revision {
                return self.print(&view.in_force, || {
                    format!("revision {} is in force", view.in_force.number.0)
                });
            }
            if tokio::time::Instant::now() >= until {
                let now = view.in_force.number.0;
                return Err(Fault::Refused(format!(
                    "revision {now} is in force, {revision} is not yet"
                )));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn members(&self, keeper: u32, take_in: bool) -> Result<(), Fault> {
        let mut members = self.view().await?.voters;
        let there = members.contains(&NodeId(keeper));
        if there != take_in {
            members.retain(|m| m.0 != keeper);
            members.extend(take_in.then_some(NodeId(keeper)));
            self.ask(Request::ChangeVoters(members)).await?;
        }
        let until = tokio::time::Instant::now() + self.within;
        loop {
            // In the view from its beginning on; it stands once something later is committed.
            let view = self.view().await?;
            if view.voters.contains(&NodeId(keeper)) == take_in {
                let ids: Vec<u32> = view.voters.iter().map(|m| m.0).collect();
                return self.print(&ids, || format!("keepers that vote: {ids:?}"));
            }
            if tokio::time::Instant::now() >= until {
                return Err(Fault::Refused(
                    "the change does not stand yet: see status".into(),
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

async fn run(program: Program) -> Result<(), Fault> {
    let common = &program.common;
    match program.what {
        What::Status => {
            let view = common.view().await?;
            common.print(&view, || status(&view))
        }
        What::History => {
            let view = common.view().await?;
            common.print(&view.history, || history(&view))
        }
        What::Propose(flags) => offer(common, flags).await,
        What::Diff { values } => {
            let view = common.view().await?;
            let newest = view.pending.as_ref().unwrap_or(&view.in_force);
            let changes = changes(&newest.values, &read(&values)?);
            common.print(&changes, || {
                let mut table = Table::new();
                let number = newest.number.0;
                table.set_header([
                    "flag".to_string(),
                    format!("revision {number}"),
                    "offered".into(),
                ]);
                let own = || "router's own".to_string();
                for c in &changes {
                    table.add_row([
                        c.name.clone(),
                        c.before.clone().unwrap_or_else(own),
                        c.after.clone().unwrap_or_else(own),
                    ]);
                }
                table.to_string()
            })
        }
        What::Check { values } => {
            let values = read(&values)?;
            check_overrides(&values).map_err(|errors| Fault::Refused(errors.to_string()))?;
            common.print(&values, || {
                "each value fits by itself; each router checks them with its own flags".into()
            })
        }
        What::Watch { revision } => common.wait_for(revision).await,
        What::Register { keeper, address } => {
            let (keeper, address) = (NodeId(keeper), address.to_string());
            common
                .ask(Request::SetAddress {
                    node: keeper,
                    address,
                })
                .await
                .map(drop)
        }
        What::AddNode { keeper } => common.members(keeper, true).await,
        What::RemoveNode { keeper } => common.members(keeper, false).await,
    }
}

async fn offer(common: &Common, flags: ProposeFlags) -> Result<(), Fault> {
    let mut values = read(&flags.values)?;
    let view = common.view().await?;
    let newest = view.pending.as_ref().unwrap_or(&view.in_force);
    if flags.keep {
        let mut kept = newest.values.clone();
        kept.append(&mut values);
        values = kept;
    }
    let against = RevisionNumber(flags.against.unwrap_or(newest.number.0));
    let token = rand::rng().random();
    let (who, why) = (flags.who, flags.why);
    let offer = Proposal {
        token,
        base: against,
        who,
        why,
        at_s: 0,
        values,
    };
    match common.ask(Request::Propose(offer)).await? {
        Response::Proposed(ProposalOutcome::Pending(RevisionNumber(n))) => {
            common.print(&n, || format!("revision {n} is announced"))?;
            if flags.wait {
                common.wait_for(n).await?;
            }
            Ok(())
        }
        Response::Proposed(ProposalOutcome::Stale { newest }) => Err(Fault::Refused(format!(
            "made against revision {}, but {} is the newest",
            against.0, newest.0
        ))),
        Response::Proposed(ProposalOutcome::Busy { pending: announced }) => Err(Fault::Refused(
            format!("revision {} is announced and not in force yet", announced.0),
        )),
        other => Err(Fault::Wrong(format!("another answer came: {other:?}"))),
    }
}

fn status(view: &ClusterStatus) -> String {
    let ids: Vec<u32> = view.voters.iter().map(|m| m.0).collect();
    let mut lines = vec![
        format!(
            "leader          keeper {}, term {}",
            view.leader.0, view.term.0
        ),
        format!(
            "keepers         {ids:?}, log committed to {}",
            view.committed.0
        ),
        format!(
            "in force        revision {}: {}",
            view.in_force.number.0,
            text(&view.in_force.values)
        ),
    ];
    if let Some(a) = &view.pending {
        lines.push(format!(
            "announced       revision {}: {}",
            a.number.0,
            text(&a.values)
        ));
    }
    if view.list > 0 || view.list_rejection.is_some() {
        let rejection = view
            .list_rejection
            .map_or(String::new(), |r| format!("; rejected: {r:?}"));
        let (list, source, hosts) = (view.list, view.list_source, view.hosts);
        lines.push(format!(
            "host list       version {list} (source's {source}), {hosts} hosts{rejection}"
        ));
    }
    lines.push(format!(
        "routers         {} hold a lease, {} act on the newest revision",
        view.leases, view.up_to_date_leases
    ));
    lines.join("\n")
}

fn history(view: &ClusterStatus) -> String {
    let mut table = Table::new();
    table.set_header([
        "revision",
        "values",
        "who",
        "why",
        "offered",
        "in force after",
    ]);
    for r in &view.history {
        let at = std::time::UNIX_EPOCH + Duration::from_secs(r.proposed_s);
        let after = r.in_force_s.map_or("not yet".into(), |s| {
            format!("{} s", s.saturating_sub(r.proposed_s))
        });
        table.add_row([
            r.revision.number.0.to_string(),
            text(&r.revision.values),
            r.who.clone(),
            r.why.clone(),
            humantime::format_rfc3339_seconds(at).to_string(),
            after,
        ]);
    }
    table.to_string()
}

fn main() -> ExitCode {
    spokeflow_config::adopt_former_variables();
    let program = Program::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("spokeflowctl: cannot start: {e}");
            return ExitCode::from(2);
        }
    };
    match runtime.block_on(run(program)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Fault::Refused(what)) => {
            eprintln!("spokeflowctl: {what}");
            ExitCode::FAILURE
        }
        Err(Fault::Wrong(what)) => {
            eprintln!("spokeflowctl: {what}");
            ExitCode::from(2)
        }
    }
}
