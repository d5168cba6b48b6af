//! Hosts many routers on the simulator's wire: standard input to standard output.

mod frame;
mod reply;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use frame::{Fields, Malformed};
use reply::Reply;
use spokeflow_core::{
    AttemptOutcome, BuildId, CommandId, ControllerStats, Endpoint, EndpointState, HostId, Key,
    ListKind, Micros, OpType, RolloutState, RolloutStatus, Router, TenantId, VoteOutcome, ZoneId,
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("spokeflow-wirehost: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut wire = Wire {
        routers: BTreeMap::new(),
        busy_column: BTreeMap::new(),
        lists: Default::default(),
        reply: Reply::new(),
    };
    let mut body = Vec::new();
    while let Some((count, now)) =
        frame::read_batch(&mut input, &mut body).map_err(|e| e.to_string())?
    {
        wire.batch(&body, count, now).map_err(|e| e.to_string())?;
        output
            .write_all(wire.reply.frame())
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
        wire.reply.clear();
    }
    Ok(())
}

struct Wire {
    routers: BTreeMap<u32, Router>,
    /// Where in a load report each router's hosts say how busy they are.
    busy_column: BTreeMap<u32, usize>,
    lists: [Vec<Endpoint>; 16],
    reply: Reply,
}

impl Wire {
    fn batch(&mut self, body: &[u8], count: usize, now: Micros) -> Result<(), Malformed> {
        let mut all = Fields::new(body, 0, 16);
        let mut instance = None;
        for n in 0..count {
            let mut head = Fields::new(&body[all.byte() - 16..], n, all.byte());
            let code = head.u8()?;
            let len = head.u32()? as usize;
            let start = head.byte();
            let fields = head.bytes(len)?;
            all.bytes(5 + len)?;
            let mut fields = Fields::new(fields, n, start);
            if code == 14 {
                instance = Some(fields.u32()?);
            } else if code == 13 {
                self.define_list(&mut fields)?;
            } else {
                let Some(instance) = instance else {
                    return Err(fields.malformed("an event before any For record"));
                };
                self.event(code, instance, now, &mut fields)?;
            }
        }
        if !all.is_empty() {
            return Err(Malformed {
                record: Some(count),
                byte: all.byte(),
                what: format!("bytes follow the {count} records that the header counts"),
            });
        }
        Ok(())
    }

    fn define_list(&mut self, f: &mut Fields) -> Result<(), Malformed> {
        let table = f.u8()?;
        let count = f.u32()?;
        let mut lines = Vec::new();
        for _ in 0..count {
            lines.push(host_line(f)?);
        }
        let Some(list) = self.lists.get_mut(usize::from(table)) else {
            return Err(f.malformed(format!("list number {table} is over 15")));
        };
        *list = lines;
        Ok(())
    }

