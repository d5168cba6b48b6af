//! The engine alone: ids, late answers, peers that vanish, drains of what has not left, recordings.

mod common;

use common::*;
use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::Micros;
use spokeflow_engine::{Input, Recording, RecordingError, TransportFailure};
use spokeflow_proto::{
    FromController, FromHost, FromList, Line, LinePhase, News, NewsStanding, ToClient,
};

const SAFE: u16 = 0;
const KEYED: u16 = 1;
const ONCE: u16 = 2;

#[test]
fn an_acked_delivery_is_the_one_final_answer() {
    let mut rig = Rig::new(1, 0);
    rig.list(&[1, 2], 7);
    rig.command(10, 5, ONCE, 1);
    let (host, delivery) = rig.delivered();
    rig.host(
        host,
        FromHost::Acked {
            delivery,
            body: Default::default(),
        },
    );
    assert!(matches!(
        rig.answers(10)[..],
        [ToClient::Acked {
            id: 5,
            build: 7,
            ..
        }]
    ));
    // Said twice, or after the end, it is only counted.
    rig.host(
        host,
        FromHost::Acked {
            delivery,
            body: Default::default(),
        },
    );
    rig.pass(5 * SECOND);
    assert_eq!(rig.answers(10).len(), 1);
    assert_eq!(
        (rig.engine.counts().late, rig.engine.waiting_commands()),
        (1, 0)
    );
}

#[test]
fn a_break_after_the_frame_left_is_no_proof_and_one_before_is() {
    let mut rig = Rig::new(2, 0);
    rig.list(&[1, 2], 7);
    rig.command(10, 1, ONCE, 1);
    let (host, delivery) = rig.delivered();
    rig.input(Input::DeliveryFailed {
        host,
        delivery,
        failure: TransportFailure::Reset,
    });
    assert!(
        matches!(rig.answers(10)[..], [ToClient::Failed { id: 1 }]),
        "may have run: {:?}",
        rig.answers(10)
    );
    assert_eq!(rig.links.sent.len(), 0);

    // A way that the router has dropped for its silence proves as little.
    rig.command(10, 3, ONCE, 1);
    let (host, delivery) = rig.delivered();
    rig.input(Input::DeliveryFailed {
        host,
        delivery,
        failure: TransportFailure::Unresponsive,
    });
    assert!(matches!(rig.answers(10)[1..], [ToClient::Failed { id: 3 }]));
    assert_eq!(rig.links.sent.len(), 0);

    rig.command(10, 2, ONCE, 1);
    let (host, delivery) = rig.delivered();
    rig.input(Input::DeliveryFailed {
        host,
        delivery,
        failure: TransportFailure::NotConnected,
    });
    let (second, delivery) = rig.delivered();
    assert_ne!(host, second);
    rig.host(
        second,
        FromHost::Acked {
            delivery,
            body: Default::default(),
        },
    );
    assert!(matches!(
        rig.answers(10)[2..],
        [ToClient::Acked { id: 2, .. }]
    ));
}

#[test]
fn silence_ends_in_a_failure_before_the_client_gives_up() {
    let mut rig = Rig::new(3, 0);
    rig.list(&[1, 2], 7);
    rig.command(10, 1, ONCE, 1);
    let sent_at = rig.now;
    rig.delivered();
    rig.pass(3 * SECOND);
    let (at, answer) = rig
        .links
        .answers
        .iter()
        .find(|(_, conn, _)| *conn == 10)
        .map(|a| (a.0, &a.2))
        .unwrap();
    assert!(matches!(answer, ToClient::Failed { id: 1 }));
    assert!(
        at - sent_at <= 2 * SECOND - MARGIN,
        "answered after {}",
        at - sent_at
    );
    assert_eq!(rig.engine.counts().overdue, 0);
}

