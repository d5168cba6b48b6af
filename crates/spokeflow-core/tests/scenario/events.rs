//! The events other than commands: changes of hosts, steps of a rollout, and reports.

use super::*;

impl Simulation {
    /// Lets some hosts drain, stop or return, and sends the list of the changes: sometimes without
    /// builds, sometimes the complete list instead.
    pub(super) fn change_hosts(&mut self) {
        let count = if self.random.one_in(12) {
            1 + self.setting.hosts / 3
        } else {
            1
        };
        let changed: Vec<Endpoint> = (0..count).map(|_| self.change_host()).collect();
        match self.random.below(10) {
            0 => {
                let listed = |endpoint: &&Endpoint| endpoint.state != EndpointState::Gone;
                let complete: Vec<Endpoint> =
                    self.endpoints.iter().filter(listed).copied().collect();
                self.send_list(ListKind::Complete, &complete);
            }
            1 => {
                let without_build: Vec<Endpoint> = changed
                    .iter()
                    .map(|endpoint| Endpoint {
                        build: None,
                        ..*endpoint
                    })
                    .collect();
                self.send_list(ListKind::Changes, &without_build);
            }
            _ => self.send_list(ListKind::Changes, &changed),
        }
    }

    fn send_list(&mut self, kind: ListKind, endpoints: &[Endpoint]) {
        self.router
            .set_time(self.now)
            .on_endpoints(kind, endpoints, &mut self.out);
    }

    /// Lets one host drain, stop, or return with an earlier or the newest build.
    fn change_host(&mut self) -> Endpoint {
        let newest = self
            .status
            .map_or(BuildId(FIRST_BUILD), |status| status.build);
        let index = self.random.below(u64::from(self.setting.hosts)) as usize;
        let is_new_process = !self.random.one_in(4);
        let coin = self.random.one_in(2);
        let started_at = Some(self.now - self.random.between(0, 3 * SECOND));
        let endpoint = &mut self.endpoints[index];
        endpoint.state = match endpoint.state {
            EndpointState::Ready if coin => EndpointState::Draining,
            EndpointState::Ready | EndpointState::Draining => EndpointState::Gone,
            EndpointState::Gone => EndpointState::Ready,
        };
        if endpoint.state == EndpointState::Ready {
            endpoint.started_at = if is_new_process {
                started_at
            } else {
                endpoint.started_at
            };
            endpoint.build = Some(if coin {
                newest
            } else {
                BuildId(newest.0.max(FIRST_BUILD + 1) - 1)
            });
            endpoint.size = self.random.pick(&SIZES);
        }
        *endpoint
    }

    /// Announces the next step of the rollout: the next stage, the release, a rollback, or the
    /// canary of the next build.
    pub(super) fn announce_next_status(&mut self) {
        use RolloutState::*;
        let caps = [0.1, 0.4, 1.0];
        let first = RolloutStatus {
            build: BuildId(FIRST_BUILD),
            stage: 2,
            state: Released,
            exposure_cap: 1.0,
            age: 0,
        };
        let next = match self.status {
            None => first,
            Some(status)
                if status.state == Canary && status.stage < 2 && !self.random.one_in(5) =>
            {
                let stage = status.stage + 1;
                RolloutStatus {
                    stage,
                    exposure_cap: caps[usize::from(stage)],
                    ..status
                }
            }
            Some(status) if status.state == Canary && status.stage == 2 => RolloutStatus {
                state: Released,
                ..status
            },
            Some(status) if status.state == Canary => RolloutStatus {
                state: RollingBack,
                exposure_cap: 0.0,
                ..status
            },
            Some(status) if status.state == RollingBack => RolloutStatus {
                state: Withdrawn,
                ..status
            },
            Some(status) => RolloutStatus {
                build: BuildId(status.build.0 + 1),
                stage: 0,
                state: Canary,
                exposure_cap: caps[0],
                age: 0,
            },
        };
        let status = RolloutStatus {
            age: self.random.between(0, SECOND),
            ..next
        };
        self.status = Some(status);
        self.router
            .set_time(self.now)
            .on_rollout_status(status, &mut self.out);
    }

    /// Sends a random report or other call to the router, most often a load report.
    pub(super) fn send_other_event(&mut self) {
        let host = HostId(self.random.below(u64::from(self.setting.hosts)) as u32);
        match self.random.below(40) {
            0 => self.router.set_time(self.now).on_list_failure(),
            1 => {
                let since = self.random.between(0, 5 * SECOND);
                self.router.set_time(self.now).on_wrong_answer(host, since);
            }
            2 => {
                let warm_up_time = self.random.between(SECOND, 5 * SECOND);
                self.config = ServiceConfig {
                    warm_up_time,
                    ..self.config.clone()
                };
                self.router.set_time(self.now).reconfigure(&self.config);
            }
            3..=6 => {
                let id = CommandId(1 + self.random.below(u64::from(self.commands)) as u32);
                self.router.set_time(self.now).finish(id, &mut self.out);
            }
            7..=10 => {
                let open = self
                    .planned_ends
                    .iter()
                    .nth(self.random.below(8) as usize)
                    .copied();
                if let Some(open) = open {
                    self.router
                        .set_time(self.now)
                        .on_response_started(CommandId(open.command), open.delivery);
                }
            }
            11..=16 => {
                let sampled = self.random.below(20) as u32;
                let stats = ControllerStats {
                    build: BuildId(FIRST_BUILD + self.random.below(4) as u16),
                    op: OpType(self.random.below(4) as u16),
                    sampled,
                    failed: sampled / 8,
                    mean_latency: self.random.between(30 * MS, 120 * MS),
                    age: self.random.between(0, 2 * SECOND),
                };
                self.router.set_time(self.now).on_controller_stats(stats);
            }
            _ => {
                let utilization = self.random.below(100) as f64 / 100.0;
                self.router
                    .set_time(self.now)
                    .on_load_report(host, utilization);
            }
        }
    }
}