    fn event(
        &mut self,
        code: u8,
        instance: u32,
        now: Micros,
        f: &mut Fields,
    ) -> Result<(), Malformed> {
        let out = &mut self.reply;
        out.speak_for(instance);
        if code == 0 {
            let seed = f.u64()?;
            let len = f.u32()? as usize;
            let text = f.bytes(len)?;
            let told = spokeflow_settings::Settings::parse(text)
                .map_err(|error| f.malformed(error.to_string()))?;
            self.busy_column.remove(&instance);
            if let Some(column) = told.busy_column {
                self.busy_column.insert(instance, column);
            }
            self.routers
                .insert(instance, Router::new(&told.config, seed, now, out));
            return Ok(());
        }
        // What arrives for a router that was killed is nobody's.
        let Some(router) = self.routers.get_mut(&instance) else {
            return Ok(());
        };
        router.set_time(now);
        match code {
            1 => {
                f.u32()?;
                let table = f.u8()?;
                let kind = match f.u8()? {
                    0 => ListKind::Changes,
                    1 => ListKind::Complete,
                    3 => ListKind::Cached,
                    2 => {
                        router.on_list_failure();
                        return Ok(());
                    }
                    other => return Err(f.malformed(format!("list mode {other} is not known"))),
                };
                let Some(lines) = self.lists.get(usize::from(table)) else {
                    return Err(f.malformed(format!("list number {table} is over 15")));
                };
                router.on_endpoints(kind, lines, out);
            }
            2 => {
                let cmd = CommandId(f.u32()?);
                f.u8()?;
                let share = TenantId(f.u32()?);
                let op = OpType(f.u16()?);
                f.f64()?;
                let key = Key(f.u64()?);
                let left = f.time()?;
                router.on_command(cmd, op, share, key, left, out);
            }
            3 => {
                let cmd = CommandId(f.u32()?);
                f.f64()?;
                let delivery = f.u8()?;
                router.on_response_started(cmd, delivery);
            }
            4 => {
                let cmd = CommandId(f.u32()?);
                let delivery = f.u8()?;
                let host = HostId(f.u32()?);
                let end = delivery_end(f)?;
                let latency = f.time()?;
                let finished = f.u8()? != 0;
                let load = f.load()?;
                let busy = self
                    .busy_column
                    .get(&instance)
                    .and_then(|column| load.get(*column));
                if let Some(busy) = busy {
                    router.on_load_report(host, *busy);
                }
                router.on_attempt_outcome(cmd, delivery, end, latency, finished, out);
            }
            5 => router.finish(CommandId(f.u32()?), out),
            6 => {
                f.u32()?;
                router.on_timer(out);
            }
            9 => {
                self.routers.remove(&instance);
            }
            10 => {
                let build = BuildId(f.u16()?);
                let stage = f.u8()?;
                let standing = match f.u8()? {
                    0 => RolloutState::Canary,
                    1 => RolloutState::RollingBack,
                    2 => RolloutState::Released,
                    3 => RolloutState::Withdrawn,
                    other => return Err(f.malformed(format!("standing {other} is not known"))),
                };
                let answers_vote = f.u8()? == 1;
                let result = f.u16()?;
                let cap = f.f32()?;
                let age = f.time()?;
                if answers_vote {
                    router.on_vote_outcome(vote_answer(result));
                }
                if result == 100 {
                    router.on_rollout_status(
                        RolloutStatus {
                            build,
                            stage,
                            state: standing,
                            exposure_cap: cap,
                            age,
                        },
                        out,
                    );
                }
            }
            12 => {
                let host = HostId(f.u32()?);
                let since = f.time()?;
                f.u16()?;
                router.on_wrong_answer(host, since);
            }
            11 => {
                let sampled = f.u32()?;
                let age = f.time()?;
                let (op, build) = (OpType(f.u16()?), BuildId(f.u16()?));
                let mean = f.time()?;
                let lost = f.u32()?;
                router.on_controller_stats(ControllerStats {
                    build,
                    op,
                    sampled,
                    failed: lost,
                    mean_latency: mean,
                    age,
                });
            }
            // Routers send each other nothing, probes are not asked for, codes of a later wire not known.
            _ => {}
        }
        Ok(())
    }
}

fn host_line(f: &mut Fields) -> Result<Endpoint, Malformed> {
    let release = f.f32()?;
    let cell = f.u16()?;
    let zone = ZoneId(f.u16()?);
    f.u8()?;
    let phase = match f.u8()? {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(f.malformed(format!("host phase {other} is not known"))),
    };
    let size = f.f32()?;
    let size = if size.is_finite() && size > 0.0 {
        size
    } else {
        1.0
    };
    let ready_at = f.time()?;
    let build = (0.0..65536.0)
        .contains(&release)
        .then_some(BuildId(release as u16));
    let started = (ready_at != 0).then_some(ready_at);
    Ok(Endpoint {
        host: HostId(f.u32()?),
        build,
        cell,
        zone,
        state: phase,
        size,
        started_at: started,
    })
}

fn delivery_end(f: &mut Fields) -> Result<AttemptOutcome, Malformed> {
    Ok(match f.u16()? {
        100 => AttemptOutcome::Acked,
        301 => AttemptOutcome::Error,
        302 => AttemptOutcome::Rejected,
        303 => AttemptOutcome::TimedOut,
        304 => AttemptOutcome::NotConnected,
        305 => AttemptOutcome::Reset,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::NotSent,
        other => return Err(f.malformed(format!("result {other} is not known"))),
    })
}

fn vote_answer(result: u16) -> VoteOutcome {
    match result {
        100 => VoteOutcome::Counted,
        307 => VoteOutcome::Stale,
        302 => VoteOutcome::RateLimited,
        303 => VoteOutcome::NoResponse,
        _ => VoteOutcome::Refused,
    }
}
