//! The host list: what it knows, what it will learn, and the changes that it has told. No I/O.

use std::collections::{BTreeMap, VecDeque};

use crate::observation::Phase;
use crate::Micros;

#[derive(Clone, Debug)]
pub struct Entry {
    pub host: u32,
    pub address: String,
    pub site: u16,
    pub build: u16,
    pub phase: Phase,
    pub incarnation: u64,
    pub started: Option<Micros>,
}

/// Changes remembered; one who has missed more is told the whole list.
const REMEMBERED: usize = 4096;

#[derive(Default)]
pub struct EndpointRegistry {
    entries: BTreeMap<u32, Entry>,
    version: u64,
    log: VecDeque<(u64, u32)>,
    coming: Vec<(Micros, Entry)>,
}

impl EndpointRegistry {
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Learned at that time, and of one host in order. Answers when.
    pub fn know_at(&mut self, at: Micros, entry: Entry) -> Micros {
        let before = self
            .coming
            .iter()
            .filter(|c| c.1.host == entry.host)
            .map(|c| c.0)
            .max();
        let at = before.map_or(at, |before| at.max(before + 1));
        self.coming.push((at, entry));
        at
    }

    pub fn tick(&mut self, now: Micros) {
        let mut due: Vec<_> = self.coming.extract_if(.., |c| c.0 <= now).collect();
        due.sort_by_key(|c| c.0);
        for (_, entry) in due {
            self.version += 1;
            self.log.push_back((self.version, entry.host));
            self.entries.insert(entry.host, entry);
        }
        while self.log.len() > REMEMBERED {
            let Some((_, host)) = self.log.pop_front() else {
                break;
            };
            // Who is told the whole list needs no word of hosts that are gone.
            let last = !self.log.iter().any(|l| l.1 == host);
            if last
                && self
                    .entries
                    .get(&host)
                    .is_some_and(|e| e.phase == Phase::Gone)
            {
                self.entries.remove(&host);
            }
        }
    }

    /// What one who holds version `have` must be told; true where it is the whole list.
    pub fn since(&self, have: Option<u64>) -> (bool, Vec<&Entry>) {
        let oldest = self.log.front().map_or(0, |l| l.0 - 1);
        match have.filter(|v| *v <= self.version && *v >= oldest) {
            None => (
                true,
                self.entries
                    .values()
                    .filter(|e| e.phase != Phase::Gone)
                    .collect(),
            ),
            Some(v) => {
                let from = self.log.partition_point(|l| l.0 <= v);
                let mut hosts: Vec<u32> = self.log.range(from..).map(|l| l.1).collect();
                hosts.sort_unstable();
                hosts.dedup();
                (
                    false,
                    hosts.iter().filter_map(|h| self.entries.get(h)).collect(),
                )
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(host: u32, phase: Phase) -> Entry {
        Entry {
            host,
            address: String::new(),
            site: 0,
            build: 1,
            phase,
            incarnation: 1,
            started: None,
        }
    }

    #[test]
    fn one_who_missed_too_much_is_told_all_and_the_gone_are_forgotten() {
        let mut board = EndpointRegistry::default();
        board.know_at(1, entry(1, Phase::Ready));
        board.know_at(1, entry(2, Phase::Ready));
        board.tick(5);
        assert_eq!(board.since(Some(1)).1.len(), 1);
        board.know_at(6, entry(2, Phase::Gone));
        for n in 0..REMEMBERED as Micros + 3 {
            board.know_at(10 + n, entry(1, Phase::Ready));
            board.tick(10 + n);
        }
        let (whole, lines) = board.since(Some(2));
        assert!(whole && lines.len() == 1);
        assert_eq!((board.entries.len(), board.log.len()), (1, REMEMBERED));
    }

    #[test]
    fn what_is_learned_of_one_host_is_learned_in_order() {
        let mut board = EndpointRegistry::default();
        board.know_at(100, entry(1, Phase::Ready));
        assert_eq!(board.know_at(50, entry(1, Phase::Gone)), 101);
        board.tick(200);
        assert!(board.since(None).1.is_empty());
    }
}
