//! The fake release controller: serves the controller model of the scenario, and delays, stalls or refuses while a fault
//! of the scenario says so.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use spokeflow_proto::{
    FrameCodec, FromController, Hello, Role, RolloutPhase, RolloutUpdate, ToController, VoteChoice,
    VoteResult, WORK_LIMIT,
};
use spokeflow_scenario::active_faults::{LinkKind, CONTROL_SITE};
use spokeflow_scenario::observation::{Observation, Process, RolloutState};
use spokeflow_scenario::release_controller::{
    ControllerVote, ReleaseController, RolloutStatus, VoteOutcome,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::interval;
use tokio_util::codec::Framed;

use crate::context::{Path, RunContext};
use crate::{locked, Micros};

/// Interval at which the status last sent to a router is compared with that of the rollout.
const STATUS_INTERVAL: Duration = Duration::from_millis(10);
/// Probability that a stalled controller counts a vote; it answers no vote, counted or not.
const STALLED_COUNT_PROBABILITY: f64 = 0.5;

type ControllerLink = Framed<TcpStream, FrameCodec<ToController, FromController>>;

/// Serves one release controller to any number of routers.
pub(crate) struct ReleaseControllerServer {
    context: Arc<RunContext>,
    pub(crate) controller: Mutex<ReleaseController>,
}

/// A message on the path to a router.
enum Outbound {
    Voted {
        ballot: u64,
        result: VoteResult,
    },
    /// Encoded as an update only when it is sent, since the update contains its age.
    Status(RolloutStatus),
}

/// The rollout statuses that will be sent to a router, each at its time.
struct StatusSchedule {
    /// The status scheduled last, or `None` before the first.
    last: Option<RolloutStatus>,
    /// Time at which `last` was scheduled.
    last_at: Micros,
    due: VecDeque<DueStatus>,
}

/// A rollout status and the time at which it is sent.
struct DueStatus {
    at: Micros,
    status: RolloutStatus,
}

impl ReleaseControllerServer {
    pub(crate) fn new(context: Arc<RunContext>) -> Arc<Self> {
        let controller = ReleaseController::new(&context.scenario);
        Arc::new(ReleaseControllerServer {
            context,
            controller: Mutex::new(controller),
        })
    }

    /// Listens on a free port and serves routers until the runtime ends; returns the address.
    ///
    /// # Errors
    ///
    /// No loopback port can be bound.
    pub(crate) async fn open(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        Ok(address)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut link = ControllerLink::new(stream, FrameCodec::new(WORK_LIMIT));
        let Some(Ok(ToController::Hello(hello))) = link.next().await else {
            return;
        };
        let refused = hello.check(&[Role::Router]).is_err();
        if refused || link.send(FromController::Welcome).await.is_err() {
            return;
        }
        self.exchange(link, hello).await;
    }

    async fn exchange(&self, mut link: ControllerLink, hello: Hello) {
        let router = self.context.router_process(hello.index);
        let outbound_path = Path {
            from: CONTROL_SITE,
            to: hello.zone,
            links: LinkKind::ControlSite,
        };
        let (outbound, mut delayed_outbound) = self.context.delayed_channel(outbound_path);
        let (inbound, mut delayed_inbound) = self
            .context
            .delayed_channel::<ToController>(outbound_path.reversed());
        let mut schedule = StatusSchedule {
            last: None,
            last_at: Micros::MIN / 2,
            due: VecDeque::new(),
        };
        let mut ticks = interval(STATUS_INTERVAL);
        loop {
            // Sending to `inbound` and `outbound` cannot fail: their receivers are in this function.
            tokio::select! {
                read = link.next() => {
                    let Some(Ok(message)) = read else { return };
                    let _ = inbound.send(message);
                }
                Some(message) = delayed_inbound.recv() => {
                    self.receive(router, message, &outbound);
                }
                Some(message) = delayed_outbound.recv() => {
                    let message = match message {
                        Outbound::Voted { ballot, result } => FromController::Voted { ballot, result },
                        Outbound::Status(status) => {
                            FromController::RolloutUpdate(self.rollout_update(router, status))
                        }
                    };
                    if link.send(message).await.is_err() {
                        return;
                    }
                }
                _ = ticks.tick() => self.send_due_statuses(&mut schedule, &outbound),
            }
        }
    }

    /// Schedules the status of the rollout where it has changed or the update interval has passed, and sends the statuses
    /// that are due. A stalled controller does neither.
    fn send_due_statuses(
        &self,
        schedule: &mut StatusSchedule,
        outbound: &mpsc::UnboundedSender<Outbound>,
    ) {
        let now = self.context.tap.now();
        let faults = self.context.faults();
        if faults.stalled_controller {
            return;
        }
        let scenario = &self.context.scenario;
        let status = locked(&self.controller).state;
        if schedule.last != Some(status) || now - schedule.last_at >= scenario.rollout_interval {
            // A router that has just connected gets the status at once, and changes after a delay.
            let [least, most] = scenario.rollout_delay;
            let delay = match schedule.last {
                None => 0,
                Some(_) => rand::rng().random_range(least..most),
            };
            let at = now + delay + faults.controller_delay;
            schedule.due.push_back(DueStatus { at, status });
            schedule.last = Some(status);
            schedule.last_at = now;
        }
        while let Some(due) = schedule.due.pop_front_if(|due| due.at <= now) {
            let _ = outbound.send(Outbound::Status(due.status));
        }
    }

    fn receive(
        &self,
        router: Process,
        message: ToController,
        outbound: &mpsc::UnboundedSender<Outbound>,
    ) {
        let ToController::Vote {
            ballot,
            build,
            stage,
            choice,
        } = message
        else {
            return;
        };
        let vote = match choice {
            VoteChoice::Abstain => ControllerVote::None,
            VoteChoice::Promote => ControllerVote::On,
            VoteChoice::Hold => ControllerVote::Hold,
            VoteChoice::RollBack => ControllerVote::Back,
        };
        self.context.tap.record(Observation::Voted {
            from: router,
            build,
            stage,
            vote: format!("{vote:?}"),
        });
        if let Some(result) = self.count_vote(router.router, build, stage, vote) {
            let _ = outbound.send(Outbound::Voted { ballot, result });
        }
    }

    /// Counts a vote, and returns the answer to the router; `None` where a stalled controller does not answer.
    fn count_vote(
        &self,
        router: u32,
        build: u16,
        stage: u8,
        vote: ControllerVote,
    ) -> Option<VoteResult> {
        let now = self.context.tap.now();
        let faults = self.context.faults();
        if faults.refusing_controller {
            return Some(VoteResult::Refused);
        }
        if faults.stalled_controller && !rand::rng().random_bool(STALLED_COUNT_PROBABILITY) {
            return None;
        }
        let outcome = locked(&self.controller).vote(now, router, build, stage, vote);
        if faults.stalled_controller {
            return None;
        }
        Some(match outcome {
            VoteOutcome::Counted => VoteResult::Counted,
            VoteOutcome::Stale => VoteResult::Stale,
            VoteOutcome::RateLimited => VoteResult::RateLimited,
        })
    }

    /// Records an update of the rollout to a router, and builds its message.
    fn rollout_update(&self, router: Process, status: RolloutStatus) -> RolloutUpdate {
        self.context.tap.record(Observation::News {
            to: router,
            build: status.build,
            stage: status.stage,
            state: status.rollout,
            cap: status.cap,
        });
        let phase = match status.rollout {
            RolloutState::Canary => RolloutPhase::Canary,
            RolloutState::RollingBack => RolloutPhase::RollingBack,
            RolloutState::Released => RolloutPhase::Released,
            RolloutState::Withdrawn => RolloutPhase::Withdrawn,
        };
        RolloutUpdate {
            build: status.build,
            stage: status.stage,
            phase,
            exposure_cap: status.cap as f32,
            age_us: (self.context.tap.now() - status.since).max(0) as u64,
        }
    }
}
