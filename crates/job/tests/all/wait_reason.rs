//! Tests of the explanation of waiting tasks.

use std::sync::Arc;
use std::time::Duration;

use job::id::JobId;
use job::interference::LearnedPair;
use job::plan::Plan;
use job::scheduler::Command;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::Submission;
use job::spec::JobSpec;
use job::spec::Repeat;
use job::spec::StepSpec;
use job::wait_reason::LeastDisturbed;
use job::wait_reason::WaitReason;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::QUEUE;
use crate::fixture::advised_plan;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::service;
use crate::fixture::step;

const UNIX_MS: u64 = 1_000_000;

impl Fixture {
    /// Returns why the first waiting task of the job's last waiting step does not start.
    pub fn wait_reason(&self, id: JobId) -> Option<WaitReason> {
        let job = self.scheduler.job(self.scheduler.find(id)?)?;
        let steps = self.scheduler.waiting_steps(job, self.now, UNIX_MS);
        steps.last().map(|step| step.wait_reason.clone())
    }
}

#[test]
fn each_constraint_is_reported() {
    let labelled = StepSpec {
        label: Some("fast".into()),
        ..step(1, 1, 100)
    };
    let spread = StepSpec {
        max_per_executor: 1,
        ..step(3, 1, 100)
    };
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1, 100)
    };
    let gang = StepSpec {
        gang: true,
        ..step(3, 60, 100)
    };
    let candidates = 2;
    let cases: [(Vec<StepSpec>, Option<WaitReason>); 8] = [
        (vec![step(1, 1, 100)], None),
        (
            vec![labelled],
            Some(WaitReason::NoLabel {
                label: "fast".into(),
                candidates,
            }),
        ),
        (
            vec![spread],
            Some(WaitReason::MaxPerExecutor { max: 1, candidates }),
        ),
        (
            vec![step(1, 65, 100)],
            Some(WaitReason::TooLarge { candidates }),
        ),
        (
            vec![step(3, 60, 100)],
            Some(WaitReason::NoCapacity {
                candidates,
                cpu_short: 2,
                memory_short: 0,
                long_running_percent: 0,
                batch_percent: 93,
            }),
        ),
        (
            vec![best_effort(4, 40, "batch")],
            Some(WaitReason::NoSpareCpu { candidates }),
        ),
        (
            vec![step(1, 1, 100), second],
            Some(WaitReason::EarlierStep { step: 0 }),
        ),
        (vec![gang], Some(WaitReason::Gang { tasks: 3 })),
    ];
    for (steps, expected) in cases {
        let mut fixture = Fixture::new(2);
        let id = fixture.submit(1, steps.clone());
        fixture.place();
        assert_eq!(fixture.wait_reason(id), expected, "{steps:?}");
    }
}

#[test]
fn the_states_of_unavailable_executors_are_counted() {
    let mut fixture = Fixture::new(3);
    let id = fixture.submit(1, vec![step(1, 1, 100)]);
    let unreachable = fixture.executor(1);
    fixture.scheduler.mark_unreachable(unreachable, fixture.now);
    let mut listings: Vec<_> = (1..=3).map(listing).collect();
    listings[1].draining = true;
    listings[1].drain_remaining = Some(Duration::from_secs(5));
    fixture.list(listings);
    let cooling_down = fixture.executor(3);
    let executor = fixture
        .scheduler
        .fleet
        .get_mut(cooling_down)
        .expect("the executor is known");
    executor.not_before = fixture.now.after(Duration::from_secs(1));
    let wait_reason = fixture.wait_reason(id).expect("the task waits");
    assert_eq!(
        wait_reason.to_string(),
        "none of the 3 executors of service takes tasks: 1 do not answer, 1 leave, 1 rest"
    );
}

