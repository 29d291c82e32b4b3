//! Tests of the observed openings and of the decision about a wait for a place.

use std::time::Duration;

use job::locality::CapacityChange;
use job::locality::ChangeKind;
use job::locality::Decision;
use job::locality::Openings;
use job::locality::Place;
use job::locality::RackHistory;
use job::locality::pays_off;
use job::scheduler::JobKey;
use job::scheduler::TaskKey;
use model::Mono;
use model::Size;

fn change(at: u64, before: u64, after: u64, kind: ChangeKind) -> CapacityChange {
    CapacityChange {
        at: Mono(at),
        before: Size::new(before * 1_000, 0, 0),
        after: Size::new(after * 1_000, 0, 0),
        kind,
    }
}

/// Guards against a rate that counts room which others take, or pieces that are too small.
#[test]
fn openings_count_room_of_the_size_that_others_leave() {
    let mut history = RackHistory::new(Mono(0));
    let size = Size::new(4_000, 0, 0);
    history.record(change(1_000, 0, 2, ChangeKind::Freed));
    assert_eq!(history.openings(&size, Mono(1_000)).count, 0);
    history.record(change(1_500, 2, 8, ChangeKind::Freed));
    assert_eq!(history.openings(&size, Mono(1_500)).count, 2);
    history.record(change(2_000, 8, 4, ChangeKind::TakenByOther));
    assert_eq!(history.openings(&size, Mono(2_000)).count, 1);
    history.record(change(2_500, 4, 0, ChangeKind::TakenNear));
    // What was free before anything was observed does not count against later openings.
    history.record(change(2_600, 16, 0, ChangeKind::TakenByOther));
    let openings = history.openings(&size, Mono(4_000));
    let expected = Openings {
        count: 1,
        clusters: 1,
        span: Duration::from_secs(4),
    };
    assert_eq!(openings, expected);
    assert_eq!(
        history.openings(&size, Mono(20_000)).count,
        0,
        "too long ago"
    );
}

/// Guards against a history that grows with the load, and against a rate that is too low because its
/// beginning was dropped.
#[test]
fn a_history_is_bounded_and_its_rate_is_of_what_it_holds() {
    let mut history = RackHistory::new(Mono(0));
    for at in 1..=5_000 {
        history.record(change(at * 2, 0, 4, ChangeKind::Freed));
        history.record(change(at * 2, 4, 0, ChangeKind::TakenNear));
    }
    let openings = history.openings(&Size::new(4_000, 0, 0), Mono(10_000));
    assert!(openings.count <= 128, "{openings:?}");
    assert_eq!(openings.span, Duration::from_secs(1));
}

/// Guards against a wait that costs more than it gains, rests on too few openings or makes a task late.
#[test]
fn the_decision_weighs_gain_wait_certainty_and_the_time_that_is_left() {
    let second = Duration::from_secs(1);
    let base = Place {
        task: TaskKey {
            job: JobKey::default(),
            slot: 0,
        },
        run: second,
        gain: second,
        needed: 1,
        openings: Openings {
            count: 40,
            clusters: 40,
            span: 10 * second,
        },
        slack: 10 * second,
        waited: Duration::ZERO,
    };
    let openings = |count, clusters| Openings {
        count,
        clusters,
        span: 10 * second,
    };
    let wait = |place: Place| match pays_off(&place) {
        Decision::Start => None,
        Decision::Wait(at_most) => Some(at_most.as_millis()),
    };
    let cases = [
        ("room comes soon", base, Some(1_000)),
        (
            "part of the gain is spent",
            Place {
                waited: second / 2,
                ..base
            },
            Some(500),
        ),
        (
            "all of it is",
            Place {
                waited: second,
                ..base
            },
            None,
        ),
        ("others go first", Place { needed: 6, ..base }, None),
        (
            "nothing becomes free",
            Place {
                openings: openings(0, 0),
                ..base
            },
            None,
        ),
        (
            "it did once",
            Place {
                openings: openings(40, 1),
                ..base
            },
            None,
        ),
        (
            "room comes later than it gains",
            Place {
                openings: openings(8, 8),
                ..base
            },
            None,
        ),
        (
            "the wait ends before a start elsewhere may be late",
            Place {
                slack: 5 * second / 2,
                ..base
            },
            Some(500),
        ),
        (
            "elsewhere it would be late",
            Place {
                slack: second / 2,
                ..base
            },
            Some(500),
        ),
        (
            "it is late in any case",
            Place {
                slack: Duration::ZERO,
                ..base
            },
            None,
        ),
        (
            "the wait is riskier than a start elsewhere",
            Place {
                openings: openings(16, 16),
                slack: 19 * second / 10,
                ..base
            },
            None,
        ),
    ];
    for (name, place, expected) in cases {
        assert_eq!(wait(place), expected, "{name}");
    }
}