#[test]
fn a_client_that_vanishes_is_owed_nothing_and_its_numbers_are_free_again() {
    let mut rig = Rig::new(4, 0);
    rig.list(&[1, 2], 7);
    rig.command(10, 1, SAFE, 1);
    let (host, delivery) = rig.delivered();
    rig.input(Input::ClientDisconnected { conn: 10 });
    rig.host(
        host,
        FromHost::Acked {
            delivery,
            body: Default::default(),
        },
    );
    assert!(rig.answers(10).is_empty());
    rig.command(10, 1, SAFE, 1);
    let (host, delivery) = rig.delivered();
    rig.host(
        host,
        FromHost::Acked {
            delivery,
            body: Default::default(),
        },
    );
    assert_eq!(rig.answers(10).len(), 1);
}

#[test]
fn a_number_in_use_is_refused_and_the_first_command_is_not_touched() {
    let mut rig = Rig::new(5, 0);
    rig.list(&[1], 7);
    rig.command(10, 1, SAFE, 1);
    rig.command(11, 1, SAFE, 2);
    rig.command(10, 1, SAFE, 3);
    assert!(matches!(&rig.answers(10)[..], [ToClient::Refused(r)] if r.code == 9));
    assert!(
        rig.answers(11).is_empty(),
        "the same number on another connection is another command"
    );
    assert_eq!(rig.engine.waiting_commands(), 2);
}

#[test]
fn ids_of_the_module_come_round_without_meeting_one_that_is_held() {
    let mut rig = Rig::new(6, 0);
    rig.list(&[1, 2, 3], 7);
    rig.engine.skip_ids_to(u32::MAX - 1);
    for id in 0..4 {
        rig.command(10, id, SAFE, 0);
    }
    rig.engine.skip_ids_to(u32::MAX - 1);
    rig.command(10, 9, SAFE, 0);
    let sent: Vec<_> = std::mem::take(&mut rig.links.sent);
    assert_eq!(sent.len(), 5);
    for (host, delivery, _) in sent {
        rig.host(
            host,
            FromHost::Acked {
                delivery,
                body: Default::default(),
            },
        );
    }
    let mut ids: Vec<u64> = rig.answers(10).iter().map(id_of).collect();
    ids.sort_unstable();
    assert_eq!(ids, [0, 1, 2, 3, 9]);
}

#[test]
fn a_host_that_does_not_read_is_like_a_full_one_and_the_command_goes_elsewhere() {
    let mut rig = Rig::new(7, 0);
    rig.list(&[1, 2], 7);
    rig.links.stuffed = Some(1);
    for id in 0..6 {
        rig.command(10, id, ONCE, 0);
    }
    assert_eq!(rig.links.sent.len(), 6);
    assert!(rig.links.sent.iter().all(|s| s.0 == 2));
    assert!(rig.answers(10).is_empty());
}

#[test]
fn a_draining_host_is_closed_and_what_had_not_left_goes_elsewhere() {
    let mut rig = Rig::new(8, 0);
    rig.list(&[1, 2], 7);
    rig.command(10, 1, ONCE, 1);
    let (host, delivery) = rig.delivered();
    rig.change(host, 7, LinePhase::Draining, 1);
    assert_eq!(rig.links.closed, [(host, false)]);
    rig.input(Input::DeliveryFailed {
        host,
        delivery,
        failure: TransportFailure::NotSent,
    });
    let (second, _) = rig.delivered();
    assert_ne!(host, second);
}

#[test]
fn a_host_that_has_restarted_is_cold_by_its_own_word_before_the_list_says_so() {
    let mut rig = Rig::new(9, 0);
    rig.list(&[1], 7);
    rig.warm_up();
    rig.host(
        1,
        FromHost::Welcome {
            host: 1,
            build: 7,
            incarnation: 99,
            up_us: 1000,
        },
    );
    for id in 0..40 {
        rig.command(10, id, SAFE, 0);
    }
    let cold = rig.links.sent.len();
    assert!(
        cold < 10,
        "{cold} commands at once for a host that started a millisecond ago"
    );
    // The list's older word does not make it warm again.
    rig.change(1, 7, LinePhase::Ready, 1);
    assert_eq!(rig.links.sent.len(), cold);
}

