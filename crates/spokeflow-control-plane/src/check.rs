//! Whether routers could take the values of a revision: by their own checks, on the flags of none.

use clap::Parser;
use spokeflow_coordination::Values;
use spokeflow_router::ServiceFlags;

#[derive(Parser)]
struct Ground {
    #[command(flatten)]
    service: ServiceFlags,
}

/// Checks each value by itself and together with the defaults of what is not named. A router checks again, together
/// with its own flags, before it acts on it.
///
/// Errors: every fault, one a line, naming the flag.
pub fn values(values: &Values) -> Result<(), String> {
    let ground = ["check", "--op=any:redeliverable:target=1s:timeout=60s"];
    let ground = Ground::try_parse_from(ground)
        .map_err(|e| e.to_string())?
        .service;
    ground.revised(values, true).map(drop)
}
