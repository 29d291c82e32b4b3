use fake::object::FakeObjects;
use plat::object;

use crate::support::LOOPBACK;
use crate::support::client;
use crate::support::concluded;
use crate::support::endpoint;
use crate::support::fault_cases;

const NAME: &str = "checkpoint/task 1/é?&#";

#[tokio::test]
async fn a_deletion_concludes_no_more_than_each_fault_allows() {
    for (fault, expected, carried_out) in fault_cases() {
        let fake = FakeObjects::new();
        assert!(fake.put(NAME, "body".into()));
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        let objects = object::http(&client(), endpoint(server.address(), fault.as_ref()));
        if let Some(fault) = &fault {
            fake.faults().set_next_for("delete", fault.clone(), 1);
        }
        let outcome = (objects.delete)(NAME.to_owned()).await;
        assert_eq!(concluded(&outcome), expected, "{fault:?}");
        assert_eq!(fake.get(NAME).is_none(), carried_out > 0, "{fault:?}");
    }
}

#[tokio::test]
async fn a_deletion_can_be_repeated_and_the_size_says_whether_an_object_is_there() {
    let fake = FakeObjects::new();
    assert!(fake.put(NAME, "body".into()));
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let objects = object::http(&client(), endpoint(server.address(), None));
    assert_eq!((objects.head)(NAME.to_owned()).await, Ok(Some(4)));
    assert_eq!((objects.delete)(NAME.to_owned()).await, Ok(()));
    assert_eq!((objects.delete)(NAME.to_owned()).await, Ok(()));
    assert_eq!((objects.head)(NAME.to_owned()).await, Ok(None));
}
