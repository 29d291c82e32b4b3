//! Problems of the operators' document: each is found once and at its field, and a document without
//! problems has no findings.

use std::time::Duration;

use job::fleet::Listing;
use job::plan::Advisor;
use job::plan::Limits;
use job::plan::MAX_HEADER_BYTES;
use job::plan::Plan;
use job::plan::Queue;
use job::plan::Service;
use job::plan_check::LimitField;
use job::plan_check::MIN_BODY_BYTES;
use job::plan_check::MIN_HEADER_BYTES;
use job::plan_check::PlanFinding;
use job::plan_check::Problem;
use job::plan_check::QueueField;
use job::plan_check::RequiredLabel;
use job::plan_check::Subject;
use job::plan_check::Surroundings;
use job::plan_check::check;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::plan_gen::ValidPlan;
use crate::plan_gen::with_queues;

const SEED: u64 = 20_261_205;
const GEN_SIZE: usize = 30;

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "jobs.example".into(),
        path_prefix: prefix.into(),
        service: "s".into(),
        priority: 1,
        attempts: 2,
        stretch: 2.0,
        target: Duration::from_secs(1),
        advisor: None,
    }
}

/// A document with two queues and no problem.
fn plan() -> Plan {
    Plan {
        version: 5,
        queues: vec![queue("a", "/a/"), queue("b", "/b/")].into(),
        services: [("s".into(), Service::default())].into_iter().collect(),
        limits: Limits::default(),
    }
}

fn executors() -> Vec<Listing> {
    vec![Listing {
        id: "e-1".into(),
        service: "s".into(),
        labels: vec!["rack-1".into()],
        ..Listing::default()
    }]
}

fn check_alone(plan: &Plan) -> Vec<PlanFinding> {
    check(plan, &Surroundings::default())
}

fn on_queue(index: usize, name: &str, field: QueueField) -> Subject {
    Subject::Queue {
        index,
        name: name.into(),
        field,
    }
}

/// Changes the first queue of a document without problems and returns the findings.
fn check_first(change: impl Fn(&mut Queue)) -> Vec<(Subject, Problem)> {
    let plan = plan();
    let mut queues: Vec<Queue> = plan.queues.clone().into();
    change(&mut queues[0]);
    pairs(check_alone(&with_queues(plan, queues)))
}

fn pairs(findings: Vec<PlanFinding>) -> Vec<(Subject, Problem)> {
    let pair = |finding: PlanFinding| (finding.subject, finding.problem);
    findings.into_iter().map(pair).collect()
}

/// Guards against findings on documents that are in order, which operators would learn to ignore.
#[test]
fn a_document_without_problems_has_no_findings() {
    let executors = executors();
    let required_labels = [RequiredLabel {
        queue: "a".into(),
        label: "rack-1".into(),
    }];
    let plan = plan();
    let surroundings = Surroundings {
        executors: Some(&executors),
        required_labels: &required_labels,
        in_force: Some(&plan),
    };
    assert_eq!(check(&plan, &surroundings), []);
}

/// Guards against a problem that is missed, found twice or reported at another field.
#[test]
fn each_problem_of_a_queue_is_found_once_and_at_its_field() {
    let expected = |field, problem| vec![(on_queue(0, "a", field), problem)];
    for host in ["", "jobs.example:8161", "[::1]", "jobs example", "jöbs"] {
        assert_eq!(
            check_first(|queue| queue.host = host.into()),
            expected(
                QueueField::Host,
                Problem::UnmatchableHost { host: host.into() }
            ),
            "{host}"
        );
    }
    for prefix in ["", "a/", "/a?x=", "/a#", "/a /"] {
        assert_eq!(
            check_first(|queue| queue.path_prefix = prefix.into()),
            expected(
                QueueField::PathPrefix,
                Problem::UnmatchablePrefix {
                    prefix: prefix.into()
                }
            ),
            "{prefix}"
        );
    }
    assert_eq!(
        check_first(|queue| queue.service = "t".into()),
        expected(
            QueueField::Service,
            Problem::UnknownService {
                service: "t".into()
            }
        )
    );
    assert_eq!(
        check_first(|queue| queue.attempts = 0),
        expected(QueueField::Attempts, Problem::NoAttempts)
    );
    assert_eq!(
        check_first(|queue| queue.stretch = -1.0),
        expected(QueueField::Stretch, Problem::NegativeStretch)
    );
    assert_eq!(
        check_first(|queue| queue.advisor = Some(advisor(200, 200))),
        expected(
            QueueField::AdvisorTicketTtl,
            Problem::TicketsExpireFirst {
                ttl_ms: 200,
                latency_ms: 200
            }
        )
    );
    assert_eq!(
        check_first(|queue| queue.advisor = Some(advisor(200, 201))),
        []
    );
}

