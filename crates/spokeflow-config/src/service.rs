//! The service flags and their check.

use std::time::Duration;

use clap::{Args, ValueEnum};
use spokeflow_core::Repeat;

use crate::{parse_duration, ConfigErrors, OperationFlag};

/// How votes move a build through its stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum GateFlag {
    /// One vote moves a stage on, one sends the build back.
    Single,
    /// Told shares of all routers must stand for it.
    Majority,
    /// Stages move on by themselves unless held.
    Clocked,
}

/// What a deployment promises and allows: the same for all its routers.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "Service terms")]
pub struct ServiceFlags {
    /// An op type: NAME:REPEAT:target=TIME:timeout=TIME:importance=NUMBER[:memory=TIME][:streamed], in the order
    /// of its numbers on the wire. REPEAT is redeliverable, at-most-once, or deduplicated/SCOPE with SCOPE the
    /// hosts that drop a repeat: all, zone, cell or host. Repeat the flag, or split the variable by commas
    #[arg(long = "op", env = "SPOKEFLOW_OP", value_delimiter = ',', required = true, value_parser = clap::value_parser!(OperationFlag))]
    pub ops: Vec<OperationFlag>,
    /// A customer and its share: NAME=COMMANDS_A_SECOND over all routers, in the order of their numbers
    #[arg(long = "customer", env = "SPOKEFLOW_CUSTOMER", value_delimiter = ',', value_parser = parse_customer)]
    pub customers: Vec<(String, f64)>,
    /// Routers in the deployment
    #[arg(long, env = "SPOKEFLOW_FLEET_SIZE", default_value_t = 1)]
    pub fleet_size: u32,
    /// The list tells changes only to those that ask
    #[arg(long, env = "SPOKEFLOW_LIST_MUST_BE_ASKED")]
    pub list_must_be_asked: bool,
    /// Deliveries for one command at most
    #[arg(long, env = "SPOKEFLOW_DELIVERY_CAP", default_value_t = 4)]
    pub delivery_cap: u32,
    /// Two deliveries of one command may be out at a time
    #[arg(long, env = "SPOKEFLOW_SIDE_BY_SIDE")]
    pub side_by_side: bool,
    /// Routers never cancel a delivery
    #[arg(long, env = "SPOKEFLOW_NO_CANCEL")]
    pub no_cancel: bool,
    /// Hosts may be probed
    #[arg(long, env = "SPOKEFLOW_MAY_PROBE")]
    pub may_probe: bool,
    /// Has no effect any more: routers tell each other nothing
    #[arg(long, env = "SPOKEFLOW_MAY_TELL")]
    pub may_tell: bool,
    /// Longest time that a nack names to come back; 0s names none
    #[arg(long, env = "SPOKEFLOW_LONGEST_RETURN", default_value = "2s", value_parser = parse_duration)]
    pub longest_return: Duration,
    /// Nothing new goes to a host this long after it was told to drain or be gone
    #[arg(long, env = "SPOKEFLOW_DRAIN_GRACE", default_value = "1s", value_parser = parse_duration)]
    pub drain_grace: Duration,
    /// Part of its capacity that a host has when it starts, 0 to 1
    #[arg(long, env = "SPOKEFLOW_COLD_FROM", default_value_t = 0.3)]
    pub cold_from: f64,
    /// A host is warm this long after its start
    #[arg(long, env = "SPOKEFLOW_WARM_WITHIN", default_value = "4s", value_parser = parse_duration)]
    pub warm_within: Duration,
    /// A cold host falls over when it is sent this many times what it can do
    #[arg(long, env = "SPOKEFLOW_FALL_MULTIPLE", default_value_t = 3.0)]
    pub fall_multiple: f64,
    /// for this long
    #[arg(long, env = "SPOKEFLOW_FALL_SPAN", default_value = "3s", value_parser = parse_duration)]
    pub fall_span: Duration,
    /// How votes move a build
    #[arg(long, env = "SPOKEFLOW_GATE", value_enum, default_value = "single")]
    pub gate: GateFlag,
    /// Part of the fleet in each stage, 0 to 1, rising
    #[arg(long = "stage-share", env = "SPOKEFLOW_STAGE_SHARE", value_delimiter = ',',
        default_values_t = [0.05, 0.2, 0.5, 1.0])]
    pub stage_shares: Vec<f64>,
    /// Cap of each stage, 0 to 1, rising
    #[arg(long = "stage-cap", env = "SPOKEFLOW_STAGE_CAP", value_delimiter = ',',
        default_values_t = [0.07, 0.28, 0.7, 1.0])]
    pub stage_caps: Vec<f64>,
    /// Deliveries at a build on trial that are free in each span
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_FREE", default_value_t = 1.0)]
    pub exposure_free: f64,
    /// The span over which the cap counts
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_SPAN", default_value = "4s", value_parser = parse_duration)]
    pub exposure_span: Duration,
    /// The cap counts for each op type by itself
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_BY_OP")]
    pub exposure_by_op: bool,
    /// Stages in which a build on trial gets redeliverable op types only
    #[arg(long, env = "SPOKEFLOW_GUARDED_STAGES", default_value_t = 0)]
    pub guarded_stages: u8,
    /// A key that a new build has answered goes to no earlier one
    #[arg(long, env = "SPOKEFLOW_FORWARD_ONLY")]
    pub forward_only: bool,
    /// Earlier hosts stay until the new build is released, and are not drained one by one
    #[arg(long, env = "SPOKEFLOW_BESIDE")]
    pub beside: bool,
    /// A stage runs this long at least
    #[arg(long, env = "SPOKEFLOW_STAGE_BAKE", default_value = "2s", value_parser = parse_duration)]
    pub stage_bake: Duration,
    /// A vote stands this long
    #[arg(long, alias = "vote-life", env = "SPOKEFLOW_VOTE_LIFETIME", default_value = "10s", value_parser = parse_duration)]
    pub vote_lifetime: Duration,
    /// A vote without an answer is given up after this time
    #[arg(long, env = "SPOKEFLOW_VOTE_WAIT", default_value = "2s", value_parser = parse_duration)]
    pub vote_wait: Duration,
    /// Part of the wrong answers that clients report, 0 to 1
    #[arg(long, env = "SPOKEFLOW_COMPLAINT_SHARE", default_value_t = 0.0)]
    pub complaint_share: f64,
    /// Routers whose votes send a build back; 0 where the release controller does not say
    #[arg(long, env = "SPOKEFLOW_BACK_VOTES", default_value_t = 0)]
    pub back_votes: u32,
    /// Votes that the release controller takes a second from all routers together; inf where it does not say
    #[arg(long, env = "SPOKEFLOW_VOTES_A_SECOND", default_value_t = f64::INFINITY)]
    pub votes_a_second: f64,
    /// Asks hosts for load reports (protocol version 2); an older host refuses the connection
    #[arg(long, env = "SPOKEFLOW_HOST_REPORTS")]
    pub host_reports: bool,
    /// Asks the release controller for its counts of all routers' deliveries (protocol version 2); an older one refuses
    #[arg(long, alias = "desk-counts", env = "SPOKEFLOW_CONTROLLER_STATS")]
    pub controller_stats: bool,
    /// Asks the list for the sizes of hosts (protocol version 2); an older list refuses
    #[arg(long, env = "SPOKEFLOW_HOST_SIZES")]
    pub host_sizes: bool,
}

