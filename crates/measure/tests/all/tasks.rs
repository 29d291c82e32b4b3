use std::time::Duration;

use fake::faults::Fault;
use measure::system::client;
use measure::system::wait_until;
use model::id::TaskId;
use plat::hosts::HostState;

use crate::fixture::SEED;
use crate::fixture::WAIT_TIMEOUT;
use crate::fixture::assert_tasks_consistent;
use crate::fixture::daemons;
use crate::fixture::start;
use crate::fixture::submit;
use crate::fixture::succeeded;

#[tokio::test(flavor = "multi_thread")]
async fn tasks_outlive_the_owner_of_their_shard_and_run_once() {
    let mut system = start(Duration::from_secs(10)).await;
    let operators = system.daemons[2].operators;
    for number in 0..6 {
        submit(operators, &format!("check-{number}")).await;
    }
    let ledger = system.platform.ledger.clone();
    assert!(wait_until(WAIT_TIMEOUT, async || ledger.counts().started == 6).await);
    system.remove("limburg-1").kill();
    system.remove("antwerpen-1").kill();
    assert!(succeeded(operators, 6).await);
    assert_eq!(
        ledger.counts().started,
        6,
        "the loss of a shard's owner must not interrupt a run"
    );
    assert_tasks_consistent(&system);
}

#[tokio::test(flavor = "multi_thread")]
async fn running_work_does_not_need_the_store_and_nothing_is_lost_when_it_returns() {
    let system = start(Duration::from_secs(8)).await;
    let operators = system.daemons[0].operators;
    submit(operators, "before").await;
    let ledger = system.platform.ledger.clone();
    assert!(wait_until(WAIT_TIMEOUT, async || ledger.counts().started == 1).await);
    let faults = system.platform.table.faults();
    faults.set(Fault::Down);
    let refused = client::submit(operators, &crate::fixture::submission("during")).await;
    assert!(
        refused.is_err(),
        "a submission must be refused without the store"
    );
    let task = TaskId::from("before");
    let workers = &system.platform.workers;
    assert!(
        wait_until(WAIT_TIMEOUT, async || workers
            .iter()
            .all(|worker| worker.running().is_empty()))
        .await
    );
    faults.clear();
    submit(operators, "during").await;
    assert!(succeeded(operators, 2).await);
    assert_eq!(
        ledger.runs(&task).len(),
        1,
        "the task ended during the outage and must not run again"
    );
    assert_tasks_consistent(&system);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_of_the_table_neither_duplicate_nor_lose_tasks() {
    let system = start(Duration::from_secs(2)).await;
    let operators = system.daemons[1].operators;
    let faults = system.platform.table.faults();
    for number in 0..8 {
        faults.set_next_for("commit", Fault::LostAfter, 2);
        submit(operators, &format!("check-{number}")).await;
        faults.set_next_for("commit", Fault::LostBefore, 1);
    }
    assert!(succeeded(operators, 8).await);
    assert_eq!(system.platform.ledger.counts().started, 8);
    assert_tasks_consistent(&system);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_worker_runs_its_tasks_again_elsewhere_after_its_lease_has_lapsed() {
    let system = start(Duration::from_secs(6)).await;
    let operators = system.daemons[0].operators;
    for number in 0..3 {
        submit(operators, &format!("check-{number}")).await;
    }
    let ledger = system.platform.ledger.clone();
    assert!(wait_until(WAIT_TIMEOUT, async || ledger.counts().started == 3).await);
    for worker in &system.platform.workers {
        if !worker.running().is_empty() {
            worker.crash();
            break;
        }
    }
    assert!(succeeded(operators, 3).await);
    assert!(ledger.counts().started > 3);
    assert_tasks_consistent(&system);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_is_drained_although_the_table_is_unreachable_when_it_is_listed() {
    let system = start(Duration::from_secs(12)).await;
    let operators = system.daemons[0].operators;
    for number in 0..3 {
        submit(operators, &format!("check-{number}")).await;
    }
    let ledger = system.platform.ledger.clone();
    assert!(wait_until(WAIT_TIMEOUT, async || ledger.counts().started == 3).await);
    system.platform.table.faults().set(Fault::Down);
    let workers = &system.platform.workers;
    let index = workers
        .iter()
        .position(|worker| !worker.running().is_empty())
        .expect("a task is running");
    system
        .platform
        .hosts
        .change(|list| list.workers[index].state = HostState::Leaving);
    tokio::time::sleep(Duration::from_secs(3)).await;
    system.platform.table.faults().clear();
    assert!(wait_until(WAIT_TIMEOUT, async || workers[index].running().is_empty()).await);
    assert!(succeeded(operators, 3).await);
    assert!(
        ledger.counts().resumed > 0,
        "evicted tasks must resume from their checkpoints"
    );
    assert_tasks_consistent(&system);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_daemon_of_the_same_name_ends_the_first() {
    let mut system = start(Duration::from_secs(2)).await;
    system
        .add(&daemons()[0], SEED + 7)
        .await
        .expect("the second daemon starts");
    let first = system.remove("limburg-1");
    let operators = first.operators;
    let is_gone = async || client::status(operators).await.is_err();
    assert!(
        wait_until(WAIT_TIMEOUT, is_gone).await,
        "the first daemon must end"
    );
    let operators = system
        .daemons
        .last()
        .expect("the second daemon is in the list")
        .operators;
    submit(operators, "after").await;
    assert!(succeeded(operators, 1).await);
    assert_tasks_consistent(&system);
}
