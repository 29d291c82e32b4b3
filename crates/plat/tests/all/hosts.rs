use std::time::Duration;

use fake::faults::Fault;
use fake::hosts::FakeHosts;
use model::Size;
use model::id::ShardId;
use model::id::WorkerId;
use model::place::Place;
use plat::hosts;
use plat::hosts::HostList;
use plat::hosts::HostState;
use plat::hosts::NewestHostList;
use plat::hosts::WorkerEntry;
use tokio::time::advance;

use crate::support::LOOPBACK;
use crate::support::call_outcome;
use crate::support::client;
use crate::support::endpoint;
use crate::support::fault_cases;

const LAG: Duration = Duration::from_secs(10);

fn list(revision: u64, state: HostState) -> HostList {
    HostList {
        revision,
        workers: vec![WorkerEntry {
            id: WorkerId::from("worker-1"),
            address: LOOPBACK,
            place: Place::new("vlaanderen", "limburg"),
            rack: ShardId::from("rack-1"),
            capacity: Size::new(64_000, 250_000, 0),
            state,
        }],
        ..HostList::default()
    }
}

#[tokio::test]
async fn a_list_call_over_http_reports_the_outcome_that_each_fault_permits() {
    for (fault, expected, _) in fault_cases() {
        let fake = FakeHosts::new(list(1, HostState::Live), Duration::ZERO);
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        if let Some(fault) = &fault {
            fake.faults().set_next(fault.clone(), 1);
        }
        let hosts = hosts::http(&client(), endpoint(server.address(), fault.as_ref()));
        let response = (hosts.list)(None).await;
        assert_eq!(call_outcome(&response), expected, "{fault:?}");
        if response.is_ok() {
            assert_eq!(response, Ok(Some(list(1, HostState::Live))), "{fault:?}");
        }
    }
}

#[tokio::test]
async fn a_response_to_an_earlier_call_is_rejected() {
    let fake = FakeHosts::new(list(1, HostState::Live), Duration::ZERO);
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let hosts = hosts::http(&client(), endpoint(server.address(), None));
    assert!((hosts.list)(None).await.is_ok());
    fake.change(|list| list.workers.clear());
    fake.faults().set_next(Fault::OutOfOrder, 1);
    assert!((hosts.list)(Some(1)).await.is_err());
    let now = (hosts.list)(Some(1)).await.expect("no fault is set");
    assert_eq!(now.map(|list| list.workers.len()), Some(0));
}

#[tokio::test(start_paused = true)]
async fn a_change_is_returned_once_after_the_lag() {
    let fake = FakeHosts::new(list(1, HostState::Live), LAG);
    let hosts = fake.direct();
    fake.change(|list| list.workers[0].state = HostState::Leaving);
    advance(LAG - Duration::from_millis(1)).await;
    assert_eq!((hosts.list)(Some(1)).await, Ok(None));
    advance(Duration::from_millis(1)).await;
    assert_eq!(
        (hosts.list)(Some(1)).await,
        Ok(Some(list(2, HostState::Leaving)))
    );
    assert_eq!((hosts.list)(Some(2)).await, Ok(None));
}

#[test]
fn a_list_that_is_not_newer_is_ignored() {
    // The revisions in the order of their receipt, and the stored revision after each.
    for (received, stored) in [
        (vec![1, 2, 3], vec![1, 2, 3]),
        (vec![3, 2, 3, 1], vec![3, 3, 3, 3]),
        (vec![0, 0, 5, 4, 6], vec![0, 0, 5, 5, 6]),
    ] {
        let mut newest = NewestHostList::default();
        assert_eq!(newest.revision(), None);
        for (revision, stored) in received.iter().zip(stored) {
            let is_newer = newest.revision().is_none_or(|known| known < *revision);
            assert_eq!(newest.update(list(*revision, HostState::Live)), is_newer);
            assert_eq!(newest.revision(), Some(stored), "{received:?}");
        }
    }
}
