//! The table of the consequences of losing a control machine, a region or all power.

use super::super::lease::LeaseBounds;
use super::super::placement::tolerated_voter_losses;
use super::super::row::format_number;
use super::Page;

impl Page<'_> {
    /// Returns rows of the lost item, the consequence, and the mechanism that handles the loss.
    pub(super) fn losses(&self) -> Vec<[String; 3]> {
        let mut losses = Vec::from(self.voter_losses());
        losses.extend(self.other_losses());
        losses
    }

    fn voter_losses(&self) -> [[String; 3]; 3] {
        let terms = &self.target.terms;
        let bounds = LeaseBounds::from_target(self.target);
        let voters = format_number(terms.voters);
        let tolerated = format_number(tolerated_voter_losses(terms.voters));
        let not_tolerated = format_number(tolerated_voter_losses(terms.voters) + 1.0);
        let election_seconds = format_number(2.0 * terms.silence_seconds);
        let holder_seconds = format_number(bounds.holder_duration);
        let in_force_seconds = format_number(bounds.in_force_after_with_election);
        [
            loss_row(
                "a voter that follows".into(),
                format!("nothing; {tolerated} of {voters} may be lost. Its routers ask the next one"),
                "`RaftNode`; `ControlPlaneLink`",
            ),
            loss_row(
                "the voter that leads".into(),
                format!("no leases for about {election_seconds} s, which leases of {holder_seconds} s bridge; a change under way is in force within {in_force_seconds} s"),
                "`RaftNode`, `LeaseGranter`",
            ),
            loss_row(
                format!("{not_tolerated} voters"),
                format!("no changes; after {holder_seconds} s every router serves by the standing build alone"),
                "`LeaseHolder`, engine",
            ),
        ]
    }

    fn other_losses(&self) -> [[String; 3]; 5] {
        let fleet = &self.target.fleet;
        let routers = format_number((fleet.routers / fleet.regions).ceil());
        let election_seconds = format_number(2.0 * self.target.terms.silence_seconds);
        [
            loss_row(
                "a region, or the way to it".into(),
                format!(
                    "its {routers} routers serve by the standing build alone and get no change until it is back; a majority of \
                     voters elsewhere goes on"
                ),
                "`LeaseHolder`, `RaftNode`",
            ),
            loss_row(
                "the list source".into(),
                "the agreed list stays as it was; hosts that start meanwhile get nothing".into(),
                "`spokeflow-coordination`, `AgreedList`",
            ),
            loss_row(
                "the release controller".into(),
                "builds stay in their stage; routers serve on".into(),
                "`spokeflow-router`, `desk`",
            ),
            loss_row("a relay".into(), "not defined: there is none".into(), "missing"),
            loss_row(
                "all power".into(),
                format!(
                    "voters start from their stores and elect within about {election_seconds} s; {} routers start from their list files \
                     and ask for everything at once (rows \"power loss\")",
                    format_number(fleet.routers)
                ),
                "`Store`; `--list-file`",
            ),
        ]
    }
}

fn loss_row(lost: String, cost: String, mechanism: &str) -> [String; 3] {
    [lost, cost, mechanism.to_string()]
}
