use fake::object::FakeObjects;
use plat::object;

use crate::support::LOOPBACK;
use crate::support::call_outcome;
use crate::support::client;
use crate::support::endpoint;
use crate::support::fault_cases;

const NAME: &str = "checkpoint/task 1/é?&#";

#[tokio::test]
async fn a_deletion_reports_the_outcome_that_each_fault_permits() {
    for (fault, expected, executions) in fault_cases() {
        let fake = FakeObjects::new();
        assert!(fake.put(NAME, "body".into()));
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        let objects = object::http(&client(), endpoint(server.address(), fault.as_ref()));
        if let Some(fault) = &fault {
            fake.faults().set_next_for("delete", fault.clone(), 1);
        }
        let outcome = (objects.delete)(NAME.to_owned()).await;
        assert_eq!(call_outcome(&outcome), expected, "{fault:?}");
        assert_eq!(fake.get(NAME).is_none(), executions > 0, "{fault:?}");
    }
}

#[tokio::test]
async fn a_deletion_is_idempotent_and_head_reports_whether_an_object_exists() {
    let fake = FakeObjects::new();
    assert!(fake.put(NAME, "body".into()));
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let objects = object::http(&client(), endpoint(server.address(), None));
    assert_eq!((objects.head)(NAME.to_owned()).await, Ok(Some(4)));
    assert_eq!((objects.delete)(NAME.to_owned()).await, Ok(()));
    assert_eq!((objects.delete)(NAME.to_owned()).await, Ok(()));
    assert_eq!((objects.head)(NAME.to_owned()).await, Ok(None));
}
