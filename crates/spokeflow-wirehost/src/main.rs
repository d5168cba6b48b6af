//! Hosts many routers on the simulator's wire: standard input to standard output.

mod frame;
mod reply;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use frame::{Fields, Malformed};
use reply::Reply;
use spokeflow_core::{
    BuildId, CommandId, DeliveryEnd, DeskCount, HostId, HostLine, HostPhase, Key, ListKind, Micros,
    OpType, Router, ShareId, StageNews, Standing, VoteAnswer, ZoneId,
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
    lists: [Vec<HostLine>; 16],
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
            let told = spokeflow_settings::read(text).map_err(|what| f.malformed(what))?;
            self.busy_column.remove(&instance);
            if let Some(column) = told.busy_column {
                self.busy_column.insert(instance, column);
            }
            self.routers
                .insert(instance, Router::new(&told.terms, seed, now, out));
            return Ok(());
        }
        // What arrives for a router that was killed is nobody's.
        let Some(router) = self.routers.get_mut(&instance) else {
            return Ok(());
        };
        router.at(now);
        match code {
            1 => {
                f.u32()?;
                let table = f.u8()?;
                let kind = match f.u8()? {
                    0 => ListKind::Changes,
                    1 => ListKind::Whole,
                    3 => ListKind::Remembered,
                    2 => {
                        router.list_failed();
                        return Ok(());
                    }
                    other => return Err(f.malformed(format!("list mode {other} is not known"))),
                };
                let Some(lines) = self.lists.get(usize::from(table)) else {
                    return Err(f.malformed(format!("list number {table} is over 15")));
                };
                router.listed(kind, lines, out);
            }
            2 => {
                let cmd = CommandId(f.u32()?);
                f.u8()?;
                let share = ShareId(f.u32()?);
                let op = OpType(f.u16()?);
                f.f64()?;
                let key = Key(f.u64()?);
                let left = f.time()?;
                router.command(cmd, op, share, key, left, out);
            }
            3 => {
                let cmd = CommandId(f.u32()?);
                f.f64()?;
                let delivery = f.u8()?;
                router.answer_started(cmd, delivery);
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
                    router.reported(host, *busy);
                }
                router.ended(cmd, delivery, end, latency, finished, out);
            }
            5 => router.end(CommandId(f.u32()?), out),
            6 => {
                f.u32()?;
                router.woken(out);
            }
            9 => {
                self.routers.remove(&instance);
            }
            10 => {
                let build = BuildId(f.u16()?);
                let stage = f.u8()?;
                let standing = match f.u8()? {
                    0 => Standing::OnTrial,
                    1 => Standing::GoingBack,
                    2 => Standing::Released,
                    3 => Standing::Withdrawn,
                    other => return Err(f.malformed(format!("standing {other} is not known"))),
                };
                let answers_vote = f.u8()? == 1;
                let result = f.u16()?;
                let cap = f.f32()?;
                let age = f.time()?;
                if answers_vote {
                    router.vote_answered(vote_answer(result));
                }
                if result == 100 {
                    router.told(
                        StageNews {
                            build,
                            stage,
                            standing,
                            cap,
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
                router.disputed(host, since);
            }
            11 => {
                let sampled = f.u32()?;
                let age = f.time()?;
                let (op, build) = (OpType(f.u16()?), BuildId(f.u16()?));
                let mean = f.time()?;
                let lost = f.u32()?;
                router.counted(DeskCount {
                    build,
                    op,
                    sampled,
                    lost,
                    mean,
                    age,
                });
            }
            // Routers send each other nothing, probes are not asked for, codes of a later wire not known.
            _ => {}
        }
        Ok(())
    }
}

fn host_line(f: &mut Fields) -> Result<HostLine, Malformed> {
    let release = f.f32()?;
    let cell = f.u16()?;
    let zone = ZoneId(f.u16()?);
    f.u8()?;
    let phase = match f.u8()? {
        0 => HostPhase::Gone,
        1 => HostPhase::Ready,
        2 => HostPhase::Draining,
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
    Ok(HostLine {
        host: HostId(f.u32()?),
        build,
        cell,
        zone,
        phase,
        size,
        started,
    })
}

fn delivery_end(f: &mut Fields) -> Result<DeliveryEnd, Malformed> {
    Ok(match f.u16()? {
        100 => DeliveryEnd::Acked,
        301 => DeliveryEnd::Error,
        302 => DeliveryEnd::Full,
        303 => DeliveryEnd::TimedOut,
        304 => DeliveryEnd::NotConnected,
        305 => DeliveryEnd::Reset,
        306 => DeliveryEnd::Cancelled,
        307 => DeliveryEnd::NotSent,
        other => return Err(f.malformed(format!("result {other} is not known"))),
    })
}

fn vote_answer(result: u16) -> VoteAnswer {
    match result {
        100 => VoteAnswer::Counted,
        307 => VoteAnswer::Moot,
        302 => VoteAnswer::TooMany,
        303 => VoteAnswer::Silence,
        _ => VoteAnswer::Refused,
    }
}