/// `NAME=COMMANDS_A_SECOND`: a tenant and its quota over all routers, in commands a second.
pub(crate) fn parse_customer(text: &str) -> Result<(String, f64), String> {
    let (name, share) = text.split_once('=').ok_or("not NAME=COMMANDS_A_SECOND")?;
    Ok((
        name.to_string(),
        share
            .parse()
            .map_err(|_| format!("'{share}' is not a number"))?,
    ))
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Whether each value is a fraction and none is below the one before.
fn rises_within_fractions(values: &[f64]) -> bool {
    values.iter().all(|value| is_fraction(*value)) && values.is_sorted()
}

impl ServiceFlags {
    /// Notes in `errors` what of these flags cannot be used, or does not fit together.
    pub fn check(&self, errors: &mut ConfigErrors) {
        self.check_operations(errors);
        self.check_customers(errors);
        self.check_fleet(errors);
        self.check_hosts(errors);
        self.check_exposure(errors);
        self.check_stages(errors);
        self.check_votes(errors);
    }

    fn check_operations(&self, errors: &mut ConfigErrors) {
        for op in &self.ops {
            let mut check = |wrong: bool, fault: &str| {
                errors.check(wrong, "op", format!("op type '{}': {fault}", op.name));
            };
            check(op.target.is_zero(), "target= is missing or nothing");
            check(op.timeout < op.target, "timeout= is shorter than target=");
            let bad_importance = op.importance.is_nan() || op.importance <= 0.0;
            check(bad_importance, "importance= must be above 0");
            let deduplicated = op.repeat == Repeat::Deduplicated;
            let lacks_memory = deduplicated && op.memory.is_zero();
            check(lacks_memory, "deduplicated needs memory=");
            let needless_memory = !deduplicated && !op.memory.is_zero();
            check(needless_memory, "memory= goes with deduplicated only");
            let same_name = self.ops.iter().filter(|other| other.name == op.name);
            check(same_name.count() > 1, "named twice");
        }
    }

    fn check_customers(&self, errors: &mut ConfigErrors) {
        for (name, quota) in &self.customers {
            let wrong = quota.is_nan() || *quota <= 0.0;
            let fault = format!("'{name}': the share must be above 0");
            errors.check(wrong, "customer", fault);
        }
    }

    fn check_fleet(&self, errors: &mut ConfigErrors) {
        errors.check(self.fleet_size == 0, "fleet-size", "at least 1");
        errors.check(self.delivery_cap == 0, "delivery-cap", "at least 1");
    }

    fn check_hosts(&self, errors: &mut ConfigErrors) {
        let bad_start = !is_fraction(self.cold_from) || self.cold_from == 0.0;
        errors.check(bad_start, "cold-from", "above 0 and at most 1");
        let bad_multiple = self.fall_multiple.is_nan() || self.fall_multiple < 1.0;
        errors.check(bad_multiple, "fall-multiple", "at least 1");
        errors.check(self.fall_span.is_zero(), "fall-span", "above 0s");
    }

    fn check_exposure(&self, errors: &mut ConfigErrors) {
        errors.check(self.exposure_span.is_zero(), "exposure-span", "above 0s");
        let bad_free = !self.exposure_free.is_finite() || self.exposure_free < 0.0;
        errors.check(bad_free, "exposure-free", "0 or more");
        let bad_share = !is_fraction(self.complaint_share);
        errors.check(bad_share, "complaint-share", "0 to 1");
    }

    fn check_stages(&self, errors: &mut ConfigErrors) {
        const RISING: &str = "each 0 to 1, none below the one before";
        let shares_rise = rises_within_fractions(&self.stage_shares);
        errors.check(!shares_rise, "stage-share", RISING);
        let caps_rise = rises_within_fractions(&self.stage_caps);
        errors.check(!caps_rise, "stage-cap", RISING);
        let caps = self.stage_caps.len();
        let shares = self.stage_shares.len();
        let unequal = format!("{caps} stages, but --stage-share has {shares}");
        errors.check(caps != shares, "stage-cap", unequal);
        let guarded = usize::from(self.guarded_stages);
        let beyond = format!("{guarded} of {caps} stages");
        errors.check(guarded > caps, "guarded-stages", beyond);
    }

    fn check_votes(&self, errors: &mut ConfigErrors) {
        let votes = self.back_votes;
        let beyond = format!("{votes} of {} routers", self.fleet_size);
        errors.check(votes > self.fleet_size, "back-votes", beyond);
        let bad_rate = self.votes_a_second.is_nan() || self.votes_a_second <= 0.0;
        errors.check(bad_rate, "votes-a-second", "above 0");
        let too_long = format!("shorter than --vote-lifetime {:?}", self.vote_lifetime);
        errors.check(self.vote_wait >= self.vote_lifetime, "vote-wait", too_long);
    }
}
