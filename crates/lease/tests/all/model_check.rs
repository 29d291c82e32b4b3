use lease::spec::BrokenRule;
use lease::spec::Budget;
use lease::spec::Fault;
use lease::spec::Report;
use lease::spec::Step;
use lease::spec::explore;

const NONE: Budget = Budget {
    total: 0,
    network: 0,
    takeovers: 0,
    crashes: 0,
    pauses: 0,
    outages: 0,
    partitions: 0,
    restarts: 0,
    deaths: 0,
    evictions: 0,
    cancellations: 0,
    waits: 0,
};
const ANY: Budget = Budget {
    total: 1,
    network: 1,
    takeovers: 1,
    crashes: 1,
    pauses: 1,
    outages: 1,
    partitions: 1,
    restarts: 1,
    deaths: 1,
    evictions: 1,
    cancellations: 1,
    waits: 2,
};
/// One late, lost or repeated call.
const NETWORK: Budget = Budget {
    total: 1,
    network: 1,
    ..NONE
};

/// Both tasks are granted and running, `crest` on worker 0.
const RUNNING: [Step; 4] = [
    Step::Commit(0),
    Step::Commit(0),
    Step::Message(0, 0),
    Step::Message(0, 1),
];

/// Daemon 0 and worker 0 are partitioned from daemon 1, worker 1 and the store; daemon 1 claims the
/// shard.
const PARTITION: [Step; 4] = [
    Step::LoseStore(0),
    Step::Partition(0, 1),
    Step::Partition(1, 0),
    Step::TakeOver(1),
];

fn check(name: &str, steps: &[Step], budget: Budget, broken: BrokenRule) -> Report {
    let report = explore(steps, budget, broken);
    println!(
        "{name}: {} states, depth {}, {} final states, {} simulated, {} stuck",
        report.states, report.depth, report.complete_states, report.simulated, report.stuck
    );
    if let Some((rule, steps)) = &report.violation {
        println!("  {rule}: {steps:?}");
    } else if let Some(steps) = &report.path_to_stuck {
        println!("  no final state after: {steps:?}");
    }
    report
}

fn assert_holds(name: &str, steps: &[Step], budget: Budget) {
    let report = check(name, steps, budget, BrokenRule::None);
    assert_eq!(report.violation, None);
    assert_eq!(report.stuck, 0);
    assert!(report.complete_states > 0);
}

/// Asserts that a broken rule is detected and that the same scenario is sound without it.
fn assert_detected(steps: &[Step], budget: Budget, broken: BrokenRule, rule: &str) {
    let report = check(&format!("{broken:?}"), steps, budget, broken);
    let (violated, _) = report.violation.expect("the broken rule is not detected");
    assert!(violated.contains(rule), "{violated}");
    assert_holds("  the same, unbroken", steps, budget);
}

#[test]
fn any_two_disturbances_of_one_owner() {
    let budget = Budget {
        total: 2,
        network: 2,
        takeovers: 0,
        ..ANY
    };
    assert_holds("any two, one owner", &[], budget);
}

#[test]
fn any_disturbance_with_a_takeover() {
    assert_holds("any one, takeover", &[], ANY);
}

#[test]
fn any_disturbance_of_running_tasks_with_a_takeover() {
    assert_holds("any one, tasks run", &RUNNING, Budget { waits: 3, ..ANY });
}

#[test]
fn any_two_disturbances_of_running_tasks_with_a_takeover_at_once() {
    let budget = Budget {
        total: 2,
        waits: 0,
        ..ANY
    };
    assert_holds("any two, takeover", &RUNNING, budget);
}

#[test]
fn a_takeover_from_an_owner_that_keeps_acting() {
    let steps = [RUNNING.as_slice(), PARTITION.as_slice()].concat();
    assert_holds("owner keeps acting", &steps, Budget { waits: 6, ..NONE });
}

#[test]
fn a_permanent_worker_failure_while_tasks_start() {
    let budget = Budget {
        total: 2,
        deaths: 1,
        waits: 4,
        ..NETWORK
    };
    assert_holds("worker fails", &[], budget);
}

#[test]
fn a_paused_owner_that_acts_after_its_lease() {
    let paused = [Step::Evict(0, "crest"), Step::Pause(0), Step::TakeOver(1)];
    let steps = [RUNNING.as_slice(), paused.as_slice()].concat();
    assert_holds(
        "paused owner",
        &steps,
        Budget {
            waits: 3,
            ..NETWORK
        },
    );
}

#[test]
fn a_crash_in_the_middle_of_an_eviction() {
    let crash = [Step::Evict(0, "crest"), Step::Crash(0), Step::TakeOver(1)];
    let steps = [RUNNING.as_slice(), crash.as_slice()].concat();
    assert_holds(
        "crash while evicting",
        &steps,
        Budget {
            waits: 2,
            ..NETWORK
        },
    );
}

#[test]
fn a_shard_that_is_released_while_tasks_start() {
    let steps = [
        Step::Commit(0),
        Step::Commit(0),
        Step::ReleaseShard(0),
        Step::Partition(1, 0),
    ];
    let budget = Budget {
        takeovers: 1,
        waits: 3,
        ..NETWORK
    };
    assert_holds("released", &steps, budget);
}

#[test]
fn unchecked_epochs_are_detected() {
    let steps = [
        Step::Commit(0),
        Step::Commit(0),
        Step::Pause(0),
        Step::TakeOver(1),
    ];
    assert_detected(
        &steps,
        Budget { waits: 1, ..NONE },
        BrokenRule::EpochUnchecked,
        "twice",
    );
}

#[test]
fn a_takeover_without_waiting_is_detected() {
    let steps = [RUNNING.as_slice(), PARTITION.as_slice()].concat();
    let budget = Budget { waits: 4, ..NONE };
    assert_detected(
        &steps,
        budget,
        BrokenRule::TakeoverWithoutWaiting,
        "twice at once",
    );
}

#[test]
fn a_lease_counted_from_receipt_is_detected() {
    let late = Step::MessageFault(0, 0, Fault::Late);
    let steps = [
        Step::Commit(0),
        Step::Commit(0),
        late,
        Step::Partition(0, 0),
    ];
    let budget = Budget { waits: 3, ..NONE };
    assert_detected(&steps, budget, BrokenRule::LeaseFromReceipt, "twice");
}

#[test]
fn unordered_messages_are_detected() {
    let budget = Budget {
        total: 2,
        evictions: 1,
        waits: 1,
        ..NETWORK
    };
    assert_detected(&[], budget, BrokenRule::MessagesUnordered, "twice");
}

#[test]
fn unchecked_rows_are_detected() {
    let budget = Budget {
        total: 2,
        evictions: 1,
        waits: 2,
        ..NETWORK
    };
    assert_detected(&[], budget, BrokenRule::RowsUnchecked, "regressed");
}
