//! Tests of executors that start again under their name as another kind. A report, or the answer to a
//! command, shows the new incarnation before the executor list does, and tells neither its labels nor
//! its capacity. Tasks started there by the list entry of the earlier incarnation.

use job::fleet::Listing;
use job::record::JobRecord;
use job::reservation::Reservation;
use job::scheduler::Command;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use job::task::Phase;
use job::task::StartState;
use job::wait_reason::WaitReason;
use model::Mono;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

/// The start time of the new incarnation, in milliseconds since 1970; that of the first is 1,000.
const RESTARTED: u64 = 2_000;
/// Interval at which the executor list is read.
const LIST_INTERVAL_MS: u64 = 900;

/// Returns the list entry of an executor with this label.
fn entry(number: usize, label: &str, started_unix_ms: u64) -> Listing {
    Listing {
        labels: vec![label.into()],
        started_unix_ms,
        ..listing(number)
    }
}

/// Returns a step of one task that requires the label of the first incarnation.
fn labelled() -> Vec<StepSpec> {
    let label = Some("kind-a".into());
    vec![StepSpec {
        label,
        ..step(1, 4, 60_000)
    }]
}

/// Returns a fixture whose only executor has the label of the first incarnation and was polled.
fn first_incarnation() -> Fixture {
    let mut fixture = Fixture::new(0);
    fixture.list(vec![entry(1, "kind-a", 1_000)]);
    fixture.report_rows(1, vec![], vec![]);
    fixture.pass(100);
    fixture
}

/// How a new incarnation shows up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShownBy {
    Report,
    Answer,
    List,
}

impl Fixture {
    /// Lets the new incarnation of executor 1 answer a poll with the runs of these tasks.
    fn poll_new_incarnation(&mut self, running: &[TaskKey]) {
        let report = Report {
            started_unix_ms: Some(RESTARTED),
            clock_ms: 10,
            running: running
                .iter()
                .map(|key| self.running(*key, 50, 0))
                .collect(),
            ended: vec![],
        };
        let executor = self.executor(1);
        self.scheduler.report(executor, &report, self.now, self.now);
    }

    /// Lets the new incarnation of executor 1, which has another label, show up.
    fn show_new_incarnation(&mut self, shown_by: ShownBy) {
        match shown_by {
            ShownBy::Report => self.poll_new_incarnation(&[]),
            ShownBy::Answer => {
                let executor = self.executor(1);
                self.scheduler
                    .command_answered(executor, None, 10, self.now);
            }
            ShownBy::List => self.list(vec![entry(1, "kind-b", RESTARTED)]),
        }
    }

    fn phase(&self, key: TaskKey) -> &Phase {
        &self.scheduler.task(key).expect("the task exists").phase
    }
}

#[test]
fn no_task_starts_on_a_new_incarnation_by_the_list_entry_of_the_earlier_one() {
    let kinds = [
        ("label", entry(1, "kind-b", RESTARTED)),
        (
            "service",
            Listing {
                service: "other".into(),
                ..entry(1, "kind-a", RESTARTED)
            },
        ),
        (
            "capacity",
            Listing {
                capacity: Size::new(2_000, 256_000, 0),
                ..entry(1, "kind-a", RESTARTED)
            },
        ),
    ];
    for (differs_in, new_entry) in kinds {
        let mut fixture = first_incarnation();
        fixture.poll_new_incarnation(&[]);
        fixture.submit(1, labelled());
        assert_eq!(fixture.place(), 0, "{differs_in}: its entry is not known");
        fixture.list(vec![new_entry]);
        assert_eq!(fixture.place(), 0, "{differs_in}: it is of another kind");
        fixture.list(vec![entry(1, "kind-a", RESTARTED + 1)]);
        assert_eq!(fixture.place(), 1, "{differs_in}: it is of the first kind");
    }
}

#[test]
fn a_new_incarnation_of_the_same_kind_gets_tasks_once_its_list_entry_is_read() {
    let mut fixture = first_incarnation();
    fixture.poll_new_incarnation(&[]);
    fixture.list(vec![entry(1, "kind-a", RESTARTED)]);
    fixture.submit(1, labelled());
    let commands = fixture.start_all();
    assert!(matches!(&commands[..], [Command::Start { .. }]));
    assert_eq!(fixture.tasks_on(1).len(), 1);
}

/// An answer to a command tells no start time. An executor whose clock fell behind may be another one.
#[test]
fn no_task_starts_on_an_executor_whose_clock_fell_behind_until_it_is_polled() {
    let mut fixture = first_incarnation();
    fixture.pass(5_000);
    fixture.report_rows(1, vec![], vec![]);
    fixture.show_new_incarnation(ShownBy::Answer);
    fixture.submit(1, labelled());
    assert_eq!(fixture.place(), 0);
    let executor = fixture.executor(1);
    assert!(
        fixture.scheduler.take_poll_candidates().contains(&executor),
        "it is polled"
    );
    let known = fixture.scheduler.fleet.get(executor).expect("listed");
    assert!(known.needs_poll(), "nothing else would ever settle it");
    fixture.pass(100);
    fixture.report_rows(1, vec![], vec![]);
    assert_eq!(fixture.place(), 1, "it is the same incarnation");
}

