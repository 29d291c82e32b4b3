//! Metrics and dump of a process.

use std::time::Duration;

use dispatch::api;
use dispatch::api::SubmitOutcome;
use dispatch::dependencies::RejectedEntry;
use dispatch::dump;
use job::spec::JobSpec;
use job::spec::StepSpec;

use crate::log_capture;
use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);

async fn started() -> World {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world
}

/// Returns the value of a metric of a host. `name` includes the labels as written in the text
/// format.
pub fn metric(world: &World, host: &str, name: &str) -> Option<f64> {
    let node = &world.host(host).node;
    let text = node
        .metrics
        .encode(node)
        .expect("the metrics can be encoded");
    let line = text.lines().find(|line| {
        line.strip_prefix(name)
            .is_some_and(|rest| rest.starts_with(' '))
    })?;
    line.rsplit(' ').next()?.parse().ok()
}

#[tokio::test(start_paused = true)]
async fn the_metrics_of_the_owner_follow_a_job_from_its_submission_to_its_end() {
    let world = started().await;
    assert_eq!(world.submit("b", 1, job(4)).await, SubmitOutcome::Accepted);
    world.wait_until_succeeded("b", &[1], 5 * SECOND).await;
    let owner = world.owner().expect("an owner");
    let queue = crate::world::QUEUE;
    let counts = [
        (
            "fireflynotch_starts_total{outcome=\"started\"}".to_owned(),
            8.0,
        ),
        (
            "fireflynotch_run_ends_total{outcome=\"done\"}".to_owned(),
            8.0,
        ),
        ("fireflynotch_feed_seconds_count".to_owned(), 1.0),
        (
            format!("fireflynotch_first_start_seconds_count{{queue=\"{queue}\"}}"),
            1.0,
        ),
        (
            "fireflynotch_jobs_ended_total{outcome=\"succeeded\"}".to_owned(),
            1.0,
        ),
        ("fireflynotch_executors{outcome=\"ready\"}".to_owned(), 2.0),
        (
            "fireflynotch_log_lines_total{outcome=\"dropped\"}".to_owned(),
            0.0,
        ),
    ];
    for (name, expected) in counts {
        assert_eq!(metric(&world, &owner, &name), Some(expected), "{name}");
    }
    let epoch = metric(&world, &owner, "fireflynotch_owner_epoch");
    assert!(epoch > Some(0.0), "{epoch:?}");
    let other = if owner == "a" { "b" } else { "a" };
    assert_eq!(metric(&world, other, "fireflynotch_owner_epoch"), Some(0.0));
    assert_eq!(metric(&world, other, "fireflynotch_highest_epoch"), epoch);
}

#[tokio::test(start_paused = true)]
async fn the_dump_shows_why_a_waiting_job_is_blocked() {
    let world = started().await;
    let labelled = JobSpec {
        steps: vec![StepSpec {
            label: Some("none-has-it".into()),
            ..job(1).steps[0].clone()
        }],
        ..JobSpec::default()
    };
    assert_eq!(
        world.submit("a", 1, labelled).await,
        SubmitOutcome::Accepted
    );
    world.advance(SECOND).await;
    let owner = world.owner().expect("an owner");
    let shown = dump::dump(&world.host(&owner).node);
    let job = &shown.owner.expect("the host owns the executors").jobs[0];
    assert_eq!(job.state, "queued");
    assert_eq!(
        job.blocked_steps[0].reason,
        "none of 2 executors has the label none-has-it"
    );
    let other = if owner == "a" { "b" } else { "a" };
    let shown = dump::dump(&world.host(other).node);
    assert!(shown.owner.is_none());
    assert_eq!(shown.known_owner.map(|record| record.host), Some(owner));
}

