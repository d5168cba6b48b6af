//! Outlier detection: failing hosts are ejected, and hosts that only seem to fail are not.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn an_unresponsive_host_is_soon_ejected() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let respond = |host: HostId, _, _| {
        Response::new(
            AttemptOutcome::Acked,
            if host.0 == 2 { 90 * SECOND } else { 50 * MS },
        )
    };
    serve(&mut router, &mut checker, 2 * SECOND, respond);
    let from = checker.now;
    serve(&mut router, &mut checker, SECOND, respond);
    let sent = checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .filter(|delivery| delivery.host.0 == 2 && delivery.at >= from)
        .count();
    assert!(
        sent <= 1,
        "{sent} deliveries to the unresponsive host, expected at most 1"
    );
}

/// Guards against the ejection of most hosts at once, which overloads the rest, where the network
/// resets a tenth of the connections.
#[test]
fn sporadic_connection_resets_eject_no_host() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 10 * SECOND, |_, _, number| {
        if number.wrapping_mul(0x9e37_79b9) >> 16 & 1023 < 130 {
            Response::new(AttemptOutcome::Reset, 20 * MS)
        } else {
            PROMPT_ACK
        }
    });
    let mut sent = [0_u32; 10];
    for delivery in checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .filter(|delivery| delivery.at > checker.now - 5 * SECOND)
    {
        sent[delivery.host.0 as usize] += 1;
    }
    let least = sent[..6].iter().min().unwrap();
    let most = sent[..6].iter().max().unwrap();
    assert!(
        most < &(2 * least),
        "uneven deliveries to hosts 0 to 5: {sent:?}"
    );
}

/// Guards against a host that starts to fail and answers errors fast: it has the least load and
/// would attract a large part of the deliveries, such as a sixth of all.
#[test]
fn a_host_that_starts_to_answer_every_command_with_an_error_is_ejected() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let from = checker.now;
    serve(&mut router, &mut checker, 5 * SECOND, |host, _, _| {
        if host.0 == 3 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    });
    let sent = checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .filter(|delivery| delivery.host.0 == 3 && delivery.at >= from)
        .count();
    assert!(
        sent < 20,
        "{sent} deliveries to the failing host, expected fewer than 20"
    );
}