fn advisor(latency_ms: u64, ttl_ms: u64) -> Advisor {
    Advisor {
        base_latency: Duration::from_millis(latency_ms),
        latency_per_executor: Duration::ZERO,
        ticket_ttl: Duration::from_millis(ttl_ms),
    }
}

/// Guards against a finding at the queue whose terms apply instead of the one whose terms do not.
#[test]
fn a_name_that_is_used_twice_is_found_at_the_queue_that_is_not_found_by_it() {
    let queues = vec![queue("a", "/a/"), queue("a", "/b/")];
    let found = pairs(check_alone(&with_queues(plan(), queues)));
    let problem = Problem::DuplicateName { name: "a".into() };
    assert_eq!(found, [(on_queue(0, "a", QueueField::Name), problem)]);
}

#[test]
fn the_queue_that_a_repeated_prefix_takes_all_requests_from_is_found() {
    let mut later = queue("b", "/a/");
    later.host = "JOBS.example".into();
    let plan = with_queues(plan(), vec![queue("a", "/a/"), later]);
    let (taken, _) = plan.route("jobs.example", "/a/0").expect("a queue");
    assert_eq!(
        &*taken.name, "b",
        "the check follows the rule of the routing"
    );
    let problem = Problem::RepeatedPrefix { by: "b".into() };
    assert_eq!(
        pairs(check_alone(&plan)),
        [(on_queue(0, "a", QueueField::PathPrefix), problem)]
    );
}

/// Guards against requests that go to another queue unnoticed, because of the first digits of a job id.
#[test]
fn a_prefix_that_continues_another_with_digits_of_job_ids_takes_its_jobs() {
    let plan = with_queues(plan(), vec![queue("a", "/a/"), queue("b", "/a/0f")]);
    let (taken, _) = plan
        .route("jobs.example", "/a/0f00000000000000")
        .expect("a queue");
    assert_eq!(&*taken.name, "b");
    let problem = Problem::ShadowedJobs {
        by: "b".into(),
        digits: "0f".into(),
    };
    assert_eq!(
        pairs(check_alone(&plan)),
        [(on_queue(0, "a", QueueField::PathPrefix), problem)]
    );
    for longer in ["/a/0g", "/a/b/", "/a/00000000000000000"] {
        let queues = vec![queue("a", "/a/"), queue("b", longer)];
        let found = check_alone(&with_queues(self::plan(), queues));
        assert_eq!(found, [], "{longer} takes no job of the queue a");
    }
}

/// Guards against findings about executors while no list of them is known.
#[test]
fn services_without_executors_and_labels_that_none_has_are_found_with_a_list_only() {
    let mut plan = plan();
    plan.services.insert("idle".into(), Service::default());
    let mut queues: Vec<Queue> = plan.queues.clone().into();
    queues[1].service = "idle".into();
    let plan = with_queues(plan, queues);
    let required_labels = [RequiredLabel {
        queue: "a".into(),
        label: "gpu".into(),
    }];
    let executors = executors();
    let mut surroundings = Surroundings {
        executors: Some(&executors),
        required_labels: &required_labels,
        in_force: None,
    };
    assert_eq!(
        pairs(check(&plan, &surroundings)),
        [
            (
                on_queue(0, "a", QueueField::Service),
                Problem::UnmatchedLabel {
                    service: "s".into(),
                    label: "gpu".into()
                }
            ),
            (
                on_queue(1, "b", QueueField::Service),
                Problem::NoExecutors {
                    service: "idle".into()
                }
            )
        ]
    );
    surroundings.executors = None;
    assert_eq!(check(&plan, &surroundings), []);
}

