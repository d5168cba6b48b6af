//! Placement of the control machines in regions by duty, and the number of voters that may be lost.

use super::target::Target;

/// The duty of a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    Voter,
    Relay,
    ListSource,
    ReleaseController,
    Standby,
}

impl Duty {
    /// Returns the name of the duty on the page.
    pub(super) fn name(self) -> &'static str {
        match self {
            Duty::Voter => "voter",
            Duty::Relay => "relay (missing: idle until there is one)",
            Duty::ListSource => "list source",
            Duty::ReleaseController => "release controller, operator's tool",
            Duty::Standby => "spare",
        }
    }

    /// Returns the program that fulfils the duty today, or `missing`.
    pub(super) fn mechanism(self) -> &'static str {
        match self {
            Duty::Voter => "`spokeflow-control-plane`",
            Duty::Relay => "missing",
            Duty::ListSource => "the operators' own; `spokeflow-control-plane --list` reads it",
            Duty::ReleaseController => "the operators' own; `spokeflowctl`",
            Duty::Standby => "`spokeflow-control-plane --join`, to replace a voter",
        }
    }
}

/// The machines of one duty in one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlacedMachines {
    /// Number of the region, from 1.
    pub region: usize,
    pub duty: Duty,
    pub machines: usize,
}

/// Assigns the control machines to regions: voters in as many different regions as possible, then the list source and
/// the release controller in the regions with the fewest machines, then one relay for each region as long as machines
/// remain, then standby machines.
pub(super) fn assign_machines(target: &Target) -> Vec<PlacedMachines> {
    let regions = target.fleet.regions as usize;
    let machines = target.fleet.control_machines as usize;
    let voters = target.terms.voters as usize;
    let mut remaining = machines - voters.min(machines);
    let mut duties = vec![Duty::Voter; voters.min(machines)];
    let requested_duties = [
        (Duty::ListSource, 1),
        (Duty::ReleaseController, 1),
        (Duty::Relay, regions),
        (Duty::Standby, remaining),
    ];
    for (duty, count) in requested_duties {
        let assigned = count.min(remaining);
        duties.extend(vec![duty; assigned]);
        remaining -= assigned;
    }
    spread_over_regions(&duties, regions)
}

/// Places each duty in the region with the fewest machines of that duty, and among these in the one with the fewest
/// machines in total.
fn spread_over_regions(duties: &[Duty], regions: usize) -> Vec<PlacedMachines> {
    let mut placed: Vec<PlacedMachines> = Vec::new();
    for &duty in duties {
        let count = |region: usize, duty_filter: Option<Duty>| -> usize {
            let groups = placed.iter().filter(|group| {
                group.region == region && duty_filter.is_none_or(|duty| group.duty == duty)
            });
            groups.map(|group| group.machines).sum()
        };
        let region = (1..=regions)
            .min_by_key(|region| (count(*region, Some(duty)), count(*region, None), *region))
            .unwrap_or(1);
        match placed
            .iter_mut()
            .find(|group| group.region == region && group.duty == duty)
        {
            Some(known) => known.machines += 1,
            None => placed.push(PlacedMachines {
                region,
                duty,
                machines: 1,
            }),
        }
    }
    placed.sort_by_key(|group| group.region);
    placed
}

/// Returns the number of voters that may be lost while the others still form a majority.
pub(super) fn tolerated_voter_losses(voters: f64) -> f64 {
    ((voters - 1.0) / 2.0).floor()
}
