//! Renamed environment variables, which are still read under their former names.

/// A renamed variable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenamedVariable {
    /// The name before, still used in the files of earlier deployments.
    pub former: &'static str,
    /// The current name, which `--help` shows.
    pub current: &'static str,
}

const fn renamed(former: &'static str, current: &'static str) -> RenamedVariable {
    RenamedVariable { former, current }
}

/// All renamed variables of the project's programs. Renamed flags keep their former names as aliases.
pub const RENAMED_VARIABLES: [RenamedVariable; 13] = [
    renamed("SPOKEFLOW_DESK", "SPOKEFLOW_RELEASE_CONTROLLER"),
    renamed("SPOKEFLOW_KEEPER", "SPOKEFLOW_CONTROL_PLANE"),
    renamed("SPOKEFLOW_AGREED_LIST", "SPOKEFLOW_REPLICATED_LIST"),
    renamed("SPOKEFLOW_HELD_AT_MOST", "SPOKEFLOW_MAX_WAITING"),
    renamed("SPOKEFLOW_CLIENTS_AT_MOST", "SPOKEFLOW_MAX_CLIENTS"),
    renamed("SPOKEFLOW_WAY_TIMEOUT", "SPOKEFLOW_PING_TIMEOUT"),
    renamed("SPOKEFLOW_VOTE_LIFE", "SPOKEFLOW_VOTE_LIFETIME"),
    renamed("SPOKEFLOW_DESK_COUNTS", "SPOKEFLOW_CONTROLLER_STATS"),
    renamed("SPOKEFLOW_KEEPER_ID", "SPOKEFLOW_NODE_ID"),
    renamed("SPOKEFLOW_SILENCE", "SPOKEFLOW_ELECTION_TIMEOUT"),
    renamed("SPOKEFLOW_BEAT", "SPOKEFLOW_HEARTBEAT_INTERVAL"),
    renamed("SPOKEFLOW_DRIFT", "SPOKEFLOW_MAX_CLOCK_DRIFT"),
    renamed("SPOKEFLOW_CALLERS_AT_MOST", "SPOKEFLOW_MAX_CONNECTIONS"),
];

/// Returns the current name of the variable that has `name` as its current or former name.
pub fn current_variable_name(name: &str) -> &str {
    RENAMED_VARIABLES
        .iter()
        .find(|variable| variable.former == name)
        .map_or(name, |variable| variable.current)
}

/// Sets the current name of each variable that is set under its former name only, in the environment of this process.
/// Must be called first in `main`, before flags are parsed and while the process has a single thread.
pub fn adopt_former_variables() {
    for variable in RENAMED_VARIABLES {
        let former = std::env::var_os(variable.former);
        let is_set = std::env::var_os(variable.current).is_some();
        if let Some(value) = former.filter(|_| !is_set) {
            std::env::set_var(variable.current, value);
        }
    }
}