/// A change of the limits, the field of the finding, and the problem.
type LimitCase = (fn(&mut Limits), LimitField, Problem);

#[test]
fn each_problem_of_the_limits_is_found_once() {
    let below = |bytes, needed| Problem::BelowJob { bytes, needed };
    let cases: [LimitCase; 5] = [
        (
            |limits| limits.body_bytes = MIN_BODY_BYTES - 1,
            LimitField::BodyBytes,
            below(MIN_BODY_BYTES - 1, MIN_BODY_BYTES),
        ),
        (
            |limits| limits.header_bytes = 0,
            LimitField::HeaderBytes,
            below(0, MIN_HEADER_BYTES),
        ),
        (
            |limits| limits.header_bytes = MAX_HEADER_BYTES + 1,
            LimitField::HeaderBytes,
            Problem::AboveMaximum {
                bytes: MAX_HEADER_BYTES + 1,
                max: MAX_HEADER_BYTES,
            },
        ),
        (
            |limits| limits.header_timeout = Duration::ZERO,
            LimitField::HeaderTimeout,
            Problem::ZeroTimeout,
        ),
        (
            |limits| limits.idle_timeout = Duration::ZERO,
            LimitField::IdleTimeout,
            Problem::ZeroTimeout,
        ),
    ];
    for (change, field, problem) in cases {
        let mut plan = plan();
        change(&mut plan.limits);
        let found = pairs(check_alone(&plan));
        assert_eq!(found, [(Subject::Limit(field), problem)]);
    }
}

/// Guards against a change without effect: hosts ignore a document whose version is not above the one in
/// force.
#[test]
fn a_change_without_a_higher_version_is_found() {
    let in_force = plan();
    let surroundings = Surroundings {
        in_force: Some(&in_force),
        ..Surroundings::default()
    };
    let mut changed = plan();
    changed.limits.idle_timeout = Duration::from_secs(9);
    let problem = Problem::VersionNotAbove {
        version: 5,
        in_force: 5,
    };
    let found = pairs(check(&changed, &surroundings));
    assert_eq!(found, [(Subject::Version, problem)]);
    changed.version = 6;
    assert_eq!(check(&changed, &surroundings), []);
}

#[test]
fn a_generated_document_without_problems_has_no_findings() {
    fn property(plan: ValidPlan) -> bool {
        check_alone(&plan.0).is_empty()
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn(ValidPlan) -> bool);
}

/// Guards against a check that depends on the position of a queue or on the queues beside it.
#[test]
fn a_problem_in_any_queue_of_a_generated_document_is_found_there_and_only_there() {
    fn property(plan: ValidPlan, at: usize, kind: u8) -> bool {
        let mut queues: Vec<Queue> = plan.0.queues.clone().into();
        let at = at % queues.len();
        let queue = &mut queues[at];
        let field = match kind % 6 {
            0 => {
                queue.host = "h:1".into();
                QueueField::Host
            }
            1 => {
                queue.path_prefix = "x".into();
                QueueField::PathPrefix
            }
            2 => {
                queue.service = "absent".into();
                QueueField::Service
            }
            3 => {
                queue.attempts = 0;
                QueueField::Attempts
            }
            4 => {
                queue.stretch = -0.5;
                QueueField::Stretch
            }
            _ => {
                queue.advisor = Some(advisor(1, 0));
                QueueField::AdvisorTicketTtl
            }
        };
        let name = queue.name.clone();
        let found = check_alone(&with_queues(plan.0, queues));
        found.len() == 1 && found[0].subject == on_queue(at, &name, field)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn(ValidPlan, usize, u8) -> bool);
}
