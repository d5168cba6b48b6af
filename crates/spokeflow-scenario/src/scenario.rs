//! What a day is made of: sizes, traffic, builds and troubles. Plain data, drawn from one seed; nothing in it
//! says whether it is played on sockets or in simulated time.

use std::fmt;
use std::str::FromStr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::{Micros, MS, SECOND};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Repeat {
    Redeliverable,
    /// All hosts drop a repeat within this time.
    Deduplicated(Micros),
    AtMostOnce,
}

#[derive(Clone, Debug, Serialize)]
pub struct Op {
    pub name: &'static str,
    pub share: f64,
    /// Mean work on a host that is warm and well.
    pub work: Micros,
    pub target: Micros,
    pub timeout: Micros,
    pub importance: f64,
    pub repeat: Repeat,
}

#[derive(Clone, Debug, Serialize)]
pub struct Tenant {
    pub name: &'static str,
    /// Commands a second that it is allowed, all routers together.
    pub allowed: f64,
    /// What it sends, as a part of that.
    pub usage: f64,
}

/// What is wrong with a build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum BuildDefect {
    None,
    /// Fails this part of all commands.
    Errors(f64),
    /// Fails this part of one op type.
    OneOp(f64),
    /// Needs so many times the work.
    Slow(f64),
    /// Slow and failing only where commands wait.
    UnderLoad(f64),
    /// Turns slow and fails some seconds after its host has started.
    Late(f64),
    /// Slows all hosts in step with its traffic.
    Shared(f64),
    /// Gives wrong answers to this part.
    Wrong(f64),
}

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Build {
    pub number: u16,
    pub offered: Micros,
    pub flaw: BuildDefect,
    pub speed: f64,
}

impl BuildDefect {
    fn named(self) -> (&'static str, f64) {
        match self {
            BuildDefect::None => ("none", 0.0),
            BuildDefect::Errors(n) => ("errors", n),
            BuildDefect::OneOp(n) => ("one-op", n),
            BuildDefect::Slow(n) => ("slow", n),
            BuildDefect::UnderLoad(n) => ("under-load", n),
            BuildDefect::Late(n) => ("late", n),
            BuildDefect::Shared(n) => ("shared", n),
            BuildDefect::Wrong(n) => ("wrong", n),
        }
    }

    fn of(name: &str, size: f64) -> Option<BuildDefect> {
        Some(match name {
            "none" => BuildDefect::None,
            "errors" => BuildDefect::Errors(size),
            "one-op" => BuildDefect::OneOp(size),
            "slow" => BuildDefect::Slow(size),
            "under-load" => BuildDefect::UnderLoad(size),
            "late" => BuildDefect::Late(size),
            "shared" => BuildDefect::Shared(size),
            "wrong" => BuildDefect::Wrong(size),
            _ => return None,
        })
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ((flaw, size), at) = (self.flaw.named(), self.offered as f64 / SECOND as f64);
        write!(
            f,
            "{}:at={at}s:flaw={flaw}:size={size}:speed={}",
            self.number, self.speed
        )
    }
}

impl FromStr for Build {
    type Err = String;