#[test]
fn a_start_that_waits_for_the_store_is_not_sent_to_a_new_incarnation() {
    for shown_by in [ShownBy::Report, ShownBy::Answer, ShownBy::List] {
        let mut fixture = first_incarnation();
        fixture.pass(5_000);
        fixture.report_rows(1, vec![], vec![]);
        fixture.submit(1, labelled());
        assert_eq!(fixture.place(), 1);
        let task = fixture.tasks_on(1)[0];
        let batch = fixture.scheduler.take_batch(100, usize::MAX);
        fixture.pass(100);
        fixture.show_new_incarnation(shown_by);
        fixture.scheduler.batch_stored(batch, fixture.now);
        withdraw_unwanted(&mut fixture, task, shown_by);
    }
}

#[test]
fn a_start_that_waits_to_be_sent_is_not_sent_to_a_new_incarnation() {
    for shown_by in [ShownBy::Report, ShownBy::Answer, ShownBy::List] {
        let mut fixture = first_incarnation();
        fixture.pass(5_000);
        fixture.report_rows(1, vec![], vec![]);
        fixture.submit(1, labelled());
        let (task, run) = fixture.only_start();
        assert!(fixture.scheduler.is_start_wanted(task, run));
        fixture.pass(100);
        fixture.show_new_incarnation(shown_by);
        withdraw_unwanted(&mut fixture, task, shown_by);
    }
}

/// Checks that the start of a task is not wanted, withdraws it as the owner does, and checks that the
/// task is placed again on an executor with its label.
fn withdraw_unwanted(fixture: &mut Fixture, task: TaskKey, shown_by: ShownBy) {
    let run = fixture.scheduler.task(task).expect("the task exists").run;
    assert!(
        !fixture.scheduler.is_start_wanted(task, run),
        "shown by {shown_by:?}"
    );
    // The entry of the new incarnation makes the start no better, whatever its label is.
    fixture.list(vec![entry(1, "kind-a", RESTARTED)]);
    assert!(
        !fixture.scheduler.is_start_wanted(task, run),
        "shown by {shown_by:?}, listed"
    );
    fixture.scheduler.withdraw_start(task, run, fixture.now);
    assert_eq!(*fixture.phase(task), Phase::Waiting, "{shown_by:?}");
    fixture.scheduler.take_commands();
    fixture.list(vec![
        entry(1, "kind-b", RESTARTED + 1),
        entry(2, "kind-a", 1_000),
    ]);
    fixture.pass(100);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(2), [task], "{shown_by:?}");
}

/// A start that was sent and is not answered may take effect on the new incarnation.
#[test]
fn an_unanswered_start_is_not_repeated_at_a_listed_new_incarnation_but_stopped() {
    let mut fixture = first_incarnation();
    fixture.submit(1, labelled());
    let (task, run) = fixture.only_start();
    fixture.start_answered(task, run, StartAnswer::Unanswered);
    fixture.show_new_incarnation(ShownBy::List);
    assert!(!fixture.scheduler.is_start_wanted(task, run));
    fixture.scheduler.withdraw_start(task, run, fixture.now);
    let commands = fixture.scheduler.take_commands();
    assert!(matches!(&commands[..], [Command::Stop { .. }]));
    assert_eq!(fixture.tasks_on(1), [task], "it may still start there");
}

#[test]
fn a_task_that_the_new_incarnation_runs_goes_on_there() {
    let mut fixture = first_incarnation();
    fixture.submit(1, labelled());
    let (task, run) = fixture.only_start();
    fixture.start_answered(task, run, StartAnswer::Started);
    fixture.pass(100);
    fixture.poll_new_incarnation(&[task]);
    for label in ["kind-a", "kind-b"] {
        fixture.list(vec![entry(1, label, RESTARTED)]);
        fixture.pass(100);
        fixture.scheduler.tick(fixture.now);
        fixture.place();
        assert!(fixture.scheduler.take_commands().is_empty());
        let Phase::Assigned(assignment) = fixture.phase(task) else {
            panic!("the task is not assigned any more");
        };
        assert!(matches!(assignment.start_state, StartState::Confirmed(_)));
        assert!(!assignment.stopping);
    }
    let report = Report {
        started_unix_ms: Some(RESTARTED),
        clock_ms: 300,
        running: vec![],
        ended: vec![fixture.end(1, task, RunOutcome::Done)],
    };
    let executor = fixture.executor(1);
    fixture
        .scheduler
        .report(executor, &report, fixture.now, fixture.now);
    assert_eq!(*fixture.phase(task), Phase::Done);
}

