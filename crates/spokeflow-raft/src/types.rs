//! What members say to each other, write down and start from.

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeeperId(pub u32);

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A place in the log, from 1; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// With this a leader begins.
    Begin,
    /// What was offered; its meaning is the caller's.
    Act(Vec<u8>),
    /// Who votes, from this entry on, committed or not.
    Members(Vec<KeeperId>),
}

/// All of the log up to a place, as the caller's state and who voted then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub upto: Place,
    pub term: Term,
    pub members: Vec<KeeperId>,
    pub state: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct QuorumTerms {
    /// Who votes where the log does not say otherwise; empty for a member that is yet to be taken in.
    pub members: Vec<KeeperId>,
    /// The least silence of a leader, by a member's own clock, after which it may vote for another.
    pub silence: Micros,
    /// How often a leader speaks.
    pub beat: Micros,
    /// How much faster or slower than true a clock may run, as a share.
    pub drift: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Whether a vote would be given for this term; binds nobody.
    Sound {
        term: Term,
        last: Place,
        last_term: Term,
    },
    /// Asks for the vote.
    Stand {
        term: Term,
        last: Place,
        last_term: Term,
    },
    /// To either: the term asked for where it is granted, else the voter's own.
    Vote {
        term: Term,
        sounded: bool,
        granted: bool,
    },
    Append {
        term: Term,
        before: Place,
        before_term: Term,
        entries: Vec<Entry>,
        committed: Place,
        round: u64,
    },
    /// `Ok`: the log agrees up to there and is synced; `Err`: it does not at `before`, try from after this place.
    Appended {
        term: Term,
        round: u64,
        upto: Result<Place, Place>,
    },
    /// In place of entries that the leader no longer has; answered with `Appended`.
    Install {
        term: Term,
        snapshot: Snapshot,
        round: u64,
    },
}

/// What must be synced, in the order of the numbers, each whole or not at all. A snapshot takes the place of all up to
/// its own; then the log is cut behind `keep` and `entries` are put there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub number: u64,
    pub term: Term,
    pub voted: Option<KeeperId>,
    pub snapshot: Option<Snapshot>,
    pub keep: Place,
    pub entries: Vec<Entry>,
}

/// What a member starts from: all writes that were synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Saved {
    pub term: Term,
    pub voted: Option<KeeperId>,
    pub snapshot: Snapshot,
    /// What comes after the snapshot.
    pub log: Vec<Entry>,
}

impl Saved {
    pub fn apply(&mut self, write: &Write) {
        (self.term, self.voted) = (write.term, write.voted);
        if let Some(snapshot) = &write.snapshot {
            let over = (snapshot.upto.0 - self.snapshot.upto.0) as usize;
            self.log.drain(..over.min(self.log.len()));
            self.snapshot = snapshot.clone();
        }
        self.log
            .truncate((write.keep.0 - self.snapshot.upto.0) as usize);
        self.log.extend_from_slice(&write.entries);
    }
}

/// What one call asks for. Messages may leave at once: those that promise a write come out once it is synced.
#[derive(Clone, Debug, Default)]
pub struct Out {
    pub messages: Vec<(KeeperId, Message)>,
    pub writes: Vec<Write>,
    /// The caller's state is this one from now on; what is committed below comes after it.
    pub restored: Option<Snapshot>,
    pub committed: Vec<(Place, Entry)>,
}
