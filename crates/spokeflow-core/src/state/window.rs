//! A sliding time window of events, with a count for each kind of event.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

#[derive(Clone, Copy, Debug)]
struct Event<K> {
    at: Micros,
    kind: K,
}

/// The events of a sliding time window, in the order of their times.
#[derive(Debug)]
pub struct Window<K> {
    events: VecDeque<Event<K>>,
    counts: BTreeMap<K, usize>,
}

impl<K> Default for Window<K> {
    fn default() -> Self {
        Window {
            events: VecDeque::new(),
            counts: BTreeMap::new(),
        }
    }
}

impl<K: Copy + Ord> Window<K> {
    /// Adds an event; `at` must not be earlier than that of the event added before.
    pub fn push(&mut self, at: Micros, kind: K) {
        self.events.push_back(Event { at, kind });
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Removes the events before `from`.
    pub fn forget_before(&mut self, from: Micros) {
        while let Some(event) = self.events.pop_front_if(|event| event.at < from) {
            if let Some(count) = self.counts.get_mut(&event.kind) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&event.kind);
                }
            }
        }
    }

    /// Number of events in the window.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether the window holds no event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Number of events whose kind fulfils `is_counted`.
    pub fn count(&self, is_counted: impl Fn(K) -> bool) -> usize {
        self.counts
            .iter()
            .filter(|(kind, _)| is_counted(**kind))
            .map(|(_, count)| count)
            .sum()
    }
}