#[test]
fn backoff_and_due_time_are_reported() {
    let mut fixture = Fixture::new(1);
    let id = fixture.submit(1, vec![step(1, 1, 100)]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(1, task, RunOutcome::Failed);
    fixture.report(1, vec![end]);
    assert!(
        matches!(fixture.wait_reason(id), Some(WaitReason::Backoff { remaining_ms }) if remaining_ms > 0)
    );

    let later = JobId::parse("00000000000000ff").expect("a valid job identifier");
    let spec = JobSpec {
        steps: vec![step(1, 1, 100)],
        repeat: Some(Repeat {
            first_due_unix_ms: UNIX_MS + 500,
            interval_ms: 1_000,
            times: 2,
        }),
        ..JobSpec::default()
    };
    let submission = Submission {
        id: later,
        queue: QUEUE.into(),
        age_ms: 0,
        spec: Arc::new(spec),
        row_version: 1,
        terms: None,
    };
    fixture.scheduler.submit(submission, fixture.now);
    assert_eq!(
        fixture.wait_reason(later),
        Some(WaitReason::NotDue { due_in_ms: 1_500 })
    );
}

#[test]
fn a_missing_queue_and_missing_advice_are_reported() {
    let mut fixture = Fixture::new(1);
    let id = fixture.submit(1, vec![step(1, 1, 100)]);
    fixture.scheduler.plan = Arc::new(Plan::default());
    let queue = QUEUE.to_owned();
    assert_eq!(fixture.wait_reason(id), Some(WaitReason::NoQueue { queue }));
    fixture.scheduler.plan = advised_plan();
    let wait_reason = |candidates, denied| Some(WaitReason::NotGranted { candidates, denied });
    assert_eq!(fixture.wait_reason(id), wait_reason(1, 0));
    fixture.place();
    let request = fixture.scheduler.take_advice_requests().remove(0);
    let (scheduler, now) = (&mut fixture.scheduler, fixture.now);
    scheduler.advice_answered(&request, Some(&[]), now, now);
    assert_eq!(fixture.wait_reason(id), wait_reason(1, 1));
}

#[test]
fn interference_is_reported_for_a_best_effort_task_beside_a_service_over_its_target() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(1, 8, "web")]);
    fixture.start_all();
    let service = fixture.tasks_on(1)[0];
    let row = fixture.running(service, 100, 80);
    fixture.report_rows(1, vec![row], Vec::new());
    let id = fixture.submit(2, vec![best_effort(1, 4, "batch")]);
    let key = fixture.executor(1);
    fixture.scheduler.throttle_after_report(key, fixture.now);
    fixture.place();
    assert_eq!(
        fixture.wait_reason(id),
        Some(WaitReason::Interference {
            candidates: 1,
            over_target: 1,
            least_disturbed: None,
        })
    );
    let size = fixture
        .scheduler
        .fleet
        .get(key)
        .expect("the executor is known")
        .free();
    assert!(
        Size::new(0, 1_000, 0).fits(&size),
        "there are enough free resources"
    );
}

#[test]
fn interference_names_the_images_the_estimate_and_its_deviation() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, vec![service(1, 40, "web"), service(1, 40, "mail")]);
    fixture.start_all();
    let learned = |service: &str, mean| LearnedPair {
        service: service.into(),
        best_effort: "batch".into(),
        mean,
        variance: 0.06,
    };
    let pairs = vec![learned("web", 4.0), learned("mail", 2.0)];
    fixture.scheduler.interference.restore(&pairs);
    let id = fixture.submit(2, vec![best_effort(1, 16, "batch")]);
    fixture.place();
    let reason = fixture.wait_reason(id).expect("the task waits");
    // The task needs a quarter of an executor, and a restored variance is 0.1 larger.
    assert_eq!(
        reason,
        WaitReason::Interference {
            candidates: 2,
            over_target: 0,
            least_disturbed: Some(LeastDisturbed {
                image: "batch".into(),
                service: "mail".into(),
                caused_thousandths: 500,
                deviation_thousandths: 100,
            }),
        }
    );
    assert_eq!(
        reason.to_string(),
        "it would disturb the services on each of 2 executors: 0 are over a target, elsewhere \
         batch disturbs mail least, by 500 thousandths (deviation 100)"
    );
}