#[test]
fn what_is_too_short_unknown_or_too_much_is_nacked_at_once() {
    let mut rig = Rig::new(10, 0);
    rig.list(&[1], 7);
    rig.command(10, 1, 77, 1);
    rig.command_within(10, 2, ONCE, 1, MARGIN);
    rig.input(Input::Close);
    rig.command(10, 3, ONCE, 1);
    assert!(matches!(
        rig.answers(10)[..],
        [
            ToClient::Nacked { id: 1, .. },
            ToClient::Nacked { id: 2, .. },
            ToClient::Nacked { id: 3, .. }
        ]
    ));
    assert!(rig.links.sent.is_empty());
}

#[test]
fn a_vote_without_an_answer_is_cast_again() {
    let mut rig = Rig::new(11, 0);
    rig.list(&[1, 2], 7);
    rig.warm_up();
    rig.change(3, 8, LinePhase::Ready, 2);
    let news = News {
        build: 8,
        stage: 0,
        standing: NewsStanding::OnTrial,
        cap: 1.0,
        age_us: 0,
    };
    rig.input(Input::FromController(FromController::News(news)));
    rig.answer_all(4 * SECOND);
    let votes = rig.links.votes.len();
    assert!(votes >= 1, "a quiet build gets a vote to go on");
    rig.answer_all(4 * SECOND);
    assert!(rig.links.votes.len() > votes);
}

#[test]
fn the_same_recording_gives_the_same_outputs_byte_for_byte() {
    let mut rig = Rig::new(12, 77);
    rig.list(&[1, 2, 3], 7);
    for id in 0..300 {
        rig.command(10 + id % 3, id, (id % 3) as u16, id % 17);
        rig.answer_some();
        if id == 100 {
            rig.change(4, 8, LinePhase::Ready, 5);
        }
        rig.pass(7_000);
    }
    let (seed, start, inputs, fault) = Recording::read(&rig.recording);
    assert_eq!((seed, fault), (77, None));
    let replayed = Rig::replay(seed, start, &inputs);
    assert!(rig.links.text.len() > 10_000);
    assert_eq!(rig.links.text, replayed);
}

#[test]
fn a_torn_recording_is_true_up_to_a_stated_point() {
    let mut bytes = Recording::head(1, 5);
    let first = Recording::entry(6, &Input::Timer);
    bytes.extend(&first);
    bytes.extend(Recording::entry(7, &Input::Close));
    let whole = 24 + first.len();
    for cut in whole + 1..bytes.len() {
        let (_, _, inputs, fault) = Recording::read(&bytes[..cut]);
        assert_eq!(inputs, [(6, Input::Timer)]);
        assert_eq!(
            fault,
            Some(RecordingError::Torn {
                whole: 1,
                at: whole
            })
        );
    }
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert_eq!(
        Recording::read(&bytes).3,
        Some(RecordingError::Torn {
            whole: 1,
            at: whole
        })
    );
    assert_eq!(
        Recording::read(b"something else entirely, long enough").3,
        Some(RecordingError::NotARecording)
    );
}

#[test]
fn any_order_of_inputs_keeps_one_answer_for_each_command() {
    // Seeded: hosts answer, break, stay silent, restart and drain; clients come and go.
    for seed in 0..60 {
        let mut rig = Rig::new(seed, seed);
        rig.list(&[1, 2, 3, 4], 7);
        let mut id = 0;
        for _ in 0..400 {
            match rig.draw(9) {
                0..=3 => {
                    id += 1;
                    let (op, key) = (rig.draw(3) as u16, rig.draw(9));
                    let left = MARGIN + 1000 * (1 + rig.draw(1500) as Micros);
                    rig.command_within(10 + id % 2, id, op, key, left);
                }
                4 | 5 => rig.end_one(),
                6 => {
                    let host = 1 + rig.draw(4) as u32;
                    let phase = [LinePhase::Ready, LinePhase::Draining, LinePhase::Gone]
                        [rig.draw(3) as usize];
                    let (build, incarnation) = (7 + rig.draw(2) as u16, rig.draw(50));
                    rig.change(host, build, phase, incarnation);
                }
                _ => {
                    let wait = rig.draw(60_000) as Micros;
                    rig.pass(wait);
                }
            }
        }
        rig.pass(3 * SECOND);
        rig.links.one_answer_each(id);
        assert_eq!(
            (rig.engine.waiting_commands(), rig.engine.counts().overdue),
            (0, 0),
            "seed {seed}"
        );
    }
}

