//! Differences between two versions of the operators' document, by meaning: the order of entries
//! and the version number do not count.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::plan::Advisor;
use crate::plan::Limits;
use crate::plan::Plan;
use crate::plan::Queue;
use crate::plan::Service;
use crate::plan_check::LimitField;
use crate::plan_check::QueueField;

/// A value of a field before and after.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange<F> {
    /// The field.
    pub field: F,
    /// The old value; `None` if the field belongs to an advisor that was not there.
    pub before: Option<String>,
    /// The new value; `None` if the field belongs to an advisor that is not there.
    pub after: Option<String>,
}

/// What became of a named entry of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange<F> {
    /// It was added.
    Added,
    /// It was removed.
    Removed,
    /// Some of its fields changed.
    Changed(Vec<FieldChange<F>>),
}

/// A field of a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum ServiceField {
    /// [`Service::refuses_overcommit`].
    RefusesOvercommit,
}

/// The differences between two documents. Entries are sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanDiff {
    /// The queues that differ.
    pub queues: Vec<(Arc<str>, EntryChange<QueueField>)>,
    /// The services that differ.
    pub services: Vec<(Arc<str>, EntryChange<ServiceField>)>,
    /// The limits that differ.
    pub limits: Vec<FieldChange<LimitField>>,
}

impl PlanDiff {
    /// Returns whether nothing differs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.services.is_empty() && self.limits.is_empty()
    }
}

/// Returns the differences from one document to another. Of queues with the same name, the one that
/// is found by name counts.
#[must_use]
pub fn diff(before: &Plan, after: &Plan) -> PlanDiff {
    let queue_names: BTreeSet<&Arc<str>> = names(before).chain(names(after)).collect();
    let service_names: BTreeSet<&Arc<str>> = before
        .services
        .keys()
        .chain(after.services.keys())
        .collect();
    PlanDiff {
        queues: queue_names
            .into_iter()
            .filter_map(|name| {
                let change = entry(before.queue(name), after.queue(name), queue_fields)?;
                Some((name.clone(), change))
            })
            .collect(),
        services: service_names
            .into_iter()
            .filter_map(|name| {
                let (old, new) = (before.services.get(name), after.services.get(name));
                Some((name.clone(), entry(old, new, service_fields)?))
            })
            .collect(),
        limits: field_changes(limit_fields(&before.limits), limit_fields(&after.limits)),
    }
}

fn names(plan: &Plan) -> impl Iterator<Item = &Arc<str>> {
    plan.queues.iter().map(|queue| &queue.name)
}

fn entry<T, F: PartialEq>(
    before: Option<&T>,
    after: Option<&T>,
    fields: impl Fn(&T) -> Vec<(F, Option<String>)>,
) -> Option<EntryChange<F>> {
    match (before, after) {
        (None, None) => None,
        (None, Some(_)) => Some(EntryChange::Added),
        (Some(_), None) => Some(EntryChange::Removed),
        (Some(before), Some(after)) => {
            let changes = field_changes(fields(before), fields(after));
            (!changes.is_empty()).then_some(EntryChange::Changed(changes))
        }
    }
}

/// Compares two lists of values with the same fields in the same order.
fn field_changes<F>(
    before: Vec<(F, Option<String>)>,
    after: Vec<(F, Option<String>)>,
) -> Vec<FieldChange<F>> {
    let pairs = before.into_iter().zip(after);
    pairs
        .filter(|((_, before), (_, after))| before != after)
        .map(|((field, before), (_, after))| FieldChange {
            field,
            before,
            after,
        })
        .collect()
}

fn queue_fields(queue: &Queue) -> Vec<(QueueField, Option<String>)> {
    // Without `..`, so that a field that is added to a queue is compared as well.
    let Queue {
        name: _,
        host,
        path_prefix,
        service,
        priority,
        attempts,
        stretch,
        target,
        advisor,
    } = queue;
    let advice = |value: fn(&Advisor) -> Duration| {
        let advisor = advisor.as_ref()?;
        Some(milliseconds(value(advisor)))
    };
    vec![
        (QueueField::Host, Some(host.to_ascii_lowercase())),
        (QueueField::PathPrefix, Some(path_prefix.to_string())),
        (QueueField::Service, Some(service.to_string())),
        (QueueField::Priority, Some(priority.to_string())),
        (QueueField::Attempts, Some(attempts.to_string())),
        (QueueField::Stretch, Some(stretch.to_string())),
        (QueueField::Target, Some(milliseconds(*target))),
        (
            QueueField::AdvisorBaseLatency,
            advice(|advisor| advisor.base_latency),
        ),
        (
            QueueField::AdvisorLatencyPerExecutor,
            advice(|advisor| advisor.latency_per_executor),
        ),
        (
            QueueField::AdvisorTicketTtl,
            advice(|advisor| advisor.ticket_ttl),
        ),
    ]
}

fn service_fields(service: &Service) -> Vec<(ServiceField, Option<String>)> {
    let Service { refuses_overcommit } = service;
    vec![(
        ServiceField::RefusesOvercommit,
        Some(refuses_overcommit.to_string()),
    )]
}

fn limit_fields(limits: &Limits) -> Vec<(LimitField, Option<String>)> {
    let Limits {
        header_bytes,
        body_bytes,
        header_timeout,
        idle_timeout,
    } = limits;
    vec![
        (LimitField::HeaderBytes, Some(header_bytes.to_string())),
        (LimitField::BodyBytes, Some(body_bytes.to_string())),
        (
            LimitField::HeaderTimeout,
            Some(milliseconds(*header_timeout)),
        ),
        (LimitField::IdleTimeout, Some(milliseconds(*idle_timeout))),
    ]
}

/// Returns a duration in milliseconds with the fractions that a document can have.
fn milliseconds(duration: Duration) -> String {
    (duration.as_nanos() as f64 / 1e6).to_string()
}
