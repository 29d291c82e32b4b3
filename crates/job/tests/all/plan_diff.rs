//! Differences between documents, by meaning.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use job::plan::Advisor;
use job::plan::Queue;
use job::plan::Service;
use job::plan_check::LimitField;
use job::plan_check::QueueField;
use job::plan_diff::EntryChange;
use job::plan_diff::FieldChange;
use job::plan_diff::PlanDiff;
use job::plan_diff::ServiceField;
use job::plan_diff::diff;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::plan_gen::ValidPlan;
use crate::plan_gen::with_queues;

const SEED: u64 = 20_261_205;
const GEN_SIZE: usize = 30;

fn quickcheck() -> QuickCheck {
    println!("seed {SEED}");
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
}

/// Guards against changes that are reported although the document means the same.
#[test]
fn a_document_does_not_differ_from_itself_in_another_order_and_version() {
    fn property(plan: ValidPlan) -> bool {
        let mut queues: Vec<Queue> = plan.0.queues.clone().into();
        queues.reverse();
        let mut reordered = with_queues(plan.0.clone(), queues);
        reordered.version = plan.0.version.wrapping_add(1);
        diff(&plan.0, &plan.0).is_empty() && diff(&plan.0, &reordered).is_empty()
    }
    quickcheck().quickcheck(property as fn(ValidPlan) -> bool);
}

/// Guards against changed queues that are missed, and against unchanged ones that are named.
#[test]
fn the_difference_names_each_queue_that_was_added_removed_or_changed_and_no_other() {
    fn property(plan: ValidPlan, kinds: Vec<u8>) -> bool {
        let mut expected = BTreeSet::new();
        let mut queues = Vec::new();
        for (index, queue) in plan.0.queues.iter().enumerate() {
            let mut queue = queue.clone();
            let kind = kinds.get(index).map_or(0, |kind| kind % 4);
            if kind > 0 {
                expected.insert((queue.name.clone(), kind));
            }
            match kind {
                1 => continue,
                2 => queue.priority = queue.priority.wrapping_add(1),
                3 => {
                    let mut added = queue.clone();
                    added.name = format!("{}-new", queue.name).into();
                    expected.remove(&(queue.name.clone(), kind));
                    expected.insert((added.name.clone(), kind));
                    queues.push(added);
                }
                _ => {}
            }
            queues.push(queue);
        }
        let difference = diff(&plan.0, &with_queues(plan.0.clone(), queues));
        let found: BTreeSet<(Arc<str>, u8)> = difference
            .queues
            .iter()
            .map(|(name, change)| match change {
                EntryChange::Removed => (name.clone(), 1),
                EntryChange::Changed(fields) => {
                    assert_eq!(fields.len(), 1);
                    assert_eq!(fields[0].field, QueueField::Priority);
                    (name.clone(), 2)
                }
                EntryChange::Added => (name.clone(), 3),
            })
            .collect();
        found == expected && difference.services.is_empty() && difference.limits.is_empty()
    }
    quickcheck().quickcheck(property as fn(ValidPlan, Vec<u8>) -> bool);
}

fn one_plan() -> ValidPlan {
    let mut g = Gen::from_size_and_seed(1, SEED);
    ValidPlan::arbitrary(&mut g)
}

/// A change of a queue, the field that it changes, and the new value.
type FieldCase = (fn(&mut Queue), QueueField, &'static str);

#[test]
fn each_changed_field_of_a_queue_is_named_with_both_values() {
    let before = one_plan().0;
    let cases: [FieldCase; 10] = [
        (|queue| queue.host = "new".into(), QueueField::Host, "new"),
        (
            |queue| queue.path_prefix = "/n/".into(),
            QueueField::PathPrefix,
            "/n/",
        ),
        (
            |queue| queue.service = "new".into(),
            QueueField::Service,
            "new",
        ),
        (|queue| queue.priority = 77, QueueField::Priority, "77"),
        (|queue| queue.attempts = 77, QueueField::Attempts, "77"),
        (|queue| queue.stretch = 7.25, QueueField::Stretch, "7.25"),
        (
            |queue| queue.target = Duration::from_micros(77_100),
            QueueField::Target,
            "77.1",
        ),
        (
            |queue| advisor_of(queue).base_latency = Duration::from_millis(77),
            QueueField::AdvisorBaseLatency,
            "77",
        ),
        (
            |queue| advisor_of(queue).latency_per_executor = Duration::from_millis(77),
            QueueField::AdvisorLatencyPerExecutor,
            "77",
        ),
        (
            |queue| advisor_of(queue).ticket_ttl = Duration::from_millis(77),
            QueueField::AdvisorTicketTtl,
            "77",
        ),
    ];
    let mut queues: Vec<Queue> = before.queues.clone().into();
    queues[0].advisor = Some(Advisor {
        base_latency: Duration::from_millis(1),
        latency_per_executor: Duration::from_millis(1),
        ticket_ttl: Duration::from_millis(2),
    });
    let before = with_queues(before, queues.clone());
    for (change, field, after) in cases {
        let mut queues = queues.clone();
        change(&mut queues[0]);
        let difference = diff(&before, &with_queues(before.clone(), queues));
        let [(name, EntryChange::Changed(fields))] = &difference.queues[..] else {
            panic!("one changed queue is expected, not {difference:?}");
        };
        assert_eq!(*name, before.queues[0].name);
        assert_eq!(fields.len(), 1, "{fields:?}");
        assert_eq!(
            (fields[0].field, fields[0].after.as_deref()),
            (field, Some(after))
        );
        assert_ne!(fields[0].before, fields[0].after);
    }
}

#[test]
fn an_advisor_that_is_removed_has_no_new_values() {
    let before = one_plan().0;
    let mut queues: Vec<Queue> = before.queues.clone().into();
    queues[0].advisor = Some(Advisor {
        base_latency: Duration::ZERO,
        latency_per_executor: Duration::ZERO,
        ticket_ttl: Duration::from_millis(2),
    });
    let advised = with_queues(before.clone(), queues.clone());
    queues[0].advisor = None;
    let difference = diff(&advised, &with_queues(before, queues));
    let [(_, EntryChange::Changed(fields))] = &difference.queues[..] else {
        panic!("one changed queue is expected, not {difference:?}");
    };
    let values = fields
        .iter()
        .map(|field| (field.before.as_deref(), field.after.as_deref()));
    assert!(values.eq([(Some("0"), None), (Some("0"), None), (Some("2"), None)]));
}

fn advisor_of(queue: &mut Queue) -> &mut Advisor {
    queue.advisor.as_mut().expect("the queue has an advisor")
}

#[test]
fn services_and_limits_are_compared() {
    let before = one_plan().0;
    let mut after = before.clone();
    after.services.remove("u");
    after.services.insert("v".into(), Service::default());
    let strict = Service {
        refuses_overcommit: true,
    };
    after.services.insert("t".into(), strict);
    after.limits.body_bytes = 9_999;
    let change = FieldChange {
        field: ServiceField::RefusesOvercommit,
        before: Some("false".to_owned()),
        after: Some("true".to_owned()),
    };
    let expected = PlanDiff {
        queues: Vec::new(),
        services: vec![
            ("t".into(), EntryChange::Changed(vec![change])),
            ("u".into(), EntryChange::Removed),
            ("v".into(), EntryChange::Added),
        ],
        limits: vec![FieldChange {
            field: LimitField::BodyBytes,
            before: Some("262144".to_owned()),
            after: Some("9999".to_owned()),
        }],
    };
    assert_eq!(diff(&before, &after), expected);
}
