use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fake::faults::Fault;
use measure::system::System;
use measure::system::callers::Callers;
use measure::system::callers::Counts;
use measure::system::callers::Load;
use measure::system::client;
use measure::system::wait_until;
use plat::hosts::HostState;

use crate::stage::PATIENCE;
use crate::stage::SEED;
use crate::stage::apply_until_accepted;
use crate::stage::document;
use crate::stage::start;

type Targets = Arc<Mutex<Vec<SocketAddr>>>;

fn call(system: &System, path: &str) -> (Callers, Targets) {
    let targets = Arc::new(Mutex::new(system.callers()));
    let load = Load {
        callers: 4,
        pause: Duration::from_millis(20),
        path: path.into(),
        once_percent: 25,
        seed: SEED,
    };
    (Callers::start(&load, &targets), targets)
}

async fn answered_beyond(callers: &Callers, before: u64) -> bool {
    wait_until(PATIENCE, async || callers.counts().answered > before + 50).await
}

/// Asserts what holds for every request, whatever fails.
fn assert_honest(system: &System, counts: &Counts) {
    let runs = &system.platform.runs;
    assert_eq!(counts.wrong, 0, "somebody else's answer, or a part of one");
    let not_run = counts.not_run_ids.iter().filter(|id| runs.runs(id) > 0);
    assert_eq!(not_run.count(), 0, "said not to have been run");
    let twice = counts.once_ids.iter().filter(|id| runs.runs(id) > 1);
    assert_eq!(twice.count(), 0, "not idempotent, run twice");
}

/// Ends the callers and asserts that each of their requests was served.
async fn assert_all_served(system: &System, callers: Callers) {
    let counts = callers.end().await;
    assert_eq!(
        (counts.unknown, counts.not_run),
        (0, 0),
        "{:?}",
        counts.reasons
    );
    assert_honest(system, &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let mut system = start(Duration::from_secs(1)).await;
    let (callers, targets) = call(&system, "/plan");
    assert!(answered_beyond(&callers, 0).await);
    let leaving = system.take("antwerpen-1");
    let (address, operators) = (leaving.callers, leaving.operators);
    // The balancer takes a daemon out once it is not ready any more.
    let stop = tokio::spawn(leaving.stop());
    let seen = async || {
        client::status(operators)
            .await
            .is_ok_and(|status| !status.ready)
    };
    assert!(wait_until(PATIENCE, seen).await);
    targets.lock().unwrap().retain(|target| *target != address);
    stop.await.unwrap().expect("it leaves in order");
    assert!(answered_beyond(&callers, callers.counts().answered).await);
    assert_all_served(&system, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_handover_under_load_refuses_nothing() {
    let system = start(Duration::from_secs(1)).await;
    let (callers, _targets) = call(&system, "/parts");
    assert!(answered_beyond(&callers, 0).await);
    let operators = system.daemons[0].operators;
    apply_until_accepted(operators, "there", &document("zuid")).await;
    assert!(answered_beyond(&callers, callers.counts().answered).await);
    apply_until_accepted(operators, "back", &document("noord")).await;
    assert!(answered_beyond(&callers, callers.counts().answered).await);
    assert_all_served(&system, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_wait_for_the_store_and_once_only_ones_are_refused_without_it() {
    let system = start(Duration::from_secs(1)).await;
    let (callers, _targets) = call(&system, "/plan");
    assert!(answered_beyond(&callers, 0).await);
    system.platform.table.faults().set(Fault::Down);
    let before = callers.counts();
    assert!(answered_beyond(&callers, before.answered + 200).await);
    let refused = async || callers.counts().not_run > before.not_run;
    assert!(
        wait_until(PATIENCE, refused).await,
        "once-only requests need the store"
    );
    system.platform.table.faults().clear();
    let counts = callers.end().await;
    assert_honest(&system, &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_executor_listed_as_leaving_gets_no_new_work() {
    let system = start(Duration::from_secs(1)).await;
    let (callers, _targets) = call(&system, "/plan");
    assert!(answered_beyond(&callers, 0).await);
    let leaving = system.platform.hosts.visible_list().executors[0].id.clone();
    system
        .platform
        .hosts
        .change(|list| list.executors[0].state = HostState::Leaving);
    // 100 ms of lag, and the 3 s within which nothing new may come any more.
    tokio::time::sleep(Duration::from_millis(3100)).await;
    let calls = system.platform.executors[0].faults().calls();
    assert!(answered_beyond(&callers, callers.counts().answered).await);
    assert_eq!(
        system.platform.executors[0].faults().calls(),
        calls,
        "{leaving} got new work"
    );
    assert_all_served(&system, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_has_an_honest_outcome_while_a_daemon_and_an_executor_fail() {
    let mut system = start(Duration::from_secs(1)).await;
    let (callers, targets) = call(&system, "/plan");
    assert!(answered_beyond(&callers, 0).await);
    system.platform.executors[0]
        .faults()
        .set_next(Fault::CutShort, 3);
    system.platform.executors[1]
        .faults()
        .set_next(Fault::WrongId, 3);
    let dropped = system.take("antwerpen-1");
    let address = dropped.callers;
    dropped.kill();
    targets.lock().unwrap().retain(|target| *target != address);
    assert!(answered_beyond(&callers, callers.counts().answered).await);
    let counts = callers.end().await;
    assert_honest(&system, &counts);
}
