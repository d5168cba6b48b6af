//! Encodes the calls of the decision modules as records of the wire.

use spokeflow_core::{BuildId, CommandId, Egress, HostId, Micros, RolloutVote};

/// Size in bytes of the length before the records.
const LENGTH_SIZE: usize = 4;

/// Codes of records in a reply.
mod code {
    pub(super) const DELIVER: u8 = 0;
    pub(super) const NACK: u8 = 1;
    pub(super) const FAIL: u8 = 2;
    pub(super) const CANCEL: u8 = 3;
    pub(super) const WAKE: u8 = 4;
    pub(super) const PROBE: u8 = 5;
    pub(super) const GOSSIP: u8 = 7;
    pub(super) const WATCH_LIST: u8 = 10;
    pub(super) const FETCH_LIST: u8 = 11;
    pub(super) const VOTE: u8 = 12;
    /// Names the router that the next records are from.
    pub(super) const FOR: u8 = 13;
}

/// A reply that is being written: the length of its records, then the records.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    /// The router that the reply's last `FOR` record names; `None` before the first.
    named_router: Option<u32>,
    /// The router that makes the next calls.
    current_router: u32,
}

impl Default for Reply {
    fn default() -> Self {
        Reply {
            bytes: vec![0; LENGTH_SIZE],
            named_router: None,
            current_router: 0,
        }
    }
}

impl Reply {
    /// Sets the router that makes the next calls.
    pub(crate) fn set_router(&mut self, number: u32) {
        self.current_router = number;
    }

    /// Completes the reply and returns its bytes.
    pub(crate) fn frame(&mut self) -> &[u8] {
        let length = (self.bytes.len() - LENGTH_SIZE) as u32;
        self.bytes[..LENGTH_SIZE].copy_from_slice(&length.to_be_bytes());
        &self.bytes
    }

    /// Removes all records, for the next reply.
    pub(crate) fn clear(&mut self) {
        self.bytes.truncate(LENGTH_SIZE);
        self.named_router = None;
    }

    /// Appends a record of the current router, after a `FOR` record if that router is not the one named last.
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        if self.named_router != Some(self.current_router) {
            self.named_router = Some(self.current_router);
            let number = self.current_router.to_be_bytes();
            self.write(code::FOR, &[&number]);
        }
        self.write(code, fields);
    }

    fn write(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_be_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }
}

/// Encodes a time in seconds, as the wire has it.
fn seconds(at: Micros) -> [u8; 8] {
    (at as f64 / 1e6).to_be_bytes()
}

impl Egress for Reply {
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>) {
        let until = seconds(until.unwrap_or(0));
        let fields: [&[u8]; 3] = [&cmd.0.to_be_bytes(), &host.0.to_be_bytes(), &until];
        self.record(code::DELIVER, &fields);
    }

    fn nack(&mut self, cmd: CommandId, retry_after: Option<Micros>) {
        let retry_after = seconds(retry_after.unwrap_or(0));
        self.record(code::NACK, &[&cmd.0.to_be_bytes(), &retry_after]);
    }

    fn fail(&mut self, cmd: CommandId) {
        self.record(code::FAIL, &[&cmd.0.to_be_bytes()]);
    }

    fn cancel(&mut self, cmd: CommandId, attempt: u8) {
        self.record(code::CANCEL, &[&cmd.0.to_be_bytes(), &[attempt]]);
    }

    fn wake(&mut self, at: Micros) {
        // The simulator returns the token with the timer; it is not used.
        let token = 0u32;
        self.record(code::WAKE, &[&seconds(at), &token.to_be_bytes()]);
    }

    fn vote(&mut self, build: BuildId, stage: u8, vote: RolloutVote) {
        let choice = match vote {
            RolloutVote::Abstain => 0,
            RolloutVote::Promote => 1,
            RolloutVote::Hold => 2,
            RolloutVote::RollBack => 3,
        };
        self.record(code::VOTE, &[&build.0.to_be_bytes(), &[stage, choice]]);
    }

    fn probe(&mut self, host: HostId) {
        self.record(code::PROBE, &[&host.0.to_be_bytes()]);
    }

    fn watch_list(&mut self) {
        /// Asks for changes from now on.
        const SUBSCRIBE: u8 = 1;
        self.record(code::WATCH_LIST, &[&[SUBSCRIBE]]);
    }

    fn fetch_list(&mut self) {
        self.record(code::FETCH_LIST, &[]);
    }

    fn gossip(&mut self, router: Option<u32>, text: &[u8]) {
        /// Addresses all other routers.
        const ALL: u16 = u16::MAX;
        let to = router.map_or(ALL, |router| router as u16);
        let length = text.len() as u16;
        let fields: [&[u8]; 3] = [&to.to_be_bytes(), &length.to_be_bytes(), text];
        self.record(code::GOSSIP, &fields);
    }
}
