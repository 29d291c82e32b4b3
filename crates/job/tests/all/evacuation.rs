//! Evacuations of data centres: nothing new starts there, and what runs there goes on.

use std::sync::Arc;
use std::time::Duration;

use job::evacuation::EvacuationChange;
use job::evacuation::EvacuationProblem;
use job::evacuation::EvacuationUpdate;
use job::evacuation::Evacuations;
use job::evacuation::max_knowledge_age;
use job::fleet::Listing;
use job::id::JobId;
use job::scheduler::Command;
use job::scheduler::Event;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::spec::StepSpec;
use job::wait_reason::WaitReason;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::service;
use crate::fixture::step;

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn update(data_centre: &str, is_evacuated: bool) -> EvacuationUpdate {
    EvacuationUpdate {
        data_centre: data_centre.into(),
        is_evacuated,
    }
}

/// Returns the listing of an executor in this data centre.
fn in_data_centre(number: usize, data_centre: &str) -> Listing {
    Listing {
        data_centre: data_centre.into(),
        ..listing(number)
    }
}

/// Returns a fixture with executor 1 in the data centre `x` and executor 2 in `y`.
fn two_data_centres() -> Fixture {
    let mut fixture = Fixture::new(0);
    fixture.list(vec![in_data_centre(1, "x"), in_data_centre(2, "y")]);
    fixture
}

impl Fixture {
    fn evacuate(&mut self, data_centres: &[&str]) -> Vec<Event> {
        let now = self.now;
        self.scheduler.take_events();
        self.scheduler
            .replace_evacuations(&names(data_centres), now);
        self.scheduler.take_events()
    }

    fn job_state(&self, id: JobId) -> Option<JobState> {
        self.scheduler.state(id)
    }
}

/// Guards against an evacuation that is logged again, or that a read of all rows begins anew or loses.
#[test]
fn updates_and_whole_reads_lead_to_the_same_set_and_tell_each_change_once() {
    let mut evacuations = Evacuations::default();
    let changes = evacuations.update(&[update("x", true), update("x", true)], Mono(5));
    let began = EvacuationChange::Began {
        data_centre: "x".into(),
    };
    assert_eq!(changes, [began]);
    assert!(evacuations.replace(&names(&["x"]), Mono(9)).is_empty());
    let (_, evacuation) = evacuations.iter().next().expect("one evacuation");
    assert_eq!(evacuation.since, Mono(5), "a read does not begin it anew");
    evacuations.count_withdrawn_start("x");
    let changes = evacuations.replace(&names(&["y"]), Mono(20));
    let [
        EvacuationChange::Ended {
            data_centre,
            evacuation,
        },
        EvacuationChange::Began { .. },
    ] = &changes[..]
    else {
        panic!("expected one end and one beginning, got {changes:?}");
    };
    assert_eq!((&**data_centre, evacuation.withdrawn_starts), ("x", 1));
    assert!(evacuations.contains("y") && !evacuations.contains("x"));
    // A row that was written and removed between two calls.
    let changes = evacuations.update(&[update("z", true), update("z", false)], Mono(30));
    assert_eq!(changes.len(), 2);
    assert!(!evacuations.contains("z"));
    assert!(
        evacuations
            .update(&[update("z", false)], Mono(31))
            .is_empty()
    );
}

/// Guards against starts by an answer that is too old, and against a limit of zero, which would end all
/// starts.
#[test]
fn knowledge_is_old_before_the_deadline_and_never_at_once() {
    let second = Duration::from_secs(1);
    let cases = [
        (5 * second, second, 4 * second),
        (2 * second, second, second),
        (second, second, second / 2),
        (Duration::ZERO, second, Duration::ZERO),
    ];
    for (deadline, max_delay, expected) in cases {
        assert_eq!(max_knowledge_age(deadline, max_delay), expected);
    }
}

/// Guards against a kind of task whose placement does not look at evacuations.
#[test]
fn nothing_of_any_kind_is_placed_in_an_evacuated_data_centre() {
    let gang = StepSpec {
        gang: true,
        ..step(3, 4, 1_000)
    };
    let steps = [
        step(6, 4, 1_000),
        service(6, 4, "image"),
        best_effort(6, 4, "image"),
        gang,
    ];
    for step in steps {
        let mut fixture = two_data_centres();
        fixture.evacuate(&["x"]);
        fixture.submit(1, vec![step.clone()]);
        let count = step.count as usize;
        assert_eq!(fixture.place(), count, "{step:?}");
        assert_eq!(fixture.tasks_on(1).len(), 0, "{step:?}");
        assert_eq!(fixture.tasks_on(2).len(), count, "{step:?}");
    }
}

