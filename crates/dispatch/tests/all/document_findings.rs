//! Problems of a document are logged once for each version, in a bounded number of lines.

use std::time::Duration;

use job::plan::Plan;
use job::plan::Queue;

use crate::log_capture;
use crate::log_capture::Fields;
use crate::world::World;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);

/// A document with this many queues whose service does not exist.
fn faulty(version: u64, queues: usize) -> Plan {
    let mut plan = plan(version, false);
    let queue = plan.queues[0].clone();
    plan.queues = (0..queues)
        .map(|index| Queue {
            name: format!("q{index}").into(),
            path_prefix: format!("/q{index}/").into(),
            service: "absent".into(),
            ..queue.clone()
        })
        .collect();
    plan
}

fn findings(version: &str) -> Vec<Fields> {
    let mut lines = log_capture::lines("document_finding");
    lines.retain(|line| line["version"] == version);
    lines
}

/// Guards against problems that are not logged, or are logged with each read of the same version.
#[tokio::test(start_paused = true)]
async fn each_problem_is_logged_once_for_each_version_and_host() {
    let world = log_capture::started().await;
    world.advance(SECOND).await;
    assert_eq!(findings("1"), [], "the document has no problem");
    world.document.change(faulty(2, 1));
    world.advance(5 * SECOND).await;
    // The same version arrives again, as after a loss of the store's history.
    world.document.change(faulty(2, 1));
    world.advance(5 * SECOND).await;
    let lines = findings("2");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["subject"], "queue `q0` service");
    assert_eq!(lines[0]["problem"], "there is no service `absent`");
    assert_eq!(log_capture::lines("document_findings").len(), 1);
    world.document.change(faulty(3, 1));
    world.advance(5 * SECOND).await;
    assert_eq!(findings("3").len(), 1);
    assert_eq!(
        world.host("a").node.plan().expect("a document").version,
        3,
        "a document with problems comes into force"
    );
}

/// Guards against repeated lines for a document of version 0, which each read puts into force again.
#[tokio::test(start_paused = true)]
async fn the_problems_of_a_document_without_a_version_are_logged_once() {
    log_capture::begin();
    let world = World::new(1);
    world.document.change(faulty(0, 1));
    world.start("a");
    world.advance(SECOND).await;
    world.document.change(faulty(0, 1));
    world.advance(SECOND).await;
    assert_eq!(log_capture::lines("document").len(), 2);
    assert_eq!(findings("0").len(), 1);
}

/// Guards against a log that is flooded because a service of thousands of queues is gone.
#[tokio::test(start_paused = true)]
async fn many_problems_and_long_names_take_a_bounded_number_of_short_lines() {
    let world = log_capture::started().await;
    let mut plan = faulty(2, 3_000);
    let mut queues: Vec<Queue> = plan.queues.clone().into();
    queues[0].path_prefix = "ö".repeat(10_000).into();
    plan.queues = queues.into();
    world.document.change(plan);
    world.advance(SECOND).await;
    let lines = findings("2");
    assert_eq!(lines.len(), 20);
    assert!(lines.iter().all(|line| line["problem"].len() <= 300));
    let summary = log_capture::lines("document_findings");
    assert_eq!(summary.len(), 1);
    assert_eq!(summary[0]["found"], "3001");
    assert_eq!(summary[0]["logged"], "20");
}