    /// `NUMBER:at=TIME[:flaw=NAME[:size=NUMBER]][:speed=NUMBER]`
    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.trim().split(':');
        let number = words.next().unwrap_or_default();
        let number: u16 = number
            .parse()
            .map_err(|_| format!("'{number}' is no number of a build"))?;
        if number < 2 {
            return Err(format!(
                "build {number}: build 1 stands from the start, others are from 2"
            ));
        }
        let (mut offered, mut flaw, mut size, mut speed) = (None, "none", 0.0, 1.0);
        for word in words {
            let (name, value) = word
                .split_once('=')
                .ok_or(format!("'{word}' is not NAME=VALUE"))?;
            let number = |v: &str| {
                v.parse::<f64>()
                    .map_err(|_| format!("'{word}': not a number"))
            };
            match name {
                "at" => {
                    let seconds = value
                        .strip_suffix('s')
                        .ok_or(format!("'{word}': a time ends in s"))?;
                    offered = Some((number(seconds)? * SECOND as f64).round() as Micros);
                }
                "flaw" => flaw = value,
                "size" => size = number(value)?,
                "speed" => speed = number(value)?,
                _ => return Err(format!("'{name}' is not at, flaw, size or speed")),
            }
        }
        let names = "none, errors, one-op, slow, under-load, late, shared, wrong";
        let flaw =
            BuildDefect::of(flaw, size).ok_or(format!("flaw '{flaw}' is not one of {names}"))?;
        let offered = offered.ok_or(format!("'{text}': at= is missing"))?;
        Ok(Build {
            number,
            offered,
            flaw,
            speed,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Gate {
    Single,
    Majority,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    Kill,
    /// All hosts die, and one is back long before the others.
    LoneHost,
    Hang,
    Slow,
    FastErrors,
    Cut,
    CutList,
    CutHosts,
    SlowLink,
    /// Packets are lost and sent again.
    LossyLinks,
    SlowConnects,
    StalledDesk,
    LateDesk,
    RefusingDesk,
    LateList,
    ListBreaks,
    Shift,
    Worthless,
    GiveUp,
    RepeatStorm,
    SlowOp,
    /// A part of the traffic is about one key, another one each second.
    HotKey,
    RouterKill,
    RouterRoll,
    /// A build with a flaw, drawn by the seed.
    BadBuild,
    /// A good build is taken off in its last stage, when nearly all earlier hosts have gone.
    TakeBack,
    /// All in order, with a good build.
    None,
}

impl FaultKind {
    pub const ALL: [FaultKind; 27] = [
        FaultKind::Kill,
        FaultKind::LoneHost,
        FaultKind::Hang,
        FaultKind::Slow,
        FaultKind::FastErrors,
        FaultKind::Cut,
        FaultKind::CutList,
        FaultKind::CutHosts,
        FaultKind::SlowLink,
        FaultKind::LossyLinks,
        FaultKind::SlowConnects,
        FaultKind::StalledDesk,
        FaultKind::LateDesk,
        FaultKind::RefusingDesk,
        FaultKind::LateList,
        FaultKind::ListBreaks,
        FaultKind::Shift,
        FaultKind::Worthless,
        FaultKind::GiveUp,
        FaultKind::RepeatStorm,
        FaultKind::SlowOp,
        FaultKind::HotKey,
        FaultKind::RouterKill,
        FaultKind::RouterRoll,
        FaultKind::BadBuild,
        FaultKind::TakeBack,
        FaultKind::None,
    ];

    pub fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.and_then(|v| v.as_str().map(str::to_string))
            .unwrap_or_default()
    }
}

impl FaultKind {
    /// Whether connections are made more slowly under it than on a calm day.
    pub fn slows_connects(self) -> bool {
        matches!(
            self,
            FaultKind::SlowConnects | FaultKind::SlowLink | FaultKind::LossyLinks
        )
    }
}

impl FromStr for FaultKind {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let names = || FaultKind::ALL.map(FaultKind::name).join(", ");
        FaultKind::ALL
            .into_iter()
            .find(|k| k.name() == text)
            .ok_or_else(|| format!("not one of {}", names()))
    }
}

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fault {
    pub kind: FaultKind,
    pub at: Micros,
    pub lasts: Micros,
    /// Part of the hosts or routers that it strikes.
    pub part: f64,
    /// How hard: a factor, a share or seconds, by kind.
    pub size: f64,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [at, lasts] = [self.at, self.lasts].map(|t| t as f64 / SECOND as f64);
        let (kind, part, size) = (self.kind.name(), self.part, self.size);
        write!(f, "{kind}:at={at}s:lasts={lasts}s:part={part}:size={size}")
    }
}

impl FromStr for Fault {
    type Err = String;

    /// `KIND:at=TIME[:lasts=TIME][:part=NUMBER][:size=NUMBER]`, what is left out as in the built-in scenario.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.trim().split(':');
        let kind: FaultKind = words.next().unwrap_or_default().parse()?;
        let mut trouble = Fault {
            kind,
            at: 0,
            ..usual(kind)
        };
        let mut timed = false;
        for word in words {
            let (name, value) = word
                .split_once('=')
                .ok_or(format!("'{word}' is not NAME=VALUE"))?;
            let number = |v: &str| {
                v.parse::<f64>()
                    .map_err(|_| format!("'{word}': not a number"))
            };
            let time = || {
                let seconds = value
                    .strip_suffix('s')
                    .ok_or(format!("'{word}': a time ends in s"))?;
                Ok::<_, String>((number(seconds)? * SECOND as f64).round() as Micros)
            };
            match name {
                "at" => (trouble.at, timed) = (time()?, true),
                "lasts" => trouble.lasts = time()?,
                "part" => trouble.part = number(value)?,
                "size" => trouble.size = number(value)?,
                _ => return Err(format!("'{name}' is not at, lasts, part or size")),
            }
        }
        timed
            .then_some(trouble)
            .ok_or(format!("'{text}': at= is missing"))
    }
}

