//! Slowness that is attributed to a zone, an operation or a tenant, and not to a host or a build.

use super::Router;

/// Slowness, as a logarithm over the fastest of its kind, above which a zone, operation or tenant
/// counts as slow itself.
const SLOWDOWN_THRESHOLD: f64 = 1.2;
/// Weight of the newest delivery in a slowdown.
const LEARN_RATE: f64 = 0.15;
/// Decay rate of a slowdown, per second; its time constant is 10 s. A slowdown decays even without
/// deliveries, so that a zone that gets none because it is slow is used again.
const DECAY_RATE: f64 = 0.1;

/// Moving averages, by index, of the logarithm of the latency over the baseline; NaN before the
/// first delivery.
#[derive(Debug, Default)]
pub(super) struct SlowdownTable(Vec<f64>);

impl SlowdownTable {
    pub(super) fn learn(&mut self, index: usize, slowdown: f64) {
        let table = &mut self.0;
        table.resize(table.len().max(index + 1), f64::NAN);
        table[index] = if table[index].is_nan() {
            LEARN_RATE * slowdown
        } else {
            table[index] + LEARN_RATE * (slowdown - table[index])
        };
    }

    /// Returns by how much an entry is slower than the fastest one, as a logarithm, if that is
    /// above the threshold, otherwise 0.
    pub(super) fn excess(&self, index: usize) -> f64 {
        let fastest = self.0.iter().copied().fold(f64::INFINITY, f64::min);
        self.0
            .get(index)
            .map(|slowdown| slowdown - fastest)
            .filter(|&excess| excess > SLOWDOWN_THRESHOLD)
            .unwrap_or(0.0)
    }

    /// Whether any entry is slower than the fastest one by more than the threshold.
    pub(super) fn any_excess(&self) -> bool {
        (0..self.0.len()).any(|index| self.excess(index) > 0.0)
    }

    fn decay(&mut self, factor: f64) {
        self.0.iter_mut().for_each(|slowdown| *slowdown *= factor);
    }
}

/// The indices of the tables that a delivery counts in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    pub(super) zone: usize,
    pub(super) operation: usize,
    pub(super) tenant: usize,
}

/// Slowdowns by zone, operation and tenant.
#[derive(Debug, Default)]
pub(super) struct Slowdowns {
    pub(super) zones: SlowdownTable,
    pub(super) operations: SlowdownTable,
    pub(super) tenants: SlowdownTable,
}

impl Slowdowns {
    /// Updates all three tables with the slowdown of one delivery, as a logarithm over the
    /// baseline.
    pub(super) fn learn(&mut self, origin: Origin, slowdown: f64) {
        self.zones.learn(origin.zone, slowdown);
        self.operations.learn(origin.operation, slowdown);
        self.tenants.learn(origin.tenant, slowdown);
    }

    /// Returns the largest excess of a delivery's zone, operation and tenant: the slowness that is
    /// not attributed to its host or build.
    pub(super) fn largest_excess(&self, origin: Origin) -> f64 {
        [
            self.zones.excess(origin.zone),
            self.operations.excess(origin.operation),
            self.tenants.excess(origin.tenant),
        ]
        .into_iter()
        .fold(0.0, f64::max)
    }

    /// Decays all slowdowns; `decay` is the factor for a time constant of one second.
    pub(super) fn decay(&mut self, decay: f64) {
        let factor = decay.powf(DECAY_RATE);
        self.zones.decay(factor);
        self.operations.decay(factor);
        self.tenants.decay(factor);
    }
}

impl Router {
    /// Returns the zone of a host as an index of [`Slowdowns::zones`].
    pub(super) fn zone_index(&self, host: usize) -> usize {
        self.hosts.endpoint(host).zone.0.into()
    }
}