/// Guards against an executor that is first listed in the data centre after the evacuation has begun.
#[test]
fn an_executor_that_is_listed_during_an_evacuation_gets_nothing_until_it_ends() {
    let mut fixture = Fixture::new(0);
    fixture.evacuate(&["x"]);
    fixture.list(vec![in_data_centre(1, "x")]);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    assert_eq!(fixture.place(), 0);
    let key = fixture.tasks_of_job(1)[0];
    let reason = fixture.scheduler.wait_reason(key, fixture.now, 0);
    let expected = WaitReason::NoExecutor {
        service: "service".to_owned(),
        listed: 1,
        unreachable: 0,
        draining: 0,
        evacuated: 1,
        report_due: 0,
        entry_due: 0,
        cooling_down: 0,
    };
    assert_eq!(reason, Some(expected));
    fixture.list(vec![in_data_centre(1, "y")]);
    assert_eq!(fixture.place(), 1, "the executor is listed elsewhere");
}

/// Guards against tasks that start after an evacuation because they were assigned before it.
#[test]
fn starts_are_withdrawn_whatever_became_of_them_so_far() {
    // Stored after the evacuation, waiting for a slot, sent without an answer.
    for (stored_before, unanswered) in [(false, false), (true, false), (true, true)] {
        let mut fixture = Fixture::new(0);
        fixture.list(vec![in_data_centre(1, "x")]);
        fixture.submit(1, vec![step(1, 4, 1_000)]);
        fixture.place();
        if stored_before {
            fixture.store();
        }
        let key = fixture.tasks_of_job(1)[0];
        if unanswered {
            fixture.start_answered(key, 1, StartAnswer::Unanswered);
        }
        fixture.evacuate(&["x"]);
        if !stored_before {
            fixture.store();
        }
        assert!(!fixture.scheduler.is_start_wanted(key, 1));
        let now = fixture.now;
        fixture.scheduler.take_commands();
        fixture.scheduler.withdraw_start(key, 1, now);
        let stops = fixture.scheduler.take_commands();
        if unanswered {
            // The command may still be carried out, so that the run is stopped.
            assert!(matches!(stops[..], [Command::Stop { .. }]), "{stops:?}");
            assert_eq!(fixture.tasks_on(1).len(), 1);
        } else {
            assert!(stops.is_empty(), "{stops:?}");
            assert_eq!(fixture.tasks_on(1).len(), 0);
        }
        let withdrawn = fixture.scheduler.evacuations().iter();
        let withdrawn: Vec<u64> = withdrawn.map(|(_, one)| one.withdrawn_starts).collect();
        assert_eq!(withdrawn, [1]);
        let events = fixture.scheduler.take_events();
        let expected = Event::StartWithdrawn {
            data_centre: "x".into(),
        };
        assert_eq!(events, [expected]);
        assert_eq!(fixture.place(), 0);
        fixture.evacuate(&[]);
        fixture.pass(100);
        assert_eq!(fixture.place(), usize::from(!unanswered));
    }
}

/// Guards against a count of starts withdrawn by an evacuation that includes those of cancelled jobs.
#[test]
fn a_start_that_is_stopped_for_another_reason_is_not_counted() {
    let mut fixture = Fixture::new(0);
    fixture.list(vec![in_data_centre(1, "x")]);
    let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
    let (key, run) = fixture.only_start();
    fixture.scheduler.cancel(job);
    fixture.evacuate(&["x"]);
    let now = fixture.now;
    fixture.scheduler.withdraw_start(key, run, now);
    let withdrawn = fixture.scheduler.evacuations().iter();
    assert_eq!(
        withdrawn.map(|(_, one)| one.withdrawn_starts).sum::<u64>(),
        0
    );
}

/// Guards against runs that are stopped by an evacuation or lose their lease.
#[test]
fn what_runs_in_an_evacuated_data_centre_runs_to_its_end() {
    let mut fixture = Fixture::new(0);
    fixture.list(vec![in_data_centre(1, "x")]);
    let job = fixture.submit(1, vec![step(2, 4, 1_000)]);
    fixture.start_all();
    let before = fixture.scheduler.fleet.get(fixture.executor(1));
    let expiry_before = before.expect("executor 1").leases_expire_at;
    let events = fixture.evacuate(&["x"]);
    assert_eq!(
        events[0],
        Event::EvacuationBegan {
            data_centre: "x".into(),
            executors: 1,
            tasks: 2,
        }
    );
    for _ in 0..40 {
        fixture.pass(100);
        let now = fixture.now;
        fixture.scheduler.tick(now);
        let executor = fixture.executor(1);
        assert!(fixture.scheduler.grant_lease(executor, now).is_some());
        fixture.report(1, vec![]);
    }
    assert!(fixture.scheduler.take_commands().is_empty());
    let executor = fixture.scheduler.fleet.get(fixture.executor(1));
    assert!(executor.expect("executor 1").leases_expire_at > expiry_before);
    let tasks = fixture.tasks_on(1);
    let ends = (1..).zip(&tasks);
    let ends = ends
        .map(|(sequence, key)| fixture.end(sequence, *key, RunOutcome::Done))
        .collect();
    fixture.report(1, ends);
    fixture.store();
    assert_eq!(fixture.job_state(job), Some(JobState::Succeeded));
    let executor = fixture.executor(1);
    assert_eq!(fixture.scheduler.acknowledgement(executor), 2);
}