/// An executor without tasks was forgotten when its list entry was older than what a report had shown.
/// The next read of the same entry made it known anew, with the labels of the earlier incarnation.
#[test]
fn a_list_entry_of_the_earlier_incarnation_that_is_read_late_does_not_bring_tasks() {
    let mut fixture = first_incarnation();
    fixture.poll_new_incarnation(&[]);
    fixture.submit(1, labelled());
    for _ in 0..5 {
        fixture.pass(LIST_INTERVAL_MS);
        fixture.list(vec![entry(1, "kind-a", 1_000)]);
        fixture.scheduler.tick(fixture.now);
        assert_eq!(fixture.place(), 0);
    }
    fixture.list(vec![entry(1, "kind-a", RESTARTED)]);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn a_late_list_entry_of_the_earlier_incarnation_does_not_replace_that_of_the_new_one() {
    let mut fixture = first_incarnation();
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    // The executor has a task, so that only a report settles which incarnation it is.
    fixture.list(vec![entry(1, "kind-b", RESTARTED)]);
    fixture.list(vec![entry(1, "kind-a", 1_000)]);
    fixture.submit(2, labelled());
    assert_eq!(fixture.place(), 0);
}

/// The system clock of a host may be set back, so that a later process seems to have started earlier.
#[test]
fn an_executor_that_goes_on_listing_an_earlier_start_gets_tasks_again() {
    let mut fixture = first_incarnation();
    fixture.poll_new_incarnation(&[]);
    fixture.submit(1, labelled());
    for _ in 0..20 {
        fixture.pass(LIST_INTERVAL_MS);
        fixture.list(vec![entry(1, "kind-a", 1_500)]);
        fixture.scheduler.tick(fixture.now);
    }
    assert_eq!(fixture.place(), 1);
}

/// The previous owner has polled the new incarnation. Its records name it, and the list that the new
/// owner has read does not yet.
#[test]
fn a_new_owner_places_nothing_by_a_list_entry_older_than_its_records() {
    for list_first in [false, true] {
        let mut fixture = first_incarnation();
        fixture.list(vec![entry(1, "kind-a", RESTARTED)]);
        let id = fixture.submit(1, vec![step(1, 4, 60_000)]);
        fixture.place();
        let batch = fixture.scheduler.take_batch(100, usize::MAX);
        let record: JobRecord = serde_json::from_slice(&batch.rows[0].1).expect("a valid record");
        let mut next = Fixture {
            scheduler: Scheduler::new(plan(2), fixture.scheduler.timing),
            now: fixture.now,
        };
        let earlier = vec![entry(1, "kind-a", 1_000)];
        if list_first {
            next.list(earlier.clone());
        }
        next.scheduler
            .restore(fixture.submission(id), &record, next.now);
        if !list_first {
            next.list(earlier);
        }
        assert_eq!(next.tasks_on(1).len(), 1, "list first: {list_first}");
        next.submit(2, labelled());
        assert_eq!(next.place(), 0, "list first: {list_first}");
        let inherited = next.tasks_on(1);
        next.pass(100);
        next.poll_new_incarnation(&inherited);
        assert_eq!(next.place(), 0, "list first: {list_first}");
        next.list(vec![entry(1, "kind-b", RESTARTED)]);
        assert_eq!(next.place(), 0, "list first: {list_first}");
        next.list(vec![entry(1, "kind-a", RESTARTED)]);
        assert_eq!(next.place(), 1, "list first: {list_first}");
    }
}

#[test]
fn a_reservation_of_an_executor_ends_with_its_incarnation() {
    let mut fixture = first_incarnation();
    let id = fixture.submit(1, labelled());
    let job = fixture.scheduler.find(id).expect("the job exists");
    let executor = fixture.executor(1);
    let known = fixture.scheduler.fleet.get_mut(executor);
    known.expect("listed").reservation = Some(Reservation {
        task: TaskKey { job, slot: 0 },
        until: Mono(fixture.now.0 + 5_000),
    });
    fixture.poll_new_incarnation(&[]);
    assert_eq!(fixture.place(), 0);
    let known = fixture.scheduler.fleet.get(executor).expect("listed");
    assert_eq!(known.reservation, None);
}

#[test]
fn an_executor_whose_list_entry_is_due_is_named_as_the_reason_of_a_wait() {
    let mut fixture = first_incarnation();
    let id = fixture.submit(1, labelled());
    fixture.poll_new_incarnation(&[]);
    fixture.place();
    let reason = fixture.wait_reason(id).expect("the task waits");
    assert!(
        matches!(
            reason,
            WaitReason::NoExecutor {
                listed: 1,
                entry_due: 1,
                ..
            }
        ),
        "{reason}"
    );
}
