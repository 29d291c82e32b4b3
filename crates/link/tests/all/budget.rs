//! The accounting of connections and memory, and who is closed first.

use std::time::Duration;

use link::budget::Budget;
use link::budget::Phase;
use link::budget::Shortage;
use link::limits::LimitReason;
use link::limits::ServerLimits;
use model::Mono;

const LIMITS: ServerLimits = ServerLimits {
    max_connections: 100,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    max_header_bytes: 8 << 10,
};
const BASE: usize = 100;

const fn at(ms: u64) -> Mono {
    Mono(ms)
}

/// Guards against a count that drifts: a leak ends in refusals for good, the opposite in no limit.
#[test]
fn memory_is_released_exactly_whether_by_the_request_or_by_the_end_of_its_connection() {
    let mut budget = Budget::default();
    let port = budget.add_port(1_000);
    let other = budget.add_port(1_000);
    let first = budget.open(port, BASE, 100, at(0)).expect("room");
    let second = budget.open(port, BASE, 100, at(0)).expect("room");
    assert!(budget.reserve(first, 300));
    assert!(budget.reserve(second, 500));
    assert!(!budget.reserve(first, 1), "all memory is reserved");
    assert_eq!(budget.usage(port).memory, 1_000);
    budget.release(first, 300);
    budget.close(second);
    budget.release(second, 500);
    assert_eq!(budget.usage(port).memory, BASE);
    budget.close(first);
    budget.close(first);
    assert_eq!(budget.usage(port).memory, 0);
    assert_eq!(budget.usage(port).connections, 0);
    assert_eq!(budget.usage(port).peak_memory, 1_000);
    assert_eq!(budget.usage(other).peak_memory, 0);
}

/// Guards against a flood at one port that takes the memory of another one, such as the readiness port.
#[test]
fn a_port_whose_share_is_used_up_takes_nothing_from_the_others() {
    let mut budget = Budget::default();
    let flooded = budget.add_port(1_000);
    let other = budget.add_port(1_000);
    let flood = budget.open(flooded, BASE, 100, at(0)).expect("room");
    assert!(budget.reserve(flood, 900));
    assert_eq!(
        budget.open(flooded, BASE, 100, at(0)),
        Err(Shortage::Memory(BASE))
    );
    let id = budget.open(other, BASE, 100, at(0)).expect("room");
    assert!(budget.reserve(id, 900));
}

/// Guards against connections that leave no memory for the bodies of any of them.
#[test]
fn connections_as_such_take_half_of_the_memory_at_most() {
    let mut budget = Budget::default();
    let port = budget.add_port(1_000);
    for _ in 0..5 {
        budget.open(port, BASE, 100, at(0)).expect("room");
    }
    assert_eq!(
        budget.open(port, BASE, 100, at(0)),
        Err(Shortage::Connections)
    );
}

/// Guards against clients that stop just short of the end of a body: what they sent at first must not
/// make up for the stall.
#[test]
fn a_client_that_sent_much_and_stopped_is_slower_than_one_that_sends_at_a_steady_rate() {
    let mut budget = Budget::default();
    let port = budget.add_port(1_000_000);
    let stalled = budget.open(port, BASE, 100, at(0)).expect("room");
    let steady = budget.open(port, BASE, 100, at(0)).expect("room");
    for id in [stalled, steady] {
        budget.enter(id, Phase::Body, at(0));
        assert!(budget.reserve(id, 262_143));
    }
    budget.progress(stalled, 262_143, at(10));
    for ms in (10..2_000).step_by(10) {
        budget.progress(steady, 100, at(ms));
    }
    let chosen = budget.evict(port, Shortage::Memory(1), at(2_000));
    assert_eq!(chosen, [stalled]);
}

