//! The fake release controller: serves the controller model of the scenario, late, stalled or refusing as its faults say.

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

/// How often a router's connection is compared with the state of the rollout.
const STATE_INTERVAL: Duration = Duration::from_millis(10);
/// A stalled controller still counts this share of the votes, without an answer.
const STALLED_COUNT_SHARE: f64 = 0.5;

type ControllerLink = Framed<TcpStream, FrameCodec<ToController, FromController>>;

/// Serves one release controller to any number of routers.
pub(crate) struct ReleaseControllerServer {
    context: Arc<RunContext>,
    pub(crate) controller: Mutex<ReleaseController>,
}

/// What is on its way to a router.
enum Outbound {
    Voted {
        ballot: u64,
        result: VoteResult,
    },
    /// Becomes an update when it leaves: its age is counted then.
    State(RolloutStatus),
}

/// States that a router is to be told of, each at its time.
struct StateSchedule {
    last: Option<RolloutStatus>,
    last_at: Micros,
    due: VecDeque<DueState>,
}

struct DueState {
    at: Micros,
    state: RolloutStatus,
}

impl ReleaseControllerServer {
    pub(crate) fn new(context: Arc<RunContext>) -> Arc<Self> {
        let controller = ReleaseController::new(&context.scenario);
        Arc::new(ReleaseControllerServer {
            context,
            controller: Mutex::new(controller),
        })
    }

    /// Serves until the runtime ends.
    ///
    /// # Errors
    ///
    /// No port can be had.
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
        let mut schedule = StateSchedule {
            last: None,
            last_at: Micros::MIN / 2,
            due: VecDeque::new(),
        };
        let mut ticks = interval(STATE_INTERVAL);
        loop {
            // Messages are sent while this connection is served: their receivers are here.
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
                        Outbound::State(state) => {
                            FromController::RolloutUpdate(self.rollout_update(router, state))
                        }
                    };
                    if link.send(message).await.is_err() {
                        return;
                    }
                }
                _ = ticks.tick() => self.send_due_states(&mut schedule, &outbound),
            }
        }
    }

    /// Schedules the state where it has changed or is due again, and sends what is due. A stalled controller does
    /// neither.
    fn send_due_states(
        &self,
        schedule: &mut StateSchedule,
        outbound: &mpsc::UnboundedSender<Outbound>,
    ) {
        let now = self.context.tap.now();
        let faults = self.context.faults();
        if faults.stalled_controller {
            return;
        }
        let scenario = &self.context.scenario;
        let state = locked(&self.controller).state;
        if schedule.last != Some(state) || now - schedule.last_at >= scenario.rollout_interval {
            // A router that has just connected is told at once, changes some time after.
            let [least, most] = scenario.rollout_delay;
            let delay = match schedule.last {
                None => 0,
                Some(_) => rand::rng().random_range(least..most),
            };
            let at = now + delay + faults.controller_delay;
            schedule.due.push_back(DueState { at, state });
            schedule.last = Some(state);
            schedule.last_at = now;
        }
        while let Some(due) = schedule.due.pop_front_if(|due| due.at <= now) {
            let _ = outbound.send(Outbound::State(due.state));
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
        if let Some(result) = self.count(router.router, build, stage, vote) {
            let _ = outbound.send(Outbound::Voted { ballot, result });
        }
    }

    /// Counts a vote; `None` where it gets no answer.
    fn count(
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
        if faults.stalled_controller && !rand::rng().random_bool(STALLED_COUNT_SHARE) {
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

    /// Records and builds an update.
    fn rollout_update(&self, router: Process, state: RolloutStatus) -> RolloutUpdate {
        self.context.tap.record(Observation::News {
            to: router,
            build: state.build,
            stage: state.stage,
            state: state.rollout,
            cap: state.cap,
        });
        let phase = match state.rollout {
            RolloutState::Canary => RolloutPhase::Canary,
            RolloutState::RollingBack => RolloutPhase::RollingBack,
            RolloutState::Released => RolloutPhase::Released,
            RolloutState::Withdrawn => RolloutPhase::Withdrawn,
        };
        RolloutUpdate {
            build: state.build,
            stage: state.stage,
            phase,
            exposure_cap: state.cap as f32,
            age_us: (self.context.tap.now() - state.since).max(0) as u64,
        }
    }
}
