//! Tests that fail because of a fault that is not mended. `KNOWN-RED.txt` lists each.

use job::scheduler::RunOutcome;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::listing;
use crate::fixture::step;

/// While the previous owner may still repeat its start command, an executor that starts anew would
/// accept it, and a task whose end was acknowledged would start again.
#[test]
fn the_end_of_an_inherited_run_is_acknowledged_only_once_the_previous_owner_sends_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    let sends_until = next.now.after(LEASE * 2);
    let until = next.now.after(LEASE * 3);
    next.scheduler.inherit_leases(sends_until, until);
    next.list(vec![listing(1)]);
    let task = next.tasks_on(1)[0];
    let end = next.end(1, task, RunOutcome::Done);
    next.report_rows(1, vec![], vec![end]);
    next.store();
    let executor = next.executor(1);
    assert_eq!(
        next.scheduler.acknowledgement(executor),
        0,
        "the previous owner may start the task again"
    );
    next.scheduler
        .previous_owner_stopped(next.now, next.now.after(LEASE), until);
    assert_eq!(next.scheduler.acknowledgement(executor), 1);
}
