//! Tests of what an owner stores of the runs that may have crashed a silent executor.

use job::fleet::Listing;
use job::id::JobId;
use job::lease_record::LeaseRecord;
use job::lease_record::MAX_SILENT_EXECUTORS;
use job::lease_record::MAX_STORED_SUSPECTS;
use job::lease_record::SilentExecutor;
use job::record::JobRecord;
use job::scheduler::Command;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::listing;
use crate::fixture::step;

/// The largest value that the owner stores: a row of the store less a sixteenth.
const VALUE_BYTES: usize = 61_440;

/// When the process started that follows the executor.
const LATER_START: u64 = 5_000;

/// An owner of one executor and one task that it has assigned there, and its stored rows.
struct Predecessor {
    fixture: Fixture,
    job: JobId,
    key: TaskKey,
    row: Vec<u8>,
    leases: Vec<u8>,
}

impl Predecessor {
    /// Assigns the task, and stores that. The answers to the start command may be lost; without any, it
    /// was not sent.
    fn new(answer: Option<StartAnswer>) -> Self {
        let mut fixture = Fixture::new(1);
        let job = fixture.submit(1, vec![step(1, 4, 600)]);
        fixture.place();
        let batch = fixture.scheduler.take_batch(100, usize::MAX);
        let row = batch.rows[0].1.clone();
        fixture.scheduler.batch_stored(batch, fixture.now);
        let commands = fixture.scheduler.take_commands();
        let [Command::Start { key, run, .. }] = commands[..] else {
            panic!("expected one start command, got {commands:?}");
        };
        if let Some(answer) = answer {
            fixture.start_answered(key, run, answer);
        }
        Self {
            fixture,
            job,
            key,
            row,
            leases: Vec::new(),
        }
    }

    /// The executor does not answer any more, which is stored.
    fn store_silence(&mut self) {
        let executor = self.fixture.executor(1);
        let (scheduler, now) = (&mut self.fixture.scheduler, self.fixture.now);
        scheduler.grant_lease(executor, now);
        scheduler.mark_unreachable(executor, now);
        let leases = LeaseRecord {
            witnesses: Vec::new(),
            silent: scheduler.begin_storing_silence(now),
        };
        scheduler.silence_stored(true);
        self.leases = serde_json::to_vec(&leases).expect("a row can be serialised");
    }

    /// Returns a successor that reads the rows, with these changes to the row about leases. A later
    /// process is listed at the executor's address and answers there.
    fn successor(&self, change: impl Fn(&mut SilentExecutor)) -> Fixture {
        let mut next = Fixture::new(0);
        let record: JobRecord = serde_json::from_slice(&self.row).expect("a valid row");
        let submission = self.fixture.submission(self.job);
        let mut leases: LeaseRecord = serde_json::from_slice(&self.leases).expect("a valid row");
        leases.silent.iter_mut().for_each(change);
        next.scheduler.restore(submission, &record, next.now);
        next.scheduler
            .inherit_leases(next.now, next.now.after(LEASE));
        next.scheduler.inherit_silence(&leases.silent, next.now);
        next.list(vec![Listing {
            id: "later".into(),
            started_unix_ms: LATER_START,
            ..listing(1)
        }]);
        next.pass(1);
        let later = next.scheduler.fleet.find("later").expect("listed");
        let report = Report {
            started_unix_ms: Some(LATER_START),
            clock_ms: next.now.0,
            ..Report::default()
        };
        next.scheduler.report(later, &report, next.now, next.now);
        next
    }

    /// Returns how many crashes the successor counts under the task.
    fn crashes_at(&self, next: &Fixture) -> u32 {
        let task = next.scheduler.task(self.key);
        task.expect("the task exists").crashes
    }
}

/// A job must not be given up for crashes that came before its task was started.
#[test]
fn a_start_that_the_lost_owner_had_not_sent_is_not_suspected() {
    for (answer, crashes) in [
        (None, 0),
        (Some(StartAnswer::Unanswered), 1),
        (Some(StartAnswer::Started), 1),
    ] {
        let mut owner = Predecessor::new(answer);
        owner.store_silence();
        let next = owner.successor(|_| ());
        assert_eq!(owner.crashes_at(&next), crashes, "{answer:?}");
    }
}

