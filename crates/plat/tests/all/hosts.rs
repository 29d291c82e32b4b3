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
use plat::hosts::Newest;
use plat::hosts::WorkerEntry;
use tokio::time::advance;

use crate::support::LOOPBACK;
use crate::support::client;
use crate::support::concluded;
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
async fn the_list_over_the_wire_concludes_no_more_than_each_fault_allows() {
    for (fault, expected, _) in fault_cases() {
        let fake = FakeHosts::new(list(1, HostState::Live), Duration::ZERO);
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        if let Some(fault) = &fault {
            fake.faults().set_next(fault.clone(), 1);
        }
        let hosts = hosts::http(&client(), endpoint(server.address(), fault.as_ref()));
        let answer = (hosts.list)(None).await;
        assert_eq!(concluded(&answer), expected, "{fault:?}");
        if answer.is_ok() {
            assert_eq!(answer, Ok(Some(list(1, HostState::Live))), "{fault:?}");
        }
    }
}

#[tokio::test]
async fn an_answer_to_an_earlier_call_is_not_taken() {
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
async fn a_change_shows_after_the_lag_and_once() {
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
fn a_list_that_is_not_newer_undoes_nothing() {
    // The revisions that are offered and the one that is kept after each.
    for (offered, kept) in [
        (vec![1, 2, 3], vec![1, 2, 3]),
        (vec![3, 2, 3, 1], vec![3, 3, 3, 3]),
        (vec![0, 0, 5, 4, 6], vec![0, 0, 5, 5, 6]),
    ] {
        let mut newest = Newest::default();
        assert_eq!(newest.revision(), None);
        for (revision, kept) in offered.iter().zip(kept) {
            let is_newer = newest.revision().is_none_or(|known| known < *revision);
            assert_eq!(newest.offer(list(*revision, HostState::Live)), is_newer);
            assert_eq!(newest.revision(), Some(kept), "{offered:?}");
        }
    }
}