const OLD: u16 = 7;
const NEW: u16 = 8;

/// Two hosts of the build that stands and two of one on trial, whose cap is all.
fn on_trial(rig: &mut Rig) {
    rig.list(&[1, 2], OLD);
    rig.warm_up();
    rig.change(3, NEW, LinePhase::Ready, 1);
    rig.change(4, NEW, LinePhase::Ready, 1);
    let news = News {
        build: NEW,
        stage: 1,
        standing: NewsStanding::OnTrial,
        cap: 0.4,
        age_us: 0,
    };
    rig.input(Input::FromController(FromController::News(news)));
}

fn agreed() -> EffectiveConfig {
    EffectiveConfig::from(&terms().service)
}

fn grant(rig: &mut Rig, lasts: Micros, change: impl FnOnce(&mut EffectiveConfig)) {
    let mut terms = agreed();
    change(&mut terms);
    let until = rig.now + lasts;
    rig.input(Input::Lease {
        until,
        config: Box::new(terms),
    });
}

/// Deliveries of so long a time of steady commands, each answered: at the build that stands, at the one on trial.
fn shares(rig: &mut Rig, span: Micros) -> [usize; 2] {
    let before = rig.links.hosts.len();
    rig.answer_all(span);
    let new = rig.links.hosts[before..].iter().filter(|h| **h > 2).count();
    [rig.links.hosts.len() - before - new, new]
}

#[test]
fn without_a_lease_nothing_goes_to_a_build_on_trial_and_commands_are_served() {
    let mut rig = Rig::new(5, 0);
    grant(&mut rig, 0, |_| {});
    on_trial(&mut rig);
    let [old, new] = shares(&mut rig, 4 * SECOND);
    assert!(old > 150 && new == 0, "before the first lease: {old} {new}");
    grant(&mut rig, 8 * SECOND, |_| {});
    let [_, new] = shares(&mut rig, 7 * SECOND);
    assert!(new > 20, "with one: {new}");
    rig.pass(SECOND);
    rig.links.sent.clear();
    let [old, new] = shares(&mut rig, 4 * SECOND);
    assert!(old > 150 && new == 0, "after it: {old} {new}");
    // Renewed, it goes on where it was.
    grant(&mut rig, 8 * SECOND, |_| {});
    let [_, new] = shares(&mut rig, 6 * SECOND);
    assert!(new > 20, "with another: {new}");
}

/// A process that was stopped acts on what it reads first, before any of its timers.
#[test]
fn a_lease_that_ran_out_in_a_sleep_is_seen_before_the_next_act() {
    let mut rig = Rig::new(5, 0);
    grant(&mut rig, 60 * SECOND, |_| {});
    on_trial(&mut rig);
    shares(&mut rig, 8 * SECOND);
    rig.now += 60 * SECOND;
    for id in 0..200 {
        rig.command(5, id, SAFE, 0);
        assert!(
            rig.links.sent.iter().all(|s| s.0 <= 2),
            "a command went to the trial on a lease that was over"
        );
        rig.answer_some();
    }
}