/// A kind of trouble as it commonly comes; lengths from the operators' record of incidents.
fn usual(kind: FaultKind) -> Fault {
    let (lasts, part, size) = match kind {
        FaultKind::Kill => (8.0, 0.2, 0.0),
        FaultKind::LoneHost => (5.0, 1.0, 0.3),
        FaultKind::Hang => (8.0, 0.15, 0.0),
        FaultKind::Slow => (10.0, 0.2, 4.0),
        FaultKind::FastErrors => (8.0, 0.15, 0.7),
        FaultKind::Cut | FaultKind::CutList | FaultKind::CutHosts => (7.0, 0.0, 0.0),
        FaultKind::SlowLink => (8.0, 0.0, 0.3),
        FaultKind::LossyLinks => (10.0, 0.0, 0.05),
        FaultKind::SlowConnects => (8.0, 1.0, 0.2),
        FaultKind::StalledDesk | FaultKind::RefusingDesk => (8.0, 0.0, 0.0),
        FaultKind::LateDesk | FaultKind::LateList => (12.0, 0.0, 4.0),
        FaultKind::ListBreaks => (8.0, 0.0, 0.0),
        FaultKind::Shift => (10.0, 0.0, 0.8),
        FaultKind::Worthless => (10.0, 0.0, 2.0),
        FaultKind::GiveUp => (10.0, 0.0, 0.25),
        FaultKind::RepeatStorm => (8.0, 0.0, 4.0),
        FaultKind::SlowOp => (10.0, 0.0, 4.0),
        FaultKind::RouterKill => (3.0, 0.34, 0.0),
        FaultKind::RouterRoll => (12.0, 1.0, 0.8),
        FaultKind::HotKey => (20.0, 0.0, 0.6),
        FaultKind::BadBuild | FaultKind::TakeBack | FaultKind::None => (0.0, 0.0, 0.0),
    };
    Fault {
        kind,
        at: 0,
        lasts: (lasts * SECOND as f64) as Micros,
        part,
        size,
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub length: Micros,
    pub sites: u16,
    pub hosts: u32,
    pub routers: u32,
    pub cores: u32,
    /// Commands a second.
    pub rate: f64,
    pub ops: Vec<Op>,
    pub customers: Vec<Tenant>,
    pub keys: u64,
    pub builds: Vec<Build>,
    pub stage_shares: Vec<f64>,
    pub slack: f64,
    pub gate: Gate,
    pub bake: Micros,
    pub exposure_free: f64,
    pub exposure_span: Micros,
    pub forward_only: bool,
    pub drain_grace: Micros,
    /// How long a drained host goes on with what it has.
    pub drain: Micros,
    pub boot: [Micros; 2],
    pub cold_from: f64,
    pub warm_within: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    pub retries: u32,
    /// A try is given up after this part of the command timeout, at random in between.
    pub try_part: [f64; 2],
    pub list_late: [Micros; 2],
    pub news_late: [Micros; 2],
    pub news_every: Micros,
    /// Part of the wrong answers that clients report.
    pub reported: f64,
    /// Routers tell each other what they see.
    pub tells: bool,
    /// How uneven keys are asked for, the exponent of Zipf's law.
    pub key_skew: f64,
    /// The wave of the traffic: how much of the rate, and how long.
    pub wave: f64,
    pub wave_span: Micros,
    /// Bursts of a second, now and then: how much more of the rate.
    pub burst: f64,
    /// Keys whose data a host keeps at hand; 0: all. Others cost so many times the work.
    pub cache_keys: u32,
    pub miss_cost: f64,
    /// With more than two waiting for each core, each further one slows all by this part.
    pub thrash: f64,
    pub cancel: CancelPolicy,
    /// Hosts that share a machine, and how much a busy neighbour slows a host.
    pub neighbours: u32,
    pub steal: f64,
    pub troubles: Vec<Fault>,
}

/// What a host does with a cancelled command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelPolicy {
    /// Drops it wherever it is.
    Stops,
    /// Drops it where it has not begun.
    Waiting,
    Ignored,
}

