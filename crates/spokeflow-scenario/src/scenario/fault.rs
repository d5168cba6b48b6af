//! Scheduled faults, and their text form in flags and reports.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::setting::Setting;
use crate::{Micros, SECOND};

/// The kind of a fault of hosts, routers, links, endpoint list, release controller or clients. Names in flags and
/// reports are the serialized ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Hosts are killed and restarted.
    Kill,
    /// All hosts are killed, and one is back long before the others.
    LoneHost,
    /// Hosts accept commands and do not answer.
    Hang,
    /// Hosts are slower.
    Slow,
    /// Hosts fail commands at once.
    FastErrors,
    /// A site is cut off from the hosts of other sites, the endpoint list and the release controller.
    Cut,
    /// The site of the endpoint list and the release controller is cut off from the other sites.
    CutList,
    /// The routers and hosts of a site are cut off from those of the other sites.
    CutHosts,
    /// Messages to and from one site take longer.
    SlowLink,
    /// Packets are lost and retransmitted.
    LossyLinks,
    /// Connections take longer to establish.
    SlowConnects,
    /// The release controller is stalled.
    #[serde(rename = "stalled-desk")]
    StalledController,
    /// Updates of the release controller arrive late.
    #[serde(rename = "late-desk")]
    LateController,
    /// The release controller refuses connections.
    #[serde(rename = "refusing-desk")]
    RefusingController,
    /// Changes reach the endpoint list late.
    LateList,
    /// The endpoint list closes its connections.
    ListBreaks,
    /// Traffic moves to one site.
    Shift,
    /// One tenant sends far beyond its quota.
    #[serde(rename = "worthless")]
    TenantOverload,
    /// Clients abandon commands before their timeout.
    GiveUp,
    /// Clients retry without backoff and more often.
    #[serde(rename = "repeat-storm")]
    RetryStorm,
    /// One operation needs more work.
    SlowOp,
    /// A fraction of the traffic has the same key, which changes every second.
    HotKey,
    /// Routers are killed and restarted.
    RouterKill,
    /// Routers are replaced one after another.
    RouterRoll,
    /// No fault, but a build with a defect drawn from the seed.
    BadBuild,
    /// No fault, but a good build is rolled back in its last stage, when nearly all hosts of the earlier build are
    /// gone.
    TakeBack,
    /// No fault and a good build.
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
        FaultKind::TenantOverload,
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

    /// Returns the name in flags and reports, in kebab case.
    pub fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.and_then(|v| v.as_str().map(str::to_string))
            .unwrap_or_default()
    }

    /// Returns whether connections take longer to establish while a fault of this kind is active.
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
            .ok_or_else(|| format!("fault kind '{text}' is not one of {}", names()))
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault.
    pub at: Micros,
    /// Duration of the fault.
    pub lasts: Micros,
    /// Fraction of the hosts or routers affected, 0 to 1.
    pub part: f64,
    /// Severity: a factor, a fraction or a time in seconds, depending on the kind.
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

    /// Parses `KIND:at=TIME[:lasts=TIME][:part=NUMBER][:size=NUMBER]`. Values that are left out are the typical
    /// ones of the kind.
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
                name => {
                    return Err(format!(
                        "fault '{text}': '{name}' is not at, lasts, part or size"
                    ))
                }
            }
        }
        let at = at.ok_or_else(|| format!("fault '{text}': at= is missing"))?;
        Ok(Fault { at, ..fault })
    }
}

impl Fault {
    /// Returns a fault of this kind with its typical values, starting at 0. The durations are those of incidents that
    /// operators recorded.
    pub(super) fn typical(kind: FaultKind) -> Fault {
        let (lasts, part, size) = typical_values(kind);
        Fault {
            kind,
            at: 0,
            lasts: (lasts * SECOND as f64) as Micros,
            part,
            size,
        }
    }
}

/// Returns the typical duration in seconds, fraction affected and severity of a kind of fault.
fn typical_values(kind: FaultKind) -> (f64, f64, f64) {
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
        FaultKind::TenantOverload => (10.0, 0.0, 2.0),
        FaultKind::GiveUp => (10.0, 0.0, 0.25),
        FaultKind::RetryStorm => (8.0, 0.0, 4.0),
        FaultKind::SlowOp => (10.0, 0.0, 4.0),
        FaultKind::RouterKill => (3.0, 0.34, 0.0),
        FaultKind::RouterRoll => (12.0, 1.0, 0.8),
        FaultKind::HotKey => (20.0, 0.0, 0.6),
        FaultKind::BadBuild | FaultKind::TakeBack | FaultKind::None => (0.0, 0.0, 0.0),
    }
}