#[test]
fn what_is_queued_for_a_build_on_trial_leaves_within_the_lease_or_not() {
    let mut rig = Rig::new(5, 0);
    grant(&mut rig, 7 * SECOND, |_| {});
    on_trial(&mut rig);
    let until = rig.now + 8 * SECOND;
    grant(&mut rig, 8 * SECOND, |_| {});
    shares(&mut rig, 7 * SECOND);
    let by = |new: bool| {
        rig.links
            .leave_by
            .iter()
            .filter(move |l| (l.0 > 2) == new)
            .collect::<Vec<_>>()
    };
    let (new, old) = (by(true), by(false));
    assert!(
        !new.is_empty() && new.iter().all(|l| l.1 <= until),
        "{new:?}"
    );
    assert!(
        old.iter().any(|l| l.1 > until),
        "the build that stands needs no lease"
    );
}

#[test]
fn an_agreed_cap_holds_under_a_higher_one_of_the_desk_and_counts_on_through_a_change() {
    let mut rig = Rig::new(5, 0);
    grant(&mut rig, 60 * SECOND, |_| {});
    on_trial(&mut rig);
    shares(&mut rig, 10 * SECOND);
    grant(&mut rig, 60 * SECOND, |t| {
        (t.stage_caps, t.exposure_allowance) = (vec![0.05; 3], 0.0)
    });
    let [old, new] = shares(&mut rig, 4 * SECOND);
    assert!(
        new as f64 <= 0.05 * (old + new) as f64 + 1.0,
        "at once, with what was sent before: {old} {new}"
    );
    let [old, new] = shares(&mut rig, 20 * SECOND);
    assert!(
        new > 10 && new as f64 <= 0.05 * (old + new) as f64 + 1.0,
        "{old} {new}"
    );
}

/// The told memory of 0.8 s counts from the first delivery that may have run, wherever the repeat is held up.
#[test]
fn a_repeat_has_to_leave_while_hosts_remember_the_first() {
    let mut rig = Rig::new(5, 0);
    rig.list(&[1, 2, 3], 7);
    rig.command(10, 1, KEYED, 0);
    let (host, delivery) = rig.delivered();
    rig.pass(100_000);
    rig.input(Input::DeliveryFailed {
        host,
        delivery,
        failure: TransportFailure::NotConnected,
    });
    let (host, delivery) = rig.delivered();
    let first = rig.now;
    rig.pass(300_000);
    rig.input(Input::DeliveryFailed {
        host,
        delivery,
        failure: TransportFailure::Reset,
    });
    rig.delivered();
    let by: Vec<Micros> = rig.links.leave_by.iter().map(|l| l.1).collect();
    assert_eq!(by.len(), 3);
    assert!(
        by[1] > first + SECOND,
        "one that never ran is no first: {by:?}"
    );
    assert_eq!(by[2], first + 800_000);
}

#[test]
fn what_has_not_left_is_called_back_once_its_command_is_answered_or_left() {
    let mut rig = Rig::new(5, 0);
    rig.list(&[1, 2], 7);
    rig.command(10, 1, SAFE, 0);
    let (host, delivery) = rig.delivered();
    rig.input(Input::ClientDisconnected { conn: 10 });
    assert!(rig.links.recalled.contains(&(host, Some(delivery))));
    rig.command(11, 2, ONCE, 0);
    let (host, delivery) = rig.delivered();
    rig.input(Input::AbortAll);
    // It may have run: no nack.
    assert!(matches!(rig.answers(11)[..], [ToClient::Failed { id: 2 }]));
    assert!(rig.links.recalled.contains(&(host, Some(delivery))));
    assert_eq!(rig.engine.waiting_commands(), 0);
    rig.input(Input::AbortAll);
    assert_eq!(rig.answers(11).len(), 1);
}