/// Sizes that are tried again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum FleetSize {
    /// 3 routers, 15 hosts, 46 commands a second: what sockets on one machine play
    Small,
    /// 20 routers, 60 hosts, 200 commands a second
    Middle,
    /// 150 routers, 300 hosts, 1,000 commands a second
    Grown,
    /// 600 routers, 90 hosts, 300 commands a second
    ManyRouters,
    /// 20 routers, 3,000 hosts, 10,000 commands a second
    ManyHosts,
}

impl Scenario {
    /// The same day at another size: customers, keys and rate grow in step.
    pub fn sized(mut self, size: FleetSize) -> Scenario {
        let (routers, hosts, rate) = match size {
            FleetSize::Small => return self,
            FleetSize::Middle => (20, 60, 200.0),
            FleetSize::Grown => (150, 300, 1000.0),
            FleetSize::ManyRouters => (600, 90, 300.0),
            FleetSize::ManyHosts => (20, 3000, 10_000.0),
        };
        (self.routers, self.hosts) = (routers, hosts);
        self.at_rate(rate);
        self
    }

    /// Another rate, with customers and keys in step.
    pub fn at_rate(&mut self, rate: f64) {
        let times = rate / self.rate;
        self.rate = rate;
        self.customers.iter_mut().for_each(|c| c.allowed *= times);
        self.keys = ((self.keys as f64 * times) as u64).max(1);
    }

    /// A fleet in which a share of all routers must vote and routers tell each other what they see.
    pub fn by_majority(mut self) -> Scenario {
        (self.gate, self.tells) = (Gate::Majority, true);
        self
    }

    /// A day like those at the first operators' relays, without troubles.
    pub fn plain(seed: u64, length: Micros) -> Scenario {
        let op = |name, share, work, target, timeout, importance, repeat| Op {
            name,
            share,
            work: work * MS,
            target: target * MS,
            timeout: timeout * MS,
            importance,
            repeat,
        };
        let once = Repeat::AtMostOnce;
        let ops = vec![
            op(
                "set-threshold",
                0.45,
                130,
                1200,
                4000,
                2.0,
                Repeat::Redeliverable,
            ),
            op(
                "note-arrival",
                0.15,
                130,
                1200,
                4000,
                2.0,
                Repeat::Deduplicated(5 * SECOND),
            ),
            op("close-trip", 0.40, 190, 2000, 6000, 3.0, once),
        ];
        let customer = |name, allowed, usage| Tenant {
            name,
            allowed,
            usage,
        };
        Scenario {
            name: "plain".into(),
            seed,
            length,
            sites: 3,
            hosts: 15,
            routers: 3,
            cores: 1,
            rate: 46.0,
            ops,
            customers: vec![
                customer("doto-dairy", 25.0, 0.7),
                customer("rumoi-fish", 17.0, 0.8),
                customer("tokachi-veg", 14.0, 0.7),
                customer("otaru-cold", 8.0, 0.6),
            ],
            keys: 600,
            builds: vec![Build {
                number: 1,
                offered: 0,
                flaw: BuildDefect::None,
                speed: 1.0,
            }],
            stage_shares: vec![0.04, 0.1, 0.25, 0.55, 1.0],
            slack: 1.4,
            gate: Gate::Single,
            bake: 2 * SECOND,
            exposure_free: 1.0,
            exposure_span: 4 * SECOND,
            forward_only: true,
            drain_grace: SECOND,
            drain: 2 * SECOND,
            boot: [SECOND, 2200 * MS],
            cold_from: 0.31,
            warm_within: 3700 * MS,
            fall_multiple: 3.0,
            fall_span: 3 * SECOND,
            retries: 2,
            try_part: [0.4, 1.0],
            list_late: [400 * MS, 1400 * MS],
            news_late: [260 * MS, 880 * MS],
            news_every: 4 * SECOND,
            reported: 0.15,
            tells: false,
            key_skew: 0.7,
            wave: 0.15,
            wave_span: 15 * SECOND,
            burst: 0.0,
            cache_keys: 0,
            miss_cost: 2.0,
            thrash: 0.0,
            cancel: CancelPolicy::Stops,
            neighbours: 0,
            steal: 0.0,
            troubles: Vec::new(),
        }
    }

