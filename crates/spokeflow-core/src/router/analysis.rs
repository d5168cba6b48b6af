//! The evidence against the newest build.

use super::Router;
use super::{ROUTERS_PER_HOST, SECOND};
use crate::state::LatencyCount;
use crate::{AttemptOutcome, ControllerStats, HostId, Micros, RolloutState};

/// Taken off each judged delivery beside the earlier build's rate, and off the reports of wrong answers.
const FAIL_MARGIN: f64 = 0.02;
pub(super) const WRONG_MARGIN: f64 = 0.01;
/// Failures at the earlier build, as a share, that halve what one more proves.
const NOISE: f64 = 0.05;
/// What the desk's counts of one op type and period weigh, and slowness there that is laid to chance.
const COUNT_WEIGHT: f64 = 1.5;
const COUNT_MARGIN: f64 = 0.3;
/// How many times fewer fit hosts than before the trial excuse at most.
const MOST_FEWER: f64 = 1.4;
pub(super) const SEND_BACK_AT: f64 = 4.0;
/// Slowness, as a logarithm, that is laid to chance, and what one unit beyond it weighs in the judge's sum.
pub(super) const LATE_MARGIN: f64 = 0.6;
pub(super) const LATE_WEIGHT: f64 = 0.4;
/// Hosts that must speak against a build at most: a router meets few of many.
const MOST_VOICES: f64 = 8.0;

impl Router {
    pub(super) fn judge(
        &mut self,
        h: usize,
        op: usize,
        share: usize,
        end: AttemptOutcome,
        took: Micros,
    ) {
        let build = self.hosts.build(h);
        let failed = match end {
            AttemptOutcome::Acked => 0.0,
            AttemptOutcome::Error => 1.0,
            // Ways break connections too, and one crash breaks all that was out at the host: that is one
            // failure, of one that does little else; a time-out is none where it answered nobody.
            AttemptOutcome::Reset
                if self.hosts.answers(h) < 2 && self.now >= self.hosts.ejected_until(h) =>
            {
                1.0
            }
            AttemptOutcome::TimedOut if (took as f64) < self.ops[op].latency_objective => return,
            AttemptOutcome::TimedOut if self.detour(1, op) > 0.0 => {
                return self.learn_way(1, op, 2.0)
            }
            // A full fleet times out too: that is slowness, which more traffic excuses, and no failure.
            AttemptOutcome::TimedOut
                if !self.mute(h) && self.hosts.consecutive_failures(h) == 0 =>
            {
                0.0
            }
            _ => return,
        };
        let acked = end == AttemptOutcome::Acked;
        self.losses[1] += failed;
        self.by_share.iter_mut().flatten().for_each(|n| *n *= 0.98);
        let erred = f64::from(u8::from(end == AttemptOutcome::Error));
        self.by_share[share] = [
            self.by_share[share][0] + 1.0,
            self.by_share[share][1] + erred,
        ];
        let time = (took.max(1) as f64).ln() + self.warmth(self.hosts.age(h)).ln();
        // A mean of few answers may be off by chance; of many, one is very unlucky and speaks for all.
        let (rests_on, usual) = (
            f64::from(self.ops[op].baseline_samples),
            self.ops[op].baseline,
        );
        let known = rests_on >= 5.0;
        let luck = if self.fig.fleet > ROUTERS_PER_HOST {
            (2.0 * self.fig.fleet.ln()).sqrt()
        } else {
            1.0
        };
        let unsure = (luck / rests_on.sqrt() - 0.25).max(0.0);
        let slower = if acked {
            (time - usual - unsure).clamp(-2.0, 2.0)
        } else {
            2.0 * (1.0 - failed)
        };
        let late = if known { slower } else { 0.0 };
        let ways = [
            (0, self.hosts.endpoint(h).zone.0.into()),
            (1, op),
            (2, share),
        ];
        ways.iter()
            .filter(|_| known)
            .for_each(|&(kind, n)| self.learn_way(kind, n, late));
        let late = late
            - ways
                .map(|(kind, n)| self.detour(kind, n))
                .into_iter()
                .fold(0.0, f64::max);
        let lag = self.hosts.slowdown(h);
        self.hosts.set_slowdown(h, lag + 0.15 * (late - lag));
        if known {
            self.judge_shared(late);
        }
        let newest = self
            .news
            .is_some_and(|n| build >= n.build && !self.sent_back(n.build));
        if newest && self.hosts.oldest_build().is_some_and(|b| b < build) {
            self.seen += 1;
            self.seen_in_stage += 1;
            let wrong = &mut self.sums[self.ops.len() + 1];
            *wrong = (*wrong - self.fig.wrong_margin).max(0.0);
            let usual = self.old_fails[op].max(self.ops[op].controller_loss * self.blamed());
            // Where much fails anyway, a failure more says less.
            let gain = (failed - usual) * NOISE / (NOISE + usual) - FAIL_MARGIN;
            // Of thin traffic each failure says more: chance brings few of them together.
            self.add(
                h,
                op,
                gain * self.proof(share) * (self.fig.fleet / ROUTERS_PER_HOST).clamp(1.0, 1.5),
            );
            if known {
                let excused = self.old_lag.max(self.by_load());
                let gain = LATE_WEIGHT * (late - excused - LATE_MARGIN);
                self.add(h, self.ops.len(), gain.min(self.fig.few * gain));
            }
            return;
        }
        self.old_fails[op] += 0.02 * (failed - self.old_fails[op]);
        self.old_lag += 0.05 * (late - self.old_lag);
        // Thin traffic goes on learning in the first stages, from the earlier build's hosts.
        let few = self.ops[op].baseline_samples < 20 && self.lane < 0.2;
        if acked && (few || self.news.is_none_or(|n| n.state != RolloutState::Canary)) {
            let rules = &mut self.ops[op];
            rules.baseline_samples += 1;
            rules.baseline += (time - rules.baseline) / f64::from(rules.baseline_samples.min(200));
        }
    }

