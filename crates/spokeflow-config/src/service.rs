//! The service flags.

use std::time::Duration;

use clap::{Args, ValueEnum};

use crate::{parse_duration, CustomerFlag, OperationFlag};

/// The rule by which votes move a build through its stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum GateFlag {
    /// One vote promotes a build to its next stage, and one vote rolls it back.
    Single,
    /// A fixed fraction of all routers must vote the same.
    Majority,
    /// Each stage advances after a fixed time unless a vote holds it.
    Clocked,
}

/// Help text of `--op`. Not a doc comment, since rustdoc would take the optional parts in brackets for links.
const OPERATION_HELP: &str = "An operation: NAME:REPEAT:target=TIME:timeout=TIME:importance=NUMBER[:memory=TIME][:streamed], \
    in the order of its numbers on the wire. REPEAT is redeliverable, at-most-once or deduplicated/SCOPE, where SCOPE is \
    the set of hosts that recognize a retry: all, zone, cell or host. May be repeated, or separated by commas";

/// The guarantees and limits of a deployment, the same for all its routers.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "Service configuration")]
pub struct ServiceFlags {
    /// The operations, in the order of their numbers on the wire.
    #[arg(long = "op", env = "SPOKEFLOW_OP", value_delimiter = ',', required = true, help = OPERATION_HELP, value_parser = clap::value_parser!(OperationFlag))]
    pub ops: Vec<OperationFlag>,
    /// A customer and its quota over all routers: NAME=COMMANDS_A_SECOND, in the order of the numbers on the wire
    #[arg(long = "customer", env = "SPOKEFLOW_CUSTOMER", value_delimiter = ',', value_parser = clap::value_parser!(CustomerFlag))]
    pub customers: Vec<CustomerFlag>,
    /// Number of routers in the deployment
    #[arg(long, env = "SPOKEFLOW_FLEET_SIZE", default_value_t = 1)]
    pub fleet_size: u32,
    /// The host list sends changes to subscribers only
    #[arg(long, env = "SPOKEFLOW_LIST_MUST_BE_ASKED")]
    pub list_must_be_asked: bool,
    /// Maximum number of deliveries of one command
    #[arg(long, env = "SPOKEFLOW_DELIVERY_CAP", default_value_t = 4)]
    pub delivery_cap: u32,
    /// Hedging: two deliveries of one command may be open at the same time
    #[arg(long, env = "SPOKEFLOW_SIDE_BY_SIDE")]
    pub side_by_side: bool,
    /// Routers never cancel a delivery
    #[arg(long, env = "SPOKEFLOW_NO_CANCEL")]
    pub no_cancel: bool,
    /// Hosts may be probed
    #[arg(long, env = "SPOKEFLOW_MAY_PROBE")]
    pub may_probe: bool,
    /// No effect: routers exchange no messages
    #[arg(long, env = "SPOKEFLOW_MAY_TELL")]
    pub may_tell: bool,
    /// Longest retry-after time in a nack; with 0s nacks have none
    #[arg(long, env = "SPOKEFLOW_LONGEST_RETURN", default_value = "2s", value_parser = parse_duration)]
    pub longest_return: Duration,
    /// Grace period after a host is listed as draining or gone; when it has passed, nothing is sent to the host
    #[arg(long, env = "SPOKEFLOW_DRAIN_GRACE", default_value = "1s", value_parser = parse_duration)]
    pub drain_grace: Duration,
    /// Slow start: fraction of its full capacity that a host has when it starts, above 0 and at most 1
    #[arg(long, env = "SPOKEFLOW_COLD_FROM", default_value_t = 0.3)]
    pub cold_from: f64,
    /// Slow start: time after its start at which a host has its full capacity
    #[arg(long, env = "SPOKEFLOW_WARM_WITHIN", default_value = "4s", value_parser = parse_duration)]
    pub warm_within: Duration,
    /// Overload: traffic at which a host that is warming up fails, as a multiple of its capacity
    #[arg(long, env = "SPOKEFLOW_FALL_MULTIPLE", default_value_t = 3.0)]
    pub fall_multiple: f64,
    /// Overload: time with that much traffic after which the host fails
    #[arg(long, env = "SPOKEFLOW_FALL_SPAN", default_value = "3s", value_parser = parse_duration)]
    pub fall_span: Duration,
    /// Rule by which votes move a build through its stages
    #[arg(long, env = "SPOKEFLOW_GATE", value_enum, default_value = "single")]
    pub gate: GateFlag,
    /// Fraction of the fleet in each stage, 0 to 1; must not decrease
    #[arg(long = "stage-share", env = "SPOKEFLOW_STAGE_SHARE", value_delimiter = ',',
        default_values_t = [0.05, 0.2, 0.5, 1.0])]
    pub stage_shares: Vec<f64>,
    /// Exposure cap of each stage, 0 to 1; must not decrease
    #[arg(long = "stage-cap", env = "SPOKEFLOW_STAGE_CAP", value_delimiter = ',',
        default_values_t = [0.07, 0.28, 0.7, 1.0])]
    pub stage_caps: Vec<f64>,
    /// Number of deliveries to a canary beyond the exposure cap that are allowed in each exposure window
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_FREE", default_value_t = 1.0)]
    pub exposure_free: f64,
    /// Length of the exposure window, over which the deliveries under the exposure cap are counted
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_SPAN", default_value = "4s", value_parser = parse_duration)]
    pub exposure_span: Duration,
    /// Applies the exposure cap to each operation separately
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_BY_OP")]
    pub exposure_by_op: bool,
    /// Number of first stages in which a canary gets redeliverable operations only
    #[arg(long, env = "SPOKEFLOW_GUARDED_STAGES", default_value_t = 0)]
    pub guarded_stages: u8,
    /// A key that a new build has answered is never sent to an earlier build
    #[arg(long, env = "SPOKEFLOW_FORWARD_ONLY")]
    pub forward_only: bool,
    /// Hosts of earlier builds stay until the new build is released, instead of being drained one by one
    #[arg(long, env = "SPOKEFLOW_BESIDE")]
    pub beside: bool,
    /// Minimum time in each stage
    #[arg(long, env = "SPOKEFLOW_STAGE_BAKE", default_value = "2s", value_parser = parse_duration)]
    pub stage_bake: Duration,
    /// Time for which a vote is valid
    #[arg(long, alias = "vote-life", env = "SPOKEFLOW_VOTE_LIFETIME", default_value = "10s", value_parser = parse_duration)]
    pub vote_lifetime: Duration,
    /// Time after which a vote without a response times out
    #[arg(long, env = "SPOKEFLOW_VOTE_WAIT", default_value = "2s", value_parser = parse_duration)]
    pub vote_wait: Duration,
    /// Fraction of the wrong answers that clients report, 0 to 1
    #[arg(long, env = "SPOKEFLOW_COMPLAINT_SHARE", default_value_t = 0.0)]
    pub complaint_share: f64,
    /// Number of routers whose votes roll a build back; 0 if the release controller does not specify it
    #[arg(long, env = "SPOKEFLOW_BACK_VOTES", default_value_t = 0)]
    pub back_votes: u32,
    /// Votes per second that the release controller accepts from all routers together; inf if it does not specify it
    #[arg(long, env = "SPOKEFLOW_VOTES_A_SECOND", default_value_t = f64::INFINITY)]
    pub votes_a_second: f64,
    /// Asks hosts for load reports (protocol version 2); older hosts refuse the connection
    #[arg(long, env = "SPOKEFLOW_HOST_REPORTS")]
    pub host_reports: bool,
    /// Asks the release controller for statistics of all routers' deliveries (protocol version 2); an older one refuses
    /// the connection
    #[arg(long, alias = "desk-counts", env = "SPOKEFLOW_CONTROLLER_STATS")]
    pub controller_stats: bool,
    /// Asks the host list for the capacities of hosts (protocol version 2); an older list refuses the connection
    #[arg(long, env = "SPOKEFLOW_HOST_SIZES")]
    pub host_sizes: bool,
}