    /// Several troubles, some at once, and two builds of which one may be bad.
    pub fn bad_day(seed: u64, length: Micros) -> Scenario {
        let mut day = Scenario {
            name: "bad-day".into(),
            ..Scenario::plain(seed, length)
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let bad = rng.random_bool(0.5);
        let flaw = if bad {
            draw_flaw(&mut rng)
        } else {
            BuildDefect::None
        };
        day.builds.push(Build {
            number: 2,
            offered: length / 12,
            flaw,
            speed: rng.random_range(0.9..1.1),
        });
        let next = if bad {
            BuildDefect::None
        } else {
            draw_flaw(&mut rng)
        };
        day.builds.push(Build {
            number: 3,
            offered: length / 2,
            flaw: next,
            speed: 1.0,
        });
        // One of each family, in any order, at times that let them overlap.
        let families: [&[FaultKind]; 5] = [
            &[
                FaultKind::Kill,
                FaultKind::LoneHost,
                FaultKind::Hang,
                FaultKind::Slow,
                FaultKind::FastErrors,
            ],
            &[
                FaultKind::Cut,
                FaultKind::CutList,
                FaultKind::CutHosts,
                FaultKind::SlowLink,
                FaultKind::LossyLinks,
                FaultKind::SlowConnects,
            ],
            &[
                FaultKind::StalledDesk,
                FaultKind::LateDesk,
                FaultKind::RefusingDesk,
                FaultKind::LateList,
                FaultKind::ListBreaks,
            ],
            &[
                FaultKind::Shift,
                FaultKind::Worthless,
                FaultKind::GiveUp,
                FaultKind::RepeatStorm,
                FaultKind::SlowOp,
                FaultKind::HotKey,
            ],
            &[FaultKind::RouterKill, FaultKind::RouterRoll],
        ];
        for family in families {
            let kind = family[rng.random_range(0..family.len())];
            let at = rng.random_range(length / 10..length * 3 / 4);
            day.troubles.push(Fault { at, ..usual(kind) });
        }
        day.troubles.sort_by_key(|t| t.at);
        day
    }

    /// One kind of trouble only, during the trial of a good build; with `BadBuild`, a bad one and no other.
    pub fn only(kind: FaultKind, seed: u64, length: Micros) -> Scenario {
        let mut day = Scenario {
            name: format!("only {}", kind.name()),
            ..Scenario::plain(seed, length)
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let flaw = if kind == FaultKind::BadBuild {
            draw_flaw(&mut rng)
        } else {
            BuildDefect::None
        };
        day.builds.push(Build {
            number: 2,
            offered: length / 10,
            flaw,
            speed: 1.0,
        });
        if kind == FaultKind::TakeBack {
            // Each stage takes some five seconds: by then the last one has begun.
            day.builds.push(Build {
                number: 3,
                offered: length / 10 + 24 * SECOND,
                flaw: BuildDefect::None,
                speed: 1.0,
            });
        }
        if !matches!(
            kind,
            FaultKind::BadBuild | FaultKind::TakeBack | FaultKind::None
        ) {
            let early = if kind == FaultKind::HotKey {
                length / 10
            } else {
                length / 8
            };
            let at = rng.random_range(
                early..if kind == FaultKind::HotKey {
                    length / 6
                } else {
                    length / 2
                },
            );
            day.troubles.push(Fault { at, ..usual(kind) });
        }
        day
    }

    /// Any troubles, up to five, of any size and at any time, several at once; hosts with caches, neighbours and
    /// queues that thrash, and clients that burst, each on some days.
    pub fn drawn(seed: u64, length: Micros) -> Scenario {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xd4a3);
        let mut day = Scenario {
            name: "drawn".into(),
            ..Scenario::plain(seed, length)
        };
        let some = |rng: &mut StdRng, part: f64| rng.random_bool(part);
        if some(&mut rng, 0.25) {
            day.burst = rng.random_range(0.3..1.5);
        }
        if some(&mut rng, 0.25) {
            day.cache_keys = (day.keys / u64::from(day.hosts) * 4).max(8) as u32;
            day.miss_cost = rng.random_range(1.2..2.5);
        }
        if some(&mut rng, 0.25) {
            day.thrash = rng.random_range(0.02..0.1);
        }
        if some(&mut rng, 0.25) {
            (day.neighbours, day.steal) = (rng.random_range(2..5), rng.random_range(0.1..0.6));
        }
        day.cancel = [
            CancelPolicy::Stops,
            CancelPolicy::Waiting,
            CancelPolicy::Ignored,
        ][rng.random_range(0..3)];
        day.key_skew = rng.random_range(0.3..1.1);
        let mut offered = rng.random_range(length / 20..length / 4);
        for number in 2..2 + rng.random_range(0..3) {
            let flaw = if some(&mut rng, 0.4) {
                draw_flaw(&mut rng)
            } else {
                BuildDefect::None
            };
            day.builds.push(Build {
                number,
                offered,
                flaw,
                speed: rng.random_range(0.85..1.2),
            });
            offered += rng.random_range(length / 8..length / 2);
        }
        for _ in 0..rng.random_range(0..6) {
            let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len() - 3)];
            let usual = usual(kind);
            let times = |rng: &mut StdRng| rng.random_range(0.3..1.7);
            day.troubles.push(Fault {
                kind,
                at: rng.random_range(0..length * 9 / 10),
                lasts: (usual.lasts as f64 * times(&mut rng)) as Micros,
                part: (usual.part * times(&mut rng)).min(1.0),
                size: usual.size * times(&mut rng),
            });
        }
        day.troubles.sort_by_key(|t| t.at);
        day
    }

    pub fn cap(&self, stage: usize) -> f64 {
        (self.stage_shares[stage] * self.slack).min(1.0)
    }
}

