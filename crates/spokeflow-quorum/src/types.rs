//! What members say to each other, write down and start from.

use spokeflow_core::Micros;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeeperId(pub u32);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

/// A place in the log, from 1; 0 is before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub term: Term,
    /// Empty for the entry with which a leader begins.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct QuorumTerms {
    pub members: Vec<KeeperId>,
    /// The least silence of a leader, by a member's own clock, after which it may vote for another.
    pub silence: Micros,
    /// How often a leader speaks.
    pub beat: Micros,
    /// How much faster or slower than true a clock may run, as a share.
    pub drift: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
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
}

/// What must be synced, in the order of the numbers. The log is cut behind `keep` and `entries` are put there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub number: u64,
    pub term: Term,
    pub voted: Option<KeeperId>,
    pub keep: Place,
    pub entries: Vec<Entry>,
}

/// What a member starts from: all writes that were synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Saved {
    pub term: Term,
    pub voted: Option<KeeperId>,
    pub log: Vec<Entry>,
}

impl Saved {
    pub fn apply(&mut self, write: &Write) {
        (self.term, self.voted) = (write.term, write.voted);
        self.log.truncate(write.keep.0 as usize);
        self.log.extend_from_slice(&write.entries);
    }
}

/// What one call asks for. Messages may leave at once: those that promise a write come out once it is synced.
#[derive(Clone, Debug, Default)]
pub struct Out {
    pub messages: Vec<(KeeperId, Message)>,
    pub writes: Vec<Write>,
    pub committed: Vec<(Place, Entry)>,
}
