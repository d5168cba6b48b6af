//! Scheduled faults, and their form as text.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::setting::Setting;
use crate::{Micros, SECOND};

/// What happens to hosts, routers, links, list, release controller or clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Hosts die and are started again.
    Kill,
    /// All hosts die, and one is back long before the others.
    LoneHost,
    /// Hosts take commands and say nothing.
    Hang,
    /// Hosts are slower.
    Slow,
    /// Hosts fail commands at once.
    FastErrors,
    /// A site is cut off from hosts, list and release controller.
    Cut,
    /// The site of list and release controller is cut off from the others.
    CutList,
    /// A site's routers and hosts are cut off from those of the others.
    CutHosts,
    /// Messages from and to one site take longer.
    SlowLink,
    /// Packets are lost and sent again.
    LossyLinks,
    /// Connections take longer to make.
    SlowConnects,
    /// The release controller does nothing.
    #[serde(rename = "stalled-desk")]
    StalledController,
    /// The release controller's news come late.
    #[serde(rename = "late-desk")]
    LateController,
    /// The release controller refuses connections.
    #[serde(rename = "refusing-desk")]
    RefusingController,
    /// The host list learns late.
    LateList,
    /// The host list closes its connections.
    ListBreaks,
    /// Traffic moves to one site.
    Shift,
    /// One tenant sends far beyond its quota.
    Worthless,
    /// Clients leave early.
    GiveUp,
    /// Clients come back at once and more often.
    #[serde(rename = "repeat-storm")]
    RetryStorm,
    /// One operation needs more work.
    SlowOp,
    /// A part of the traffic is about one key, another one each second.
    HotKey,
    /// Routers die and are started again.
    RouterKill,
    /// Routers are replaced one after the other.
    RouterRoll,
    /// A build with a flaw, drawn by the seed.
    BadBuild,
    /// A good build is taken off in its last stage, when nearly all earlier hosts have gone.
    TakeBack,
    /// All in order, with a good build.
    None,
}

impl FaultKind {
    /// All kinds, in the order of their declaration.
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
        FaultKind::StalledController,
        FaultKind::LateController,
        FaultKind::RefusingController,
        FaultKind::LateList,
        FaultKind::ListBreaks,
        FaultKind::Shift,
        FaultKind::Worthless,
        FaultKind::GiveUp,
        FaultKind::RetryStorm,
        FaultKind::SlowOp,
        FaultKind::HotKey,
        FaultKind::RouterKill,
        FaultKind::RouterRoll,
        FaultKind::BadBuild,
        FaultKind::TakeBack,
        FaultKind::None,
    ];

    /// As in flags and reports, in kebab case.
    pub fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.and_then(|v| v.as_str().map(str::to_string))
            .unwrap_or_default()
    }

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

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it begins.
    pub at: Micros,
    /// How long it lasts.
    pub lasts: Micros,
    /// Part of the hosts or routers that it strikes.
    pub part: f64,
    /// How hard: a factor, a share or seconds, by kind.
    pub size: f64,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = |time: Micros| time as f64 / SECOND as f64;
        write!(
            f,
            "{}:at={}s:lasts={}s:part={}:size={}",
            self.kind.name(),
            seconds(self.at),
            seconds(self.lasts),
            self.part,
            self.size
        )
    }
}

impl FromStr for Fault {
    type Err = String;

    /// `KIND:at=TIME[:lasts=TIME][:part=NUMBER][:size=NUMBER]`, what is left out as in the built-in scenario.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.trim().split(':');
        let kind: FaultKind = words.next().unwrap_or_default().parse()?;
        let mut fault = Fault::typical(kind);
        let mut at = None;
        for word in words {
            let setting = Setting::parse(word)?;
            match setting.name {
                "at" => at = Some(setting.time()?),
                "lasts" => fault.lasts = setting.time()?,
                "part" => fault.part = setting.number()?,
                "size" => fault.size = setting.number()?,
                name => return Err(format!("'{name}' is not at, lasts, part or size")),
            }
        }
        let at = at.ok_or_else(|| format!("'{text}': at= is missing"))?;
        Ok(Fault { at, ..fault })
    }
}

impl Fault {
    /// A kind of fault as it commonly comes, at the start; lengths from the operators' record of incidents.
    pub(super) fn typical(kind: FaultKind) -> Fault {
        let (lasts, part, size) = typical_measures(kind);
        Fault {
            kind,
            at: 0,
            lasts: (lasts * SECOND as f64) as Micros,
            part,
            size,
        }
    }
}

/// Seconds that a kind of fault commonly lasts, the part it strikes, and its size.
fn typical_measures(kind: FaultKind) -> (f64, f64, f64) {
    match kind {
        FaultKind::Kill => (8.0, 0.2, 0.0),
        FaultKind::LoneHost => (5.0, 1.0, 0.3),
        FaultKind::Hang => (8.0, 0.15, 0.0),
        FaultKind::Slow => (10.0, 0.2, 4.0),
        FaultKind::FastErrors => (8.0, 0.15, 0.7),
        FaultKind::Cut | FaultKind::CutList | FaultKind::CutHosts => (7.0, 0.0, 0.0),
        FaultKind::SlowLink => (8.0, 0.0, 0.3),
        FaultKind::LossyLinks => (10.0, 0.0, 0.05),
        FaultKind::SlowConnects => (8.0, 1.0, 0.2),
        FaultKind::StalledController | FaultKind::RefusingController => (8.0, 0.0, 0.0),
        FaultKind::LateController | FaultKind::LateList => (12.0, 0.0, 4.0),
        FaultKind::ListBreaks => (8.0, 0.0, 0.0),
        FaultKind::Shift => (10.0, 0.0, 0.8),
        FaultKind::Worthless => (10.0, 0.0, 2.0),
        FaultKind::GiveUp => (10.0, 0.0, 0.25),
        FaultKind::RetryStorm => (8.0, 0.0, 4.0),
        FaultKind::SlowOp => (10.0, 0.0, 4.0),
        FaultKind::RouterKill => (3.0, 0.34, 0.0),
        FaultKind::RouterRoll => (12.0, 1.0, 0.8),
        FaultKind::HotKey => (20.0, 0.0, 0.6),
        FaultKind::BadBuild | FaultKind::TakeBack | FaultKind::None => (0.0, 0.0, 0.0),
    }
}
