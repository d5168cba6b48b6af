//! Records the outputs of a router.

use std::collections::BTreeMap;

use spokeflow_core::*;

/// A delivery that the router requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delivered {
    pub(crate) command: CommandId,
    /// The number of the delivery among those of the command, from 0.
    pub(crate) delivery: u8,
    pub(crate) host: HostId,
}

/// A delivery that the router cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cancelled {
    pub(crate) command: CommandId,
    pub(crate) delivery: u8,
}

/// The number of outputs of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) deliveries: u64,
    /// Deliveries after the first one of a command.
    pub(crate) further_deliveries: u64,
    pub(crate) nacks: u64,
    pub(crate) fails: u64,
    pub(crate) cancels: u64,
    pub(crate) votes: u64,
}

/// Hashes all outputs in their order (FNV-1a) and keeps those that the world has to answer.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) hash: u64,
    pub(crate) counts: Counts,
    /// Number of deliveries of each command.
    sent: BTreeMap<CommandId, u8>,
    pub(crate) delivered: Vec<Delivered>,
    pub(crate) cancelled: Vec<Cancelled>,
    /// Number of votes that have no answer yet.
    pub(crate) voted: u32,
    pub(crate) wake_at: Option<Micros>,
}

impl Recorder {
    fn record(&mut self, fields: &[u64]) {
        let bytes = fields.iter().flat_map(|field| field.to_le_bytes());
        self.hash = bytes.fold(self.hash, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    }
}

impl Egress for Recorder {
    fn deliver(&mut self, id: CommandId, host: HostId, until: Option<Micros>) {
        let sent = self.sent.entry(id).or_default();
        self.delivered.push(Delivered {
            command: id,
            delivery: *sent,
            host,
        });
        self.counts.deliveries += 1;
        self.counts.further_deliveries += u64::from(*sent > 0);
        *sent += 1;
        self.record(&[
            1,
            u64::from(id.0),
            u64::from(host.0),
            until.unwrap_or(-1) as u64,
        ]);
    }

    fn nack(&mut self, id: CommandId, retry_after: Option<Micros>) {
        self.counts.nacks += 1;
        self.record(&[2, u64::from(id.0), retry_after.unwrap_or(-1) as u64]);
    }

    fn fail(&mut self, id: CommandId) {
        self.counts.fails += 1;
        self.record(&[3, u64::from(id.0)]);
    }

    fn cancel(&mut self, id: CommandId, delivery: u8) {
        self.counts.cancels += 1;
        self.cancelled.push(Cancelled {
            command: id,
            delivery,
        });
        self.record(&[4, u64::from(id.0), u64::from(delivery)]);
    }

    fn wake(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |before| before.min(at)));
        self.record(&[5, at as u64]);
    }

    fn vote(&mut self, build: BuildId, stage: u8, vote: RolloutVote) {
        self.counts.votes += 1;
        self.voted += 1;
        self.record(&[6, u64::from(build.0), u64::from(stage), vote as u64]);
    }

    fn probe(&mut self, host: HostId) {
        self.record(&[7, u64::from(host.0)]);
    }

    fn watch_list(&mut self) {
        self.record(&[8]);
    }

    fn fetch_list(&mut self) {
        self.record(&[9]);
    }

    fn gossip(&mut self, _: Option<u32>, text: &[u8]) {
        self.record(&[10, text.len() as u64]);
    }
}