fn draw_flaw(rng: &mut StdRng) -> BuildDefect {
    match rng.random_range(0..7) {
        0 => BuildDefect::Errors(rng.random_range(0.08..0.36)),
        1 => BuildDefect::OneOp(rng.random_range(0.25..0.9)),
        2 => BuildDefect::Slow(rng.random_range(1.9..3.7)),
        3 => BuildDefect::UnderLoad(rng.random_range(0.2..0.5)),
        4 => BuildDefect::Late(rng.random_range(0.3..0.7)),
        5 => BuildDefect::Shared(rng.random_range(2.0..3.5)),
        _ => BuildDefect::Wrong(rng.random_range(0.2..0.6)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_seeds_draw_equal_days_and_others_others() {
        let day = |seed| serde_json::to_string(&Scenario::bad_day(seed, 60 * SECOND)).unwrap();
        assert_eq!(day(3), day(3));
        assert_ne!(day(3), day(4));
    }

    #[test]
    fn a_trouble_survives_its_own_text_and_faults_are_named() {
        let trouble: Fault = "cut:at=5s:lasts=6.5s".parse().unwrap();
        assert_eq!(
            (trouble.kind, trouble.at, trouble.lasts),
            (FaultKind::Cut, 5 * SECOND, 6_500_000)
        );
        assert_eq!(
            trouble.to_string().parse::<Fault>().unwrap().to_string(),
            trouble.to_string()
        );
        assert!("cut"
            .parse::<Fault>()
            .unwrap_err()
            .contains("at= is missing"));
        assert!("cutt:at=1s"
            .parse::<Fault>()
            .unwrap_err()
            .contains("router-roll"));
        assert!("cut:at=1"
            .parse::<Fault>()
            .unwrap_err()
            .contains("ends in s"));
        let build: Build = "3:at=5.5s:flaw=one-op:size=0.25".parse().unwrap();
        assert_eq!(
            (build.number, build.offered, build.flaw),
            (3, 5_500_000, BuildDefect::OneOp(0.25))
        );
        assert_eq!(
            build.to_string().parse::<Build>().unwrap().to_string(),
            build.to_string()
        );
        assert!("1:at=5s".parse::<Build>().unwrap_err().contains("from 2"));
        assert!("2:at=5s:flaw=ugly"
            .parse::<Build>()
            .unwrap_err()
            .contains("under-load"));
    }
}