    /// What a failure proves for a customer whose commands err at every host, far beyond the others'.
    fn proof(&self, share: usize) -> f64 {
        let [own, failed] = self.by_share[share];
        let others = self
            .by_share
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != share);
        let rest = others
            .map(|(_, n)| (n[1] + 1.0) / (n[0] + 2.0))
            .fold(1.0, f64::min);
        let beyond = (failed - failed.sqrt()) / (own + 1.0) - rest;
        FAIL_MARGIN / (FAIL_MARGIN + beyond.max(0.0))
    }

    /// Two in five of a build's hosts (in a large fleet of those heard) convict it, two at least of three,
    /// for slowness always: each brings its part. It could harm where a build fails rarely on many hosts.
    fn add(&mut self, h: usize, which: usize, gain: f64) {
        let ready = self.hosts.ready_with(self.hosts.build(h));
        let peers = ready.len();
        let heard = if self.fig.fleet > ROUTERS_PER_HOST {
            ready.observed()
        } else {
            peers
        };
        let voices = [0.5, 0.5, 1.5].get(peers).copied();
        let voices = voices.unwrap_or((0.4 * heard as f64).clamp(2.0, MOST_VOICES));
        let most = SEND_BACK_AT
            / if which == self.ops.len() {
                voices.max(1.5)
            } else {
                voices
            };
        let gain = if gain > 0.0 {
            gain.min((most - self.hosts.evidence(h)).max(0.0))
        } else {
            gain
        };
        self.hosts
            .set_evidence(h, (self.hosts.evidence(h) + gain).max(0.0));
        self.sums[which] = (self.sums[which] + gain).max(0.0);
        if self.sum() <= 0.0 {
            self.hosts.clear_evidence();
        }
    }

    /// Failures add up over the op types; slowness is another proof, and one answer counts in one only.
    pub(super) fn sum(&self) -> f64 {
        let (fails, late) = self.sums.split_at(self.ops.len());
        late.iter().copied().fold(fails.iter().sum(), f64::max)
    }

    /// Commands asked and answered of late, and one alone, for each whole host's worth of fit capacity.
    pub(super) fn load(&self) -> [f64; 3] {
        let open =
            |h| self.hosts.consecutive_failures(h) == 0 && self.now >= self.hosts.ejected_until(h);
        let able = self.hosts.sum_ready(|age| self.warmth(age), open);
        let filled = 1.0 - (-(self.now - self.born) as f64 / (4 * SECOND) as f64).exp();
        [
            self.flow[0] / filled.max(0.1),
            self.flow[1] / filled.max(0.1),
            1.0,
        ]
        .map(|n| n / able.max(1.0))
    }

    /// The slowness that more load or less capacity than before the trial explains; retries, up to a bound.
    fn by_load(&self) -> f64 {
        let (now, usual) = (self.load(), self.usual_load);
        let [asked, answered, lost] = [0, 1, 2].map(|n| 1.5 * (now[n] / usual[n].max(1e-9)).ln());
        let slower = asked.min(1.0).max(answered).max(lost).clamp(0.0, 1.5);
        // A fleet that sheds and yet answers as much as before is full: that is load, whatever was asked. One
        // that has just turned over was cold, and has the queue of that time to work off.
        let full = self.flow[2] > 0.05 * self.flow[0] && now[1] > 0.95 * usual[1];
        [slower * f64::from(u8::from(usual[1] > 0.0)), 1.5]
            [usize::from(full || 2 * self.hosts.recently_started() > self.hosts.ready_count())]
    }

    /// Guards against a build that slows the earlier hosts too: from its trial on every answer counts against
    /// the time before, less what traffic explains. It could harm where else the whole fleet slows.
    fn judge_shared(&mut self, late: f64) {
        let judged = self.seen > 0 && self.usual_load[1] > 0.0;
        if judged && self.news.is_some_and(|n| n.state == RolloutState::Canary) {
            // One of many routers sees by its own traffic only a part of what loads the hosts.
            let gain = LATE_WEIGHT * (late.min(1.5) - self.by_load() - LATE_MARGIN);
            let sum = self.sums.last_mut().expect("made at start");
            *sum = (*sum + gain.min(self.fig.few.min(ROUTERS_PER_HOST / self.fig.fleet) * gain))
                .max(0.0);
        }
    }

    /// What the desk counted of all routers' deliveries stands in for answers where a router sees few. One
    /// period brings a part of the proof at most. It could harm where troubles strike trial hosts only.
    pub fn on_controller_stats(&mut self, count: ControllerStats) {
        let (op, n) = (usize::from(count.op.0), f64::from(count.sampled));
        let Some(news) = self.news.filter(|_| op < self.ops.len() && n > 0.0) else {
            return;
        };
        let (on_trial, ended) = (news.state == RolloutState::Canary, self.now - count.age);
        if ended > self.period + SECOND / 4 {
            let pace = if self.usual_traffic > 0.0 { 0.3 } else { 1.0 };
            if !on_trial && self.traffic[0] > 0.0 {
                self.usual_traffic += pace * (self.traffic[0] - self.usual_traffic);
            }
            (self.period, self.traffic) = (ended, [0.0, self.traffic[0]]);
        }
        let lost = f64::from(count.failed).min(n);
        let (acked, mean) = (n - lost, count.mean_latency as f64 / SECOND as f64);
        self.traffic[0] += acked;
        let (waits, blamed, last) = (self.detour(1, op) > 0.0, self.blamed(), self.sums.len() - 1);
        let fewer = (self.load()[2] / self.usual_load[2].max(1e-9)).min(MOST_FEWER);
        let rules = &mut self.ops[op];
        let LatencyCount {
            answered,
            seconds: time,
        } = rules.controller_count;
        let slower = |usual: f64| (mean.max(1e-6) / usual.max(1e-6)).ln().clamp(-2.0, 2.0);
        // More answers or fewer hosts than before explain slowness; losses may be the build's own doing.
        let more = fewer.max(self.traffic[1].max(self.traffic[0]) / self.usual_traffic.max(1.0));
        let more = 1.5 * more.ln().max(0.0);
        let (usual, weight) = (
            rules.controller_baseline,
            COUNT_WEIGHT * acked / (acked + 12.0),
        );
        if count.build < news.build || self.hosts.oldest_build().is_none_or(|b| b >= news.build) {
            rules.controller_count = LatencyCount {
                answered: 0.8 * answered + acked,
                seconds: 0.8 * time + mean * acked,
            };
            rules.controller_loss = (lost / (n + 4.0)).max(0.8 * rules.controller_loss);
            if !on_trial {
                rules.controller_baseline =
                    rules.controller_count.seconds / rules.controller_count.answered.max(1.0);
            }
        } else if !waits && on_trial {
            self.counted_in_stage += n;
            let gain = blamed * (lost - n * rules.controller_loss) - n * FAIL_MARGIN;
            self.sums[op] = (self.sums[op] + gain.min(COUNT_WEIGHT / 2.0)).max(0.0);
            if answered >= 10.0 {
                let late = &mut self.sums[last - 2];
                let gain = weight * (slower(time / answered) - more - LATE_MARGIN);
                *late = (*late + gain).max(0.0);
            }
        }
        if on_trial && !waits && usual > 0.0 && self.counted_in_stage > 0.0 {
            let shared = &mut self.sums[last];
            *shared = (*shared + weight * (slower(usual).min(1.5) - more - COUNT_MARGIN)).max(0.0);
        }
    }

    /// Of what the desk calls lost, that part which would count as a failure if it were this router's own.
    fn blamed(&self) -> f64 {
        (self.losses[1] + 1.0) / (self.losses[0] + 1.0)
    }

    pub fn on_wrong_answer(&mut self, host: HostId, since: Micros) {
        let Some(&h) = self.index.get(&host) else {
            return;
        };
        // An answer of the process before this one says nothing of its build.
        let build = self.hosts.build(h);
        let before = self
            .hosts
            .endpoint(h)
            .started_at
            .is_some_and(|at| self.now - since < at);
        if !before && self.news.is_some_and(|n| build >= n.build) && !self.sent_back(build) {
            self.sums[self.ops.len() + 1] += self.fig.complaint_weight;
        }
    }
}
