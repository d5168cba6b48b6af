//! Writes the module's answers as records of the wire.

use spokeflow_core::{BuildId, CommandId, Egress, HostId, Micros, RolloutVote};

/// One reply in the making: four bytes for its length, then the records.
pub struct Reply {
    bytes: Vec<u8>,
    speaker: Option<u32>,
    current: u32,
}

impl Reply {
    pub fn new() -> Self {
        Reply {
            bytes: vec![0; 4],
            speaker: None,
            current: 0,
        }
    }

    /// Whose answers come next.
    pub fn speak_for(&mut self, instance: u32) {
        self.current = instance;
    }

    /// The finished frame; the reply is empty again after `clear`.
    pub fn frame(&mut self) -> &[u8] {
        let len = (self.bytes.len() - 4) as u32;
        self.bytes[..4].copy_from_slice(&len.to_be_bytes());
        &self.bytes
    }

    pub fn clear(&mut self) {
        self.bytes.truncate(4);
        self.speaker = None;
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        if self.speaker != Some(self.current) {
            self.speaker = Some(self.current);
            let current = self.current;
            self.raw(13, &[&current.to_be_bytes()]);
        }
        self.raw(code, fields);
    }

    fn raw(&mut self, code: u8, fields: &[&[u8]]) {
        let len: usize = fields.iter().map(|f| f.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(len as u32).to_be_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }
}

fn seconds(at: Micros) -> [u8; 8] {
    (at as f64 / 1e6).to_be_bytes()
}

impl Egress for Reply {
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>) {
        let until = seconds(until.unwrap_or(0));
        self.record(0, &[&cmd.0.to_be_bytes(), &host.0.to_be_bytes(), &until]);
    }

    fn nack(&mut self, cmd: CommandId, come_back: Option<Micros>) {
        self.record(1, &[&cmd.0.to_be_bytes(), &seconds(come_back.unwrap_or(0))]);
    }

    fn fail(&mut self, cmd: CommandId) {
        self.record(2, &[&cmd.0.to_be_bytes()]);
    }

    fn cancel(&mut self, cmd: CommandId, delivery: u8) {
        self.record(3, &[&cmd.0.to_be_bytes(), &[delivery]]);
    }

    fn wake(&mut self, at: Micros) {
        self.record(4, &[&seconds(at), &0u32.to_be_bytes()]);
    }

    fn vote(&mut self, build: BuildId, stage: u8, verdict: RolloutVote) {
        let code = match verdict {
            RolloutVote::Abstain => 0,
            RolloutVote::Promote => 1,
            RolloutVote::Hold => 2,
            RolloutVote::RollBack => 3,
        };
        self.record(12, &[&build.0.to_be_bytes(), &[stage, code]]);
    }

    fn probe(&mut self, host: HostId) {
        self.record(5, &[&host.0.to_be_bytes()]);
    }

    fn watch_list(&mut self) {
        self.record(10, &[&[1]]);
    }

    fn fetch_list(&mut self) {
        self.record(11, &[]);
    }

    fn gossip(&mut self, router: Option<u32>, text: &[u8]) {
        let to = router.map_or(u16::MAX, |r| r as u16);
        self.record(
            7,
            &[&to.to_be_bytes(), &(text.len() as u16).to_be_bytes(), text],
        );
    }
}