/// Guards against evictions beyond what is needed, and against those of clients that the server itself
/// keeps waiting.
#[test]
fn the_slowest_for_the_longest_time_are_closed_until_the_memory_suffices() {
    let mut budget = Budget::default();
    let port = budget.add_port(1_000_000);
    let ids: Vec<_> = (0..4_u64)
        .map(|number| {
            let began = at(number * 1_000);
            let id = budget.open(port, BASE, 100, began).expect("room");
            budget.enter(id, Phase::Body, began);
            assert!(budget.reserve(id, 900));
            id
        })
        .collect();
    budget.enter(ids[0], Phase::Handler, at(3_500));
    let now = at(4_000);
    assert_eq!(
        budget.evict(port, Shortage::Memory(1_500), now),
        [ids[1], ids[2]]
    );
    assert_eq!(
        budget.evict(port, Shortage::Memory(2_000), now),
        [],
        "what is being closed counts"
    );
    assert_eq!(
        budget.evict(port, Shortage::Memory(2_001), at(4_001)),
        [ids[3]]
    );
}

/// Guards against the loss of the idle connections of well-behaved clients while there are others that
/// have never sent a request.
#[test]
fn connections_that_have_served_a_request_are_closed_last() {
    let mut budget = Budget::default();
    let port = budget.add_port(1_000_000);
    let served = budget.open(port, BASE, 2, at(0)).expect("room");
    budget.enter(served, Phase::Response, at(10));
    budget.enter(served, Phase::Idle, at(20));
    let silent = budget.open(port, BASE, 2, at(5_000)).expect("room");
    assert_eq!(
        budget.open(port, BASE, 2, at(5_050)),
        Err(Shortage::Connections)
    );
    assert_eq!(
        budget.evict(port, Shortage::Connections, at(5_050)),
        [served],
        "a new connection has time for its request"
    );
    assert_eq!(
        budget.evict(port, Shortage::Connections, at(6_000)),
        [silent]
    );
    let mut budget = Budget::default();
    let port = budget.add_port(1_000_000);
    let served = budget.open(port, BASE, 2, at(0)).expect("room");
    budget.enter(served, Phase::Response, at(10));
    budget.enter(served, Phase::Idle, at(20));
    let silent = budget.open(port, BASE, 2, at(5_000)).expect("room");
    assert_eq!(
        budget.evict(port, Shortage::Connections, at(6_000)),
        [silent]
    );
}

/// Guards against a phase without a limit on time, and against one that ends early: each limit is brought
/// about by itself, and just before it nothing is closed.
#[test]
fn each_phase_has_its_limit() {
    let cases = [
        (Phase::Idle, 15_000, Some(LimitReason::Idle)),
        (Phase::Head, 3_000, Some(LimitReason::HeadTimeout)),
        (Phase::Body, 5_000, Some(LimitReason::BodySlow)),
        (Phase::Response, 5_000, Some(LimitReason::ResponseSlow)),
        (Phase::Handler, 1_000_000, None),
    ];
    for (phase, limit_ms, reason) in cases {
        let mut budget = Budget::default();
        let port = budget.add_port(1_000_000);
        let id = budget.open(port, BASE, 2, at(0)).expect("room");
        budget.enter(id, phase, at(500));
        assert_eq!(budget.overdue(port, &LIMITS, at(500 + limit_ms)), []);
        let expected: Vec<_> = reason.into_iter().map(|reason| (id, reason)).collect();
        let overdue = budget.overdue(port, &LIMITS, at(501 + limit_ms));
        assert_eq!(overdue, expected, "{phase:?}");
    }
}

/// Guards against a body that keeps the minimum rate and takes for ever.
#[test]
fn a_body_at_the_minimum_rate_ends_at_the_total_time() {
    let mut budget = Budget::default();
    let port = budget.add_port(1_000_000);
    let id = budget.open(port, BASE, 2, at(0)).expect("room");
    budget.enter(id, Phase::Body, at(0));
    for second in 1..=15 {
        budget.progress(id, 5_000, at(second * 1_000));
        assert_eq!(budget.overdue(port, &LIMITS, at(second * 1_000)), []);
    }
    budget.progress(id, 5_000, at(15_001));
    assert_eq!(
        budget.overdue(port, &LIMITS, at(15_001)),
        [(id, LimitReason::BodyTimeout)]
    );
}
