//! The commands that change which nodes vote: `register`, `add-node`, `remove-node`.

use std::net::SocketAddr;

use spokeflow_coordination::wire::Request;
use spokeflow_raft::NodeId;

use crate::error::CtlError;
use crate::output::Output;
use crate::session::Session;

/// Records where a node listens.
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

/// One more voter or one less, by the node's number.
#[derive(Clone, Copy)]
pub(crate) enum VoterChange {
    Add(u32),
    Remove(u32),
}

impl VoterChange {
    /// Requests the change where it is not made yet, waits until it is committed and prints the voters.
    pub(crate) async fn apply(self, session: &Session, output: &Output) -> Result<(), CtlError> {
        let mut voters = session.status().await?.voters;
        if !self.is_made_in(&voters) {
            self.make_in(&mut voters);
            session.send(Request::ChangeVoters(voters)).await?;
        }
        // The status shows a change from its proposal on; it holds once something later is committed.
        let status = session
            .wait_until(
                |status| self.is_made_in(&status.voters),
                |_| CtlError::VotersNotCommitted,
            )
            .await?;
        let ids: Vec<u32> = status.voters.iter().map(|voter| voter.0).collect();
        output.print(&ids, || format!("keepers that vote: {ids:?}"))
    }

    fn is_made_in(self, voters: &[NodeId]) -> bool {
        match self {
            VoterChange::Add(node) => voters.contains(&NodeId(node)),
            VoterChange::Remove(node) => !voters.contains(&NodeId(node)),
        }
    }

    fn make_in(self, voters: &mut Vec<NodeId>) {
        match self {
            VoterChange::Add(node) => voters.push(NodeId(node)),
            VoterChange::Remove(node) => voters.retain(|voter| voter.0 != node),
        }
    }
}
