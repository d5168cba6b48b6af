//! The commands that change which nodes vote: `register`, `add-node`, `remove-node`.

use std::net::SocketAddr;

use spokeflow_coordination::wire::Request;
use spokeflow_raft::NodeId;

use crate::error::CtlError;
use crate::output::Output;
use crate::session::Session;

/// Registers the address on which a node listens.
pub(crate) async fn register(
    session: &Session,
    node: u32,
    address: SocketAddr,
) -> Result<(), CtlError> {
    let request = Request::SetAddress {
        node: NodeId(node),
        address: address.to_string(),
    };
    session.send(request).await?;
    Ok(())
}

/// Adds or removes one voter, by the node's id.
#[derive(Clone, Copy)]
pub(crate) enum VoterChange {
    Add(u32),
    Remove(u32),
}

impl VoterChange {
    /// Requests the change unless the status shows it already, waits until the status shows it and prints the voters.
    pub(crate) async fn apply(self, session: &Session, output: &Output) -> Result<(), CtlError> {
        let mut voters = session.status().await?.voters;
        if !self.is_done_in(&voters) {
            self.change(&mut voters);
            session.send(Request::ChangeVoters(voters)).await?;
        }
        // The status shows a change as soon as the leader has appended it to its log. Whether it is committed is not
        // checked: a new leader may still drop it.
        let status = session
            .wait_until(
                |status| self.is_done_in(&status.voters),
                |_| CtlError::VotersUnchanged,
            )
            .await?;
        let ids: Vec<u32> = status.voters.iter().map(|voter| voter.0).collect();
        output.print(&ids, || format!("keepers that vote: {ids:?}"))
    }

    /// Whether `voters` include the change.
    fn is_done_in(self, voters: &[NodeId]) -> bool {
        match self {
            VoterChange::Add(node) => voters.contains(&NodeId(node)),
            VoterChange::Remove(node) => !voters.contains(&NodeId(node)),
        }
    }

    fn change(self, voters: &mut Vec<NodeId>) {
        match self {
            VoterChange::Add(node) => voters.push(NodeId(node)),
            VoterChange::Remove(node) => voters.retain(|voter| voter.0 != node),
        }
    }
}
