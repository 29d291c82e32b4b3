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

use crate::fixture::SEED;
use crate::fixture::WAIT_TIMEOUT;
use crate::fixture::apply_until_accepted;
use crate::fixture::document;
use crate::fixture::start;

type Targets = Arc<Mutex<Vec<SocketAddr>>>;

fn start_callers(system: &System, path: &str) -> (Callers, Targets) {
    let targets = Arc::new(Mutex::new(system.caller_addresses()));
    let load = Load {
        callers: 4,
        pause: Duration::from_millis(20),
        path: path.into(),
        non_idempotent_percent: 25,
        seed: SEED,
    };
    (Callers::start(&load, &targets), targets)
}

async fn more_answered(callers: &Callers, before: u64) -> bool {
    wait_until(WAIT_TIMEOUT, async || {
        callers.counts().answered > before + 50
    })
    .await
}

/// Asserts the guarantees that hold for every request under any failure.
fn assert_outcomes_correct(system: &System, counts: &Counts) {
    let runs = &system.platform.runs;
    assert_eq!(
        counts.wrong, 0,
        "a caller received the response to another request or a part of one"
    );
    let not_run = counts.not_run_ids.iter().filter(|id| runs.runs(id) > 0);
    assert_eq!(not_run.count(), 0, "requests reported as not run were run");
    let twice = counts
        .non_idempotent_ids
        .iter()
        .filter(|id| runs.runs(id) > 1);
    assert_eq!(twice.count(), 0, "non-idempotent requests were run twice");
}

/// Stops the callers and asserts that each of their requests was answered.
async fn finish_and_assert_all_answered(system: &System, callers: Callers) {
    let counts = callers.finish().await;
    assert_eq!(
        (counts.unknown, counts.not_run),
        (0, 0),
        "{:?}",
        counts.reasons
    );
    assert_outcomes_correct(system, &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let mut system = start(Duration::from_secs(1)).await;
    let (callers, targets) = start_callers(&system, "/plan");
    assert!(more_answered(&callers, 0).await);
    let leaving = system.remove("antwerpen-1");
    let (address, operators) = (leaving.callers, leaving.operators);
    // The load balancer removes a daemon once it is no longer ready.
    let stop = tokio::spawn(leaving.stop());
    let is_unready = async || {
        client::status(operators)
            .await
            .is_ok_and(|status| !status.ready)
    };
    assert!(wait_until(WAIT_TIMEOUT, is_unready).await);
    targets.lock().unwrap().retain(|target| *target != address);
    stop.await
        .unwrap()
        .expect("the daemon drains without error");
    assert!(more_answered(&callers, callers.counts().answered).await);
    finish_and_assert_all_answered(&system, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_handover_under_load_refuses_nothing() {
    let system = start(Duration::from_secs(1)).await;
    let (callers, _targets) = start_callers(&system, "/parts");
    assert!(more_answered(&callers, 0).await);
    let operators = system.daemons[0].operators;
    apply_until_accepted(operators, "there", &document("zuid")).await;
    assert!(more_answered(&callers, callers.counts().answered).await);
    apply_until_accepted(operators, "back", &document("noord")).await;
    assert!(more_answered(&callers, callers.counts().answered).await);
    finish_and_assert_all_answered(&system, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_wait_for_the_store_and_non_idempotent_ones_are_refused_without_it() {
    let system = start(Duration::from_secs(1)).await;
    let (callers, _targets) = start_callers(&system, "/plan");
    assert!(more_answered(&callers, 0).await);
    system.platform.table.faults().set(Fault::Down);
    let before = callers.counts();
    assert!(more_answered(&callers, before.answered + 200).await);
    let refused = async || callers.counts().not_run > before.not_run;
    assert!(
        wait_until(WAIT_TIMEOUT, refused).await,
        "non-idempotent requests must be refused without the store"
    );
    system.platform.table.faults().clear();
    let counts = callers.finish().await;
    assert_outcomes_correct(&system, &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_executor_listed_as_leaving_gets_no_new_work() {
    let system = start(Duration::from_secs(1)).await;
    let (callers, _targets) = start_callers(&system, "/plan");
    assert!(more_answered(&callers, 0).await);
    let leaving = system.platform.hosts.visible_list().executors[0].id.clone();
    system
        .platform
        .hosts
        .change(|list| list.executors[0].state = HostState::Leaving);
    // The host list lags by 100 ms; new requests must stop within 3 s.
    tokio::time::sleep(Duration::from_millis(3100)).await;
    let calls = system.platform.executors[0].faults().calls();
    assert!(more_answered(&callers, callers.counts().answered).await);
    assert_eq!(
        system.platform.executors[0].faults().calls(),
        calls,
        "{leaving} received new requests"
    );
    finish_and_assert_all_answered(&system, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_has_a_correct_outcome_while_a_daemon_and_an_executor_fail() {
    let mut system = start(Duration::from_secs(1)).await;
    let (callers, targets) = start_callers(&system, "/plan");
    assert!(more_answered(&callers, 0).await);
    system.platform.executors[0]
        .faults()
        .set_next(Fault::CutShort, 3);
    system.platform.executors[1]
        .faults()
        .set_next(Fault::WrongId, 3);
    let killed = system.remove("antwerpen-1");
    let address = killed.callers;
    killed.kill();
    targets.lock().unwrap().retain(|target| *target != address);
    assert!(more_answered(&callers, callers.counts().answered).await);
    let counts = callers.finish().await;
    assert_outcomes_correct(&system, &counts);
}
