//! Log lines and metrics that tell what a start or stop command waited for.

use std::time::Duration;

use dispatch::api;

use crate::executor::FakeExecutor;
use crate::log_capture;
use crate::log_capture::Fields;
use crate::log_capture::started;
use crate::log_capture::submit;
use crate::state::metric;
use crate::store::StoreFault;
use crate::world::World;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);
/// The events of commands that took long or had no answer.
const EVENTS: [&str; 6] = [
    "start_delayed",
    "start_unanswered",
    "start_unsent",
    "stop_delayed",
    "stop_unanswered",
    "stop_unsent",
];

async fn cancel(world: &World, number: u64) {
    let node = world.host("a").node.clone();
    world.run_on("a", api::cancel(&node, job_id(number))).await;
}

/// Returns the only line of all events about commands, and checks its event.
fn only_line(event: &str) -> Fields {
    let lines: Vec<Fields> = EVENTS
        .iter()
        .flat_map(|event| log_capture::lines(event))
        .collect();
    let [line] = &lines[..] else {
        panic!("expected one line, got {lines:?}");
    };
    assert_eq!(line["event"], event, "{line:?}");
    line.clone()
}

fn number(line: &Fields, name: &str) -> u64 {
    line[name].parse().expect("the field is a number")
}

#[tokio::test(start_paused = true)]
async fn commands_that_are_answered_at_once_are_counted_and_not_logged() {
    let world = started().await;
    submit(&world, 1).await;
    world.advance(SECOND).await;
    cancel(&world, 1).await;
    world.advance(SECOND).await;
    for event in EVENTS {
        assert_eq!(log_capture::lines(event), Vec::new());
    }
    for (command, waited_for) in [
        ("start", "store"),
        ("start", "slot"),
        ("start", "answer"),
        ("stop", "slot"),
        ("stop", "answer"),
    ] {
        let name = format!(
            "fireflynotch_command_seconds_count{{command=\"{command}\",waited_for=\"{waited_for}\"}}"
        );
        assert_eq!(metric(&world, "a", &name), Some(1.0), "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_start_that_waits_for_the_store_tells_so() {
    let world = started().await;
    submit(&world, 1).await;
    // The job is known to the owner, and its assignment is not stored yet.
    world.host("a").store_fault.set(StoreFault::Refuses);
    world.advance(2 * SECOND).await;
    world.host("a").store_fault.set(StoreFault::None);
    world.advance(2 * SECOND).await;
    let line = only_line("start_delayed");
    assert_eq!(line["outcome"], "started");
    assert!(number(&line, "store_ms") > 1_500, "{line:?}");
    assert_eq!(line["slot_ms"], "0");
    assert!(number(&line, "answer_ms") < 100, "{line:?}");
}

#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_and_its_withdrawal_are_told() {
    let world = started().await;
    world.fleet.executor(1).hangs_starts.set(true);
    submit(&world, 1).await;
    world.advance(SECOND).await;
    cancel(&world, 1).await;
    world.advance(2 * SECOND).await;
    let line = only_line("start_unanswered");
    assert_eq!(line["job"], job_id(1).as_str());
    assert_eq!(line["executor"], "e1");
    assert_eq!(line["outcome"], "withdrawn");
    assert!(number(&line, "attempts") >= 1, "{line:?}");
    assert_eq!(line["unanswered"], line["attempts"]);
    let name = "fireflynotch_unanswered_commands_total{command=\"start\",outcome=\"withdrawn\"}";
    assert_eq!(metric(&world, "a", name), Some(1.0));
}

#[tokio::test(start_paused = true)]
async fn a_start_that_is_given_up_tells_its_attempts() {
    let world = started().await;
    world.fleet.executor(1).hangs_starts.set(true);
    submit(&world, 1).await;
    world.advance(3 * SECOND).await;
    let line = only_line("start_unanswered");
    assert_eq!(line["outcome"], "given_up");
    assert_eq!(line["attempts"], "3");
    assert_eq!(line["unanswered"], "3");
}

#[tokio::test(start_paused = true)]
async fn starts_that_are_not_sent_because_others_hang_have_an_event_of_their_own() {
    let world = started().await;
    world.fleet.executor(1).hangs_starts.set(true);
    for number in 1..=6 {
        submit(&world, number).await;
    }
    world.advance(SECOND).await;
    let unsent = log_capture::lines("start_unsent");
    // Two have a slot at first, and the third gets one before the second has had no answer.
    assert_eq!(unsent.len(), 3, "{unsent:?}");
    for line in unsent {
        assert_eq!(line["outcome"], "given_up");
        assert_eq!(line["attempts"], "0");
        assert!(number(&line, "slot_ms") > 600, "{line:?}");
    }
    assert_eq!(log_capture::lines("start_unanswered"), Vec::new());
}

/// Name of a fault, the function that begins or ends it, and the expected number of attempts
/// without an answer.
type StopFault = (&'static str, fn(&FakeExecutor, bool), &'static str);

const STOP_FAULTS: [StopFault; 2] = [
    (
        "no answer",
        |executor, begins| {
            executor.command_delay.set(begins.then_some(60 * SECOND));
        },
        "2",
    ),
    (
        "not sent",
        |executor, begins| executor.reachable.set(!begins),
        "0",
    ),
];

#[tokio::test(start_paused = true)]
async fn a_stop_that_took_long_tells_its_attempts() {
    for (name, set, unanswered) in STOP_FAULTS {
        println!("{name}");
        let world = started().await;
        submit(&world, 1).await;
        world.advance(SECOND).await;
        set(&world.fleet.executor(1), true);
        cancel(&world, 1).await;
        world.advance(Duration::from_millis(1_500)).await;
        set(&world.fleet.executor(1), false);
        world.advance(2 * SECOND).await;
        let line = only_line("stop_delayed");
        assert_eq!(line["outcome"], "stopped");
        assert_eq!(line["attempts"], "3");
        assert_eq!(line["unanswered"], unanswered);
        assert!(number(&line, "answer_ms") >= 1_000, "{line:?}");
    }
}