/// BUDGET: the executor may be known to be silent before the start that crashed it is known to be
/// unanswered.
#[test]
fn a_start_that_turns_out_to_be_unanswered_on_a_silent_executor_is_stored_as_suspected() {
    let mut owner = Predecessor::new(None);
    owner.store_silence();
    assert!(!owner.fixture.scheduler.is_silence_due(owner.fixture.now));
    owner
        .fixture
        .start_answered(owner.key, 1, StartAnswer::Unanswered);
    assert!(owner.fixture.scheduler.is_silence_due(owner.fixture.now));
    owner.store_silence();
    let next = owner.successor(|_| ());
    assert_eq!(owner.crashes_at(&next), 1);
}

/// A crash must not be counted under a run that the stored row does not fit, such as a later one.
#[test]
fn a_row_about_another_incarnation_or_another_run_is_not_applied() {
    let mut owner = Predecessor::new(Some(StartAnswer::Started));
    owner.store_silence();
    let changes: [fn(&mut SilentExecutor); 4] = [
        |entry| entry.executor.started_unix_ms += 1,
        |entry| entry.suspects[0].run += 1,
        |entry| entry.suspects[0].slot += 1,
        |entry| entry.suspects[0].job = JobId::parse(&"f".repeat(16)).expect("valid"),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let next = owner.successor(change);
        assert_eq!(owner.crashes_at(&next), 0, "change {number}");
    }
}

/// A successor must read rows of earlier releases, which lack the address and the suspects.
#[test]
fn a_row_of_an_earlier_release_is_read() {
    let row = br#"{"silent":[{"id":"e1","born":1000,"lease_ms":4000}]}"#;
    let mut owner = Predecessor::new(Some(StartAnswer::Started));
    owner.leases = row.to_vec();
    let next = owner.successor(|_| ());
    assert_eq!(owner.crashes_at(&next), 0);
    assert_eq!(
        next.tasks_on(1),
        vec![owner.key],
        "the lease has not expired"
    );
}

/// The store refuses a larger row, and then nothing about silent executors is stored.
#[test]
fn the_row_about_leases_fits_when_executors_with_many_new_runs_become_silent() {
    let mut fixture = Fixture::new(0);
    let name = |number| format!("i-{number:010x}");
    let listing = |number| Listing {
        id: name(number).into(),
        address: format!("10.100.{}.{}:65535", number / 250, number % 250).into(),
        started_unix_ms: 1_796_373_333_000 + number as u64,
        ..listing(number)
    };
    fixture.list((100..600).map(listing).collect());
    let id = fixture.submit(1, vec![step(1_000, 4, 600)]);
    let job = fixture.scheduler.find(id).expect("known");
    for slot in 0..1_000 {
        let name = name(100 + slot as usize % 500);
        let executor = fixture.scheduler.fleet.find(&name).expect("listed");
        fixture
            .scheduler
            .assign(TaskKey { job, slot }, executor, fixture.now);
    }
    fixture.store();
    for command in fixture.scheduler.take_commands() {
        if let Command::Start { key, run, .. } = command {
            fixture.start_answered(key, run, StartAnswer::Started);
        }
    }
    for number in 100..600 {
        let executor = fixture.scheduler.fleet.find(&name(number)).expect("listed");
        fixture.scheduler.grant_lease(executor, fixture.now);
        fixture.scheduler.mark_unreachable(executor, fixture.now);
    }
    let silent = fixture.scheduler.begin_storing_silence(fixture.now);
    let suspects: usize = silent.iter().map(|entry| entry.suspects.len()).sum();
    assert_eq!(silent.len(), MAX_SILENT_EXECUTORS);
    assert_eq!(suspects, MAX_STORED_SUSPECTS);
    let witnesses = silent.iter().map(|entry| entry.executor.clone());
    let record = LeaseRecord {
        witnesses: witnesses.take(15).collect(),
        silent: silent.clone(),
    };
    let bytes = serde_json::to_vec(&record).expect("serialisable").len();
    println!("{bytes} bytes");
    assert!(bytes <= VALUE_BYTES, "{bytes} bytes");
}