#[tokio::test(start_paused = true)]
async fn a_job_that_waits_has_a_log_line_and_a_metric_by_what_it_waits_for() {
    log_capture::begin();
    let world = started().await;
    let labelled = JobSpec {
        steps: vec![StepSpec {
            label: Some("none-has-it".into()),
            ..job(1).steps[0].clone()
        }],
        ..JobSpec::default()
    };
    assert_eq!(
        world.submit("a", 1, labelled).await,
        SubmitOutcome::Accepted
    );
    world.advance(9 * SECOND).await;
    let line = log_capture::lines("held").pop().expect("a line");
    assert_eq!(line["job"], job_id(1).as_str());
    assert_eq!(
        line["reason"],
        "none of 2 executors has the label none-has-it"
    );
    assert_eq!(line["chance"], "late");
    let owner = world.owner().expect("an owner");
    let name = "fireflynotch_oldest_wait_milliseconds{limit=\"no_label\"}";
    let age_ms: f64 = line["age_ms"].parse().expect("a number");
    assert!(age_ms > 3_000.0, "{line:?}");
    assert_eq!(metric(&world, &owner, name), Some(age_ms));

    world
        .run_on("a", api::cancel(&world.host("a").node, job_id(1)))
        .await;
    world.advance(6 * SECOND).await;
    assert_eq!(metric(&world, &owner, name), None, "nothing waits");
}

/// Guards against entries of the list that are passed over without a word, and against a line each time
/// that the list is read.
#[tokio::test(start_paused = true)]
async fn operators_see_why_an_entry_of_the_list_names_no_executor() {
    log_capture::begin();
    let world = World::new(2);
    let entry = |key: &str, reason: &str| RejectedEntry {
        key: key.to_owned(),
        reason: reason.to_owned(),
    };
    let port = entry("odd", "address: \"10.0.0.9:99999\" is no address");
    *world.fleet.rejected.borrow_mut() = vec![port.clone()];
    world.start("a");
    world.advance(SECOND * 5).await;
    let shown = dump::dump(&world.host("a").node);
    let owner = shown.owner.expect("it owns the executors");
    assert_eq!(owner.rejected_entries, [port]);
    assert_eq!(log_capture::lines("executor_entry_rejected").len(), 1);
    *world.fleet.rejected.borrow_mut() = vec![entry("odd", "capacity.cpu: too high")];
    world.advance(SECOND * 5).await;
    assert_eq!(log_capture::lines("executor_entry_rejected").len(), 2);
    world.kill("a");
    world.start("b");
    world.advance(SECOND * 5).await;
    assert_eq!(log_capture::lines("executor_entry_rejected").len(), 3);
    world.submit("b", 1, job(8)).await;
    world.wait_until_succeeded("b", &[1], SECOND * 10).await;
    world.fleet.rejected.borrow_mut().clear();
    world.advance(SECOND * 5).await;
    let shown = dump::dump(&world.host("b").node);
    let owner = shown.owner.expect("it owns the executors");
    assert_eq!(owner.rejected_entries, []);
    world.assert_no_violations();
}

/// Guards against a line each time that an odd entry comes and goes, or changes what its reason repeats.
#[tokio::test(start_paused = true)]
async fn an_entry_that_comes_and_goes_is_logged_once_for_each_reason() {
    log_capture::begin();
    let world = World::new(2);
    world.start("a");
    world.advance(SECOND * 2).await;
    for number in 0..30 {
        let reason = if number % 2 == 0 {
            "missing field `born`".to_owned()
        } else {
            format!("capacity.cpu: {number}000000000 is over 1000000000")
        };
        let key = "odd".to_owned();
        *world.fleet.rejected.borrow_mut() = vec![RejectedEntry { key, reason }];
        world.advance(SECOND * 3).await;
        world.fleet.rejected.borrow_mut().clear();
        world.advance(SECOND * 3).await;
    }
    assert_eq!(log_capture::lines("executor_entry_rejected").len(), 4);
}

/// The same, for an entry whose service no document names; it is counted and shown like the others.
#[tokio::test(start_paused = true)]
async fn operators_see_an_entry_of_a_service_that_the_document_does_not_name() {
    log_capture::begin();
    let world = World::new(2);
    world.fleet.add_foreign_entry(1, "x-copy");
    world.fleet.foreign.borrow_mut()[0].service = "other".into();
    world.start("a");
    world.advance(SECOND * 10).await;
    let shown = dump::dump(&world.host("a").node);
    let owner = shown.owner.expect("it owns the executors");
    let rejected = RejectedEntry {
        key: "x-copy".to_owned(),
        reason: "service: the document names no \"other\"".to_owned(),
    };
    assert_eq!(owner.rejected_entries, [rejected]);
    assert_eq!(owner.known_executors, 2);
    assert_eq!(log_capture::lines("executor_entry_rejected").len(), 1);
    let name = "fireflynotch_executors{outcome=\"rejected\"}";
    assert_eq!(metric(&world, "a", name), Some(1.0));
}
