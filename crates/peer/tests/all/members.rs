use model::Mono;
use model::id::DocVersion;
use peer::members::MEMBER_TIMEOUT;

use crate::support::heartbeat;
use crate::support::members;
use crate::support::name;
use crate::support::profile;

#[test]
fn a_daemon_is_alive_only_while_its_counter_advances() {
    let mut members = members(0, 2);
    let received_at = Mono(1000);
    assert!(members.observe(&heartbeat(1, 1, 5), received_at));
    let expired_at = received_at.after(MEMBER_TIMEOUT);
    assert!(members.is_alive(&name(1), Mono(expired_at.0 - 1)));
    assert!(
        !members.observe(&heartbeat(1, 1, 5), Mono(expired_at.0 - 1)),
        "the same counter is not an advance"
    );
    assert!(!members.is_alive(&name(1), expired_at));
}

#[test]
fn late_and_repeated_heartbeats_are_ignored() {
    struct Case {
        name: &'static str,
        incarnation: u64,
        count: u64,
        advances: bool,
    }
    let cases = [
        Case {
            name: "repeated",
            incarnation: 2,
            count: 7,
            advances: false,
        },
        Case {
            name: "late",
            incarnation: 2,
            count: 6,
            advances: false,
        },
        Case {
            name: "of an earlier incarnation",
            incarnation: 1,
            count: 99,
            advances: false,
        },
        Case {
            name: "next",
            incarnation: 2,
            count: 8,
            advances: true,
        },
        Case {
            name: "of a later incarnation",
            incarnation: 3,
            count: 1,
            advances: true,
        },
    ];
    for case in cases {
        let mut members = members(0, 2);
        members.observe(&heartbeat(1, 2, 7), Mono(10));
        let advances = members.observe(&heartbeat(1, case.incarnation, case.count), Mono(20));
        assert_eq!(advances, case.advances, "{}", case.name);
    }
}

#[test]
fn a_table_row_does_not_prove_that_a_daemon_is_alive() {
    let mut members = members(0, 2);
    members.observe(&heartbeat(1, 1, 5), Mono(0));
    let expired_at = Mono(0).after(MEMBER_TIMEOUT);
    members.set_profile(&name(1), profile(1), expired_at);
    assert!(!members.is_alive(&name(1), expired_at));
}

#[test]
fn heartbeats_from_peers_for_the_own_daemon_are_ignored() {
    let mut members = members(0, 2);
    members.tick(DocVersion(1), false, Mono(0));
    assert!(
        !members.observe(&heartbeat(0, 9, 9), Mono(0)),
        "a heartbeat of the own daemon from a peer"
    );
    assert!(members.is_alive(&name(0), Mono(1_000_000)));
}