/// Called back: hosts of the build whose cap fell, and no others.
#[test]
fn a_cap_that_falls_calls_back_what_waits_for_that_build() {
    let mut rig = Rig::new(5, 0);
    on_trial(&mut rig);
    let news = |build, standing, cap| {
        Input::FromController(FromController::News(News {
            build,
            stage: 0,
            standing,
            cap,
            age_us: 0,
        }))
    };
    rig.input(news(8, NewsStanding::OnTrial, 0.1));
    rig.input(news(8, NewsStanding::OnTrial, 0.4));
    rig.links.recalled.clear();
    rig.input(news(8, NewsStanding::OnTrial, 0.4));
    rig.input(news(8, NewsStanding::Released, 1.0));
    assert!(rig.links.recalled.is_empty(), "{:?}", rig.links.recalled);
    rig.input(news(8, NewsStanding::GoingBack, 0.0));
    let mut hosts: Vec<_> = rig.links.recalled.drain(..).collect();
    hosts.sort_unstable();
    assert!(
        !hosts.is_empty() && hosts.iter().all(|h| h.0 > 2 && h.1.is_none()),
        "{hosts:?}"
    );
}

fn lines(hosts: &[(u32, LinePhase, u64)]) -> Vec<Line> {
    let line = |h: &(u32, LinePhase, u64)| Line {
        host: h.0,
        address: format!("127.0.0.1:{}", h.0),
        build: Some(OLD),
        cell: 0,
        zone: 0,
        phase: h.1,
        incarnation: h.2,
        up_us: None,
    };
    hosts.iter().map(line).collect()
}

fn hosts_used(rig: &mut Rig) -> Vec<u32> {
    let before = rig.links.hosts.len();
    rig.answer_all(2 * SECOND);
    let mut used = rig.links.hosts[before..].to_vec();
    used.sort_unstable();
    used.dedup();
    used
}

#[test]
fn beside_an_agreed_list_the_own_one_only_takes_hosts_away() {
    use LinePhase::{Draining, Gone, Ready};
    let mut rig = Rig::new(6, 0);
    rig.input(Input::ReplicatedList {
        complete: false,
        hosts: Vec::new(),
    });
    let own = |rig: &mut Rig, whole: bool, hosts: &[(u32, LinePhase, u64)]| {
        let (version, lines) = (1, lines(hosts));
        rig.input(Input::FromList(match whole {
            true => FromList::Whole { version, lines },
            false => FromList::Changes { version, lines },
        }));
    };
    own(&mut rig, true, &[(1, Ready, 1), (9, Ready, 1)]);
    let news = News {
        build: OLD,
        stage: 2,
        standing: NewsStanding::Released,
        cap: 1.0,
        age_us: 0,
    };
    rig.input(Input::FromController(FromController::News(news)));
    assert!(hosts_used(&mut rig).is_empty(), "the own list adds none");
    let all = lines(&[(1, Ready, 1), (2, Ready, 1), (3, Ready, 1)]);
    rig.input(Input::ReplicatedList {
        complete: true,
        hosts: all,
    });
    assert_eq!(hosts_used(&mut rig), [1, 2, 3]);
    own(&mut rig, false, &[(2, Draining, 1), (3, Gone, 1)]);
    assert_eq!(
        hosts_used(&mut rig),
        [1],
        "at once, though the agreed list has them still"
    );
    // The agreed list is behind: said again for whatever reason, the same processes stay away.
    rig.input(Input::ReplicatedList {
        complete: false,
        hosts: lines(&[(2, Ready, 1)]),
    });
    assert_eq!(hosts_used(&mut rig), [1]);
    rig.input(Input::ReplicatedList {
        complete: false,
        hosts: lines(&[(2, Ready, 2)]),
    });
    assert_eq!(hosts_used(&mut rig), [1, 2], "another process of it");
    own(&mut rig, false, &[(3, Ready, 1)]);
    assert_eq!(
        hosts_used(&mut rig),
        [1, 2, 3],
        "given back to the agreed list"
    );
    own(&mut rig, true, &[(1, Ready, 1), (3, Ready, 1)]);
    assert_eq!(
        hosts_used(&mut rig),
        [1, 3],
        "a whole list that lacks one says that it is gone"
    );
}