/// Guards against work that is stopped in an evacuated data centre to make room that nothing may use:
/// for short work, and for a long-running task whose turn it is.
#[test]
fn nothing_is_stopped_in_an_evacuated_data_centre_to_free_capacity() {
    for evacuated in [false, true] {
        let mut fixture = two_data_centres();
        fixture.submit(1, vec![service(2, 64, "image")]);
        fixture.start_all();
        fixture.pass(10_000);
        for number in [1, 2] {
            fixture.report(number, vec![]);
        }
        if evacuated {
            fixture.evacuate(&["x", "y"]);
        }
        fixture.submit(2, vec![step(8, 8, 2_000)]);
        let mut stops = 0;
        for _ in 0..30 {
            fixture.pass(100);
            let now = fixture.now;
            fixture.scheduler.tick(now);
            fixture.place();
            fixture.store();
            let commands = fixture.scheduler.take_commands().into_iter();
            stops += commands
                .filter(|command| matches!(command, Command::Stop { .. }))
                .count();
        }
        assert_eq!(stops > 0, !evacuated, "{stops} stops");
    }
}

/// Guards against a long-running task that is stopped so that another one takes its place, in a data
/// centre where nothing may start.
#[test]
fn a_task_whose_turn_it_is_does_not_wait_for_a_place_in_an_evacuated_data_centre() {
    for evacuated in [false, true] {
        let mut fixture = two_data_centres();
        fixture.submit(1, vec![service(1, 64, "image")]);
        fixture.submit(2, vec![service(1, 64, "image")]);
        fixture.start_all();
        let lost = fixture.tasks_on(2)[0];
        // The run on executor 2 ends with its lease, and the executor leaves.
        let end = fixture.end(1, lost, RunOutcome::LeaseExpired);
        fixture.report(2, vec![end]);
        fixture.list(vec![in_data_centre(1, "x")]);
        if evacuated {
            fixture.evacuate(&["x"]);
        }
        let mut turns = 0;
        for _ in 0..100 {
            fixture.pass(100);
            fixture.list(vec![in_data_centre(1, "x")]);
            fixture.report(1, vec![]);
            let now = fixture.now;
            fixture.scheduler.tick(now);
            fixture.place();
            fixture.store();
            fixture.scheduler.take_commands();
            let events = fixture.scheduler.take_events().into_iter();
            turns += events
                .filter(|event| matches!(event, Event::TurnTaken { .. }))
                .count();
            if turns > 0 {
                break;
            }
        }
        assert_eq!(turns > 0, !evacuated, "{turns} turns");
    }
}

/// Guards against limits and usage that count capacity where nothing may start.
#[test]
fn capacity_in_an_evacuated_data_centre_is_not_capacity_of_its_service() {
    let mut fixture = two_data_centres();
    fixture.evacuate(&["x"]);
    let usage = fixture.scheduler.usage(fixture.now, 0);
    assert_eq!(usage["service"].executors, 1);
    assert_eq!(usage["service"].capacity.cpu_millis, 64_000);
    assert_eq!(usage["service"].free.cpu_millis, 64_000);
    assert_eq!(fixture.scheduler.fleet.len_without_evacuated(), 1);
}

/// Guards against a misspelt name or a lost service that nobody notices, and against a log line for each
/// list of executors.
#[test]
fn an_evacuation_that_cannot_have_the_expected_effect_is_told_once_and_obeyed() {
    let unknown = Event::EvacuationProblemFound {
        problem: EvacuationProblem::UnknownDataCentre {
            data_centre: "nowhere".into(),
        },
    };
    let nothing_left = Event::EvacuationProblemFound {
        problem: EvacuationProblem::NoExecutorLeft {
            service: "service".into(),
        },
    };
    let mut fixture = two_data_centres();
    let events = fixture.evacuate(&["nowhere"]);
    assert!(events.contains(&unknown), "{events:?}");
    let events = fixture.evacuate(&["nowhere", "x", "y"]);
    assert!(events.contains(&nothing_left), "{events:?}");
    assert!(!events.contains(&unknown), "told again: {events:?}");
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    assert_eq!(fixture.place(), 0);
    fixture.list(vec![in_data_centre(1, "x"), in_data_centre(2, "y")]);
    assert!(fixture.scheduler.take_events().is_empty());
    let events = fixture.evacuate(&["nowhere", "x"]);
    assert!(!events.contains(&nothing_left), "{events:?}");
    assert_eq!(fixture.scheduler.evacuation_problems().len(), 1);
    assert_eq!(fixture.place(), 1);
}

/// Guards against a successor that reports every data centre as unknown, because it reads the evacuations
/// before it has the list of executors.
#[test]
fn no_data_centre_is_called_unknown_before_there_is_a_list() {
    let mut fixture = two_data_centres();
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    let events = next.evacuate(&["x"]);
    let is_problem = |event: &Event| matches!(event, Event::EvacuationProblemFound { .. });
    assert!(!events.iter().any(is_problem), "{events:?}");
    next.list(vec![in_data_centre(1, "x"), in_data_centre(2, "y")]);
    assert!(!next.scheduler.take_events().iter().any(is_problem));
}