#[test]
fn the_limit_has_the_same_name_in_metrics_and_in_dumps() {
    let executor: Arc<str> = "e1".into();
    let waited_ms = 2_000;
    let candidates = 1;
    let reasons = [
        WaitReason::NotDue { due_in_ms: 1 },
        WaitReason::EarlierStep { step: 0 },
        WaitReason::Backoff { remaining_ms: 1 },
        WaitReason::NoQueue {
            queue: QUEUE.to_owned(),
        },
        WaitReason::NotGranted {
            candidates,
            denied: 1,
        },
        WaitReason::NoExecutor {
            service: "service".to_owned(),
            listed: 1,
            unreachable: 1,
            draining: 0,
            evacuated: 0,
            report_due: 0,
            entry_due: 0,
            cooling_down: 0,
        },
        WaitReason::NoLabel {
            label: "fast".to_owned(),
            candidates,
        },
        WaitReason::MaxPerExecutor { max: 1, candidates },
        WaitReason::TooLarge { candidates },
        WaitReason::NoCapacity {
            candidates,
            cpu_short: 1,
            memory_short: 1,
            long_running_percent: 50,
            batch_percent: 40,
        },
        WaitReason::Reserved { candidates },
        WaitReason::WarmingUp { candidates },
        WaitReason::NoSpareCpu { candidates },
        WaitReason::Interference {
            candidates,
            over_target: 1,
            least_disturbed: None,
        },
        WaitReason::Gang { tasks: 2 },
        WaitReason::NextRound,
        WaitReason::NotStored {
            executor: executor.clone(),
            waited_ms,
        },
        WaitReason::StartPending {
            executor: executor.clone(),
            waited_ms,
        },
        WaitReason::StartUnanswered {
            executor,
            waited_ms,
        },
    ];
    for reason in reasons {
        let dumped = serde_json::to_value(&reason).expect("the reason can be serialized");
        assert_eq!(dumped["limit"], reason.limit(), "{reason:?}");
    }
}

#[test]
fn an_overdue_start_names_its_executor_and_what_it_waits_for() {
    let mut fixture = Fixture::new(1);
    let id = fixture.submit(1, vec![step(2, 1, 100)]);
    fixture.place();
    fixture.pass(1_999);
    assert_eq!(fixture.wait_reason(id), None, "not overdue yet");
    fixture.pass(1);
    let executor: Arc<str> = "e1".into();
    let not_stored = WaitReason::NotStored {
        executor: executor.clone(),
        waited_ms: 2_000,
    };
    assert_eq!(fixture.wait_reason(id), Some(not_stored));

    fixture.store();
    let pending = WaitReason::StartPending {
        executor: executor.clone(),
        waited_ms: 2_000,
    };
    assert_eq!(fixture.wait_reason(id), Some(pending));

    for command in fixture.scheduler.take_commands() {
        if let Command::Start { key, run, .. } = command {
            let answer = StartAnswer::Unanswered;
            fixture
                .scheduler
                .start_answered(key, run, answer, fixture.now);
        }
    }
    let unanswered = WaitReason::StartUnanswered {
        executor,
        waited_ms: 2_000,
    };
    assert_eq!(fixture.wait_reason(id), Some(unanswered));
    let job = fixture.scheduler.find(id).expect("the job is known");
    let job = fixture.scheduler.job(job).expect("the job is known");
    let steps = fixture.scheduler.waiting_steps(job, fixture.now, UNIX_MS);
    assert_eq!(steps.len(), 1, "one entry a step");
    assert_eq!(steps[0].tasks, 2);

    fixture.scheduler.cancel(id);
    assert_eq!(fixture.wait_reason(id), None, "a job that has ended");
}
