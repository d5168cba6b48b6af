//! Slowness that belongs to a zone, an operation or a tenant, and not to a host or a build.

use super::Router;

/// Slowness, as a logarithm over the best of its kind, from which it is held to belong to this one
/// alone.
const SLOWDOWN_THRESHOLD: f64 = 1.2;
/// Weight of the newest answer in a slowdown.
const LEARN_RATE: f64 = 0.15;
/// Part of a second's fading that a slowdown fades by: it is forgotten slowly, so that what was
/// mended is tried again.
const FADE_EXPONENT: f64 = 0.1;

/// Latency over the baseline, as logarithms by index; NaN before the first answer.
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

    /// By how much one is slower than the best, where that is far: else 0.
    pub(super) fn excess(&self, index: usize) -> f64 {
        let best = self.0.iter().copied().fold(f64::INFINITY, f64::min);
        self.0
            .get(index)
            .map(|slowdown| slowdown - best)
            .filter(|&excess| excess > SLOWDOWN_THRESHOLD)
            .unwrap_or(0.0)
    }

    /// Whether any is far slower than the best.
    pub(super) fn any_excess(&self) -> bool {
        (0..self.0.len()).any(|index| self.excess(index) > 0.0)
    }

    fn fade(&mut self, factor: f64) {
        self.0.iter_mut().for_each(|slowdown| *slowdown *= factor);
    }
}

/// Where an answer came from and what for.
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
    /// An answer was slower than the baseline by this much.
    pub(super) fn learn(&mut self, origin: Origin, slowdown: f64) {
        self.zones.learn(origin.zone, slowdown);
        self.operations.learn(origin.operation, slowdown);
        self.tenants.learn(origin.tenant, slowdown);
    }

    /// The slowness of an answer that is neither its host's nor its build's doing.
    pub(super) fn largest_excess(&self, origin: Origin) -> f64 {
        [
            self.zones.excess(origin.zone),
            self.operations.excess(origin.operation),
            self.tenants.excess(origin.tenant),
        ]
        .into_iter()
        .fold(0.0, f64::max)
    }

    /// Forgets by the time passed; `fade` is what remains of a figure that fades within a second.
    pub(super) fn fade(&mut self, fade: f64) {
        let factor = fade.powf(FADE_EXPONENT);
        self.zones.fade(factor);
        self.operations.fade(factor);
        self.tenants.fade(factor);
    }
}

impl Router {
    /// The zone of a host as an index of [`Slowdowns::zones`].
    pub(super) fn zone_index(&self, host: usize) -> usize {
        self.hosts.endpoint(host).zone.0.into()
    }
}
