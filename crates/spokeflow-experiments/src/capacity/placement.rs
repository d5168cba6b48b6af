//! Where the control machines are, what each does, and what the loss of one costs.

use super::target::Target;

/// What a control machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    Voter,
    Relay,
    ListSource,
    ReleaseController,
    Standby,
}

impl Duty {
    pub(super) fn name(self) -> &'static str {
        match self {
            Duty::Voter => "voter",
            Duty::Relay => "relay (missing: idle until there is one)",
            Duty::ListSource => "list source",
            Duty::ReleaseController => "release controller, operator's tool",
            Duty::Standby => "spare",
        }
    }

    /// What carries it today.
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

/// Machines of one duty in one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Placed {
    /// From 1.
    pub region: usize,
    pub duty: Duty,
    pub machines: usize,
}

/// Places the control machines: voters in as many regions as there are, then what reads and steers in the regions that
/// have fewest machines, then a relay in each region while machines last, then spares.
pub(super) fn assign_machines(target: &Target) -> Vec<Placed> {
    let regions = target.fleet.regions as usize;
    let machines = target.fleet.control_machines as usize;
    let voters = target.terms.voters as usize;
    let mut left = machines - voters.min(machines);
    let mut duties = vec![Duty::Voter; voters.min(machines)];
    let requested = [
        (Duty::ListSource, 1),
        (Duty::ReleaseController, 1),
        (Duty::Relay, regions),
        (Duty::Standby, left),
    ];
    for (duty, count) in requested {
        let given = count.min(left);
        duties.extend(vec![duty; given]);
        left -= given;
    }
    spread(&duties, regions)
}

/// Gives each duty to a region without one of the same, of these to the one with the fewest machines.
fn spread(duties: &[Duty], regions: usize) -> Vec<Placed> {
    let mut placed: Vec<Placed> = Vec::new();
    for &duty in duties {
        let count = |region: usize, of: Option<Duty>| -> usize {
            let here = placed
                .iter()
                .filter(|group| group.region == region && of.is_none_or(|duty| group.duty == duty));
            here.map(|group| group.machines).sum()
        };
        let region = (1..=regions)
            .min_by_key(|region| (count(*region, Some(duty)), count(*region, None), *region))
            .unwrap_or(1);
        match placed
            .iter_mut()
            .find(|group| group.region == region && group.duty == duty)
        {
            Some(known) => known.machines += 1,
            None => placed.push(Placed {
                region,
                duty,
                machines: 1,
            }),
        }
    }
    placed.sort_by_key(|group| group.region);
    placed
}

/// Voters that may be lost while the others still form a majority.
pub(super) fn tolerated_voter_losses(voters: f64) -> f64 {
    ((voters - 1.0) / 2.0).floor()
}
