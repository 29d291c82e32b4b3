//! Checks of the operators' document beyond its form: entries that never match, names without a
//! counterpart, and limits that contradict each other.
//!
//! The checks take time in proportion to the size of the document, because each host runs them when
//! a document arrives. None of the problems keeps a document from coming into force. See
//! `docs/design/document-check.md`.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::Map;
use model::Set;

use crate::fleet::Listing;
use crate::plan::Limits;
use crate::plan::MAX_HEADER_BYTES;
use crate::plan::Plan;
use crate::plan::Queue;
use crate::spec::MAX_PAYLOAD_BYTES;

/// The body size that a job with the longest payload and one step needs, in bytes: the payload and
/// the fields of the step, which take less than 512 bytes.
pub const MIN_BODY_BYTES: usize = MAX_PAYLOAD_BYTES + 512;
/// The header size that a submission needs, in bytes: the request line with a job id, and the
/// headers for the host, the length of the body and the deadline.
pub const MIN_HEADER_BYTES: usize = 256;
/// The number of hexadecimal digits in a job id, which follows the path prefix in a request.
const JOB_ID_DIGITS: usize = 16;

/// A field of a queue.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum QueueField {
    /// [`Queue::name`].
    Name,
    /// [`Queue::host`].
    Host,
    /// [`Queue::path_prefix`].
    PathPrefix,
    /// [`Queue::service`].
    Service,
    /// [`Queue::priority`].
    Priority,
    /// [`Queue::attempts`].
    Attempts,
    /// [`Queue::stretch`].
    Stretch,
    /// [`Queue::target`].
    Target,
    /// [`Queue::advisor`].
    Advisor,
    /// [`crate::plan::Advisor::base_latency`].
    AdvisorBaseLatency,
    /// [`crate::plan::Advisor::latency_per_executor`].
    AdvisorLatencyPerExecutor,
    /// [`crate::plan::Advisor::ticket_ttl`].
    AdvisorTicketTtl,
}

/// A field of [`Limits`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum LimitField {
    /// [`Limits::header_bytes`].
    HeaderBytes,
    /// [`Limits::body_bytes`].
    BodyBytes,
    /// [`Limits::header_timeout`].
    HeaderTimeout,
    /// [`Limits::idle_timeout`].
    IdleTimeout,
}

/// The part of a document that a problem concerns.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Subject {
    /// A field of a queue.
    #[display("queue `{name}` {field}")]
    Queue {
        /// The index of the queue in [`Plan::queues`].
        index: usize,
        /// The name of the queue.
        name: Arc<str>,
        /// The field.
        field: QueueField,
    },
    /// A limit.
    #[display("limit {_0}")]
    Limit(LimitField),
    /// The version of the document.
    #[display("version")]
    Version,
}

/// A problem of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// Two queues have the same name. Which one is found by name depends on their order.
    #[display("another queue has the name `{name}`; the terms of the last one apply to both")]
    DuplicateName {
        /// The name.
        name: Arc<str>,
    },
    /// A later queue has the same host and path prefix, and takes all requests.
    #[display("the queue `{by}` has the same host and path prefix and takes all requests")]
    RepeatedPrefix {
        /// The name of the later queue.
        by: Arc<str>,
    },
    /// A longer prefix continues this one with hexadecimal digits and takes the requests for jobs
    /// whose ids start with them.
    #[display("requests for jobs whose ids start with `{digits}` go to the queue `{by}`")]
    ShadowedJobs {
        /// The name of the queue with the longer prefix.
        by: Arc<str>,
        /// The digits.
        digits: Arc<str>,
    },
    /// No `Host` header without its port equals the host of the queue.
    #[display("no request has the host `{host}`, which is compared without a port")]
    UnmatchableHost {
        /// The host of the queue.
        host: Arc<str>,
    },
    /// No path of a request starts with the prefix of the queue.
    #[display("no path of a request for a job starts with `{prefix}`")]
    UnmatchablePrefix {
        /// The path prefix of the queue.
        prefix: Arc<str>,
    },
    /// The document does not have the service of a queue.
    #[display("there is no service `{service}`")]
    UnknownService {
        /// The name of the service.
        service: Arc<str>,
    },
    /// No executor works for the service of a queue.
    #[display("the service `{service}` has no executors")]
    NoExecutors {
        /// The name of the service.
        service: Arc<str>,
    },
    /// Jobs of a queue require a label that no executor of its service has.
    #[display("no executor of the service `{service}` has the label `{label}`")]
    UnmatchedLabel {
        /// The name of the service.
        service: Arc<str>,
        /// The label.
        label: Arc<str>,
    },
    /// A failed run is counted before it is compared with the number of attempts.
    #[display("0 attempts count as 1")]
    NoAttempts,
    /// A negative factor makes the objective shorter than its fixed part.
    #[display("the factor is negative")]
    NegativeStretch,
    /// A ticket expires before the advisor's response with it arrives.
    #[display(
        "tickets are valid for {ttl_ms} ms, and the advisor takes {latency_ms} ms to respond"
    )]
    TicketsExpireFirst {
        /// How long a ticket is valid, in milliseconds.
        ttl_ms: u128,
        /// The base latency of the advisor, in milliseconds.
        latency_ms: u128,
    },
    /// A timeout of zero ends every request.
    #[display("a timeout of 0 ends each request or connection at once")]
    ZeroTimeout,
    /// The limit is below what a request for a job needs.
    #[display("{bytes} bytes are less than a job may need: {needed}")]
    BelowJob {
        /// The limit in bytes.
        bytes: usize,
        /// What a request needs, in bytes.
        needed: usize,
    },
    /// The limit is above what the servers accept.
    #[display("{bytes} bytes are more than the program accepts: {max}")]
    AboveMaximum {
        /// The limit in bytes.
        bytes: usize,
        /// The maximum in bytes.
        max: usize,
    },
    /// The document differs from the version in force, and its version is not higher. Hosts ignore
    /// such a document.
    #[display(
        "version {version} is not above version {in_force}, which is in force; hosts ignore it"
    )]
    VersionNotAbove {
        /// The version of the document.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
}

/// A problem of a document and the part that it concerns.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{subject}: {problem}")]
pub struct PlanFinding {
    /// The part of the document.
    pub subject: Subject,
    /// The problem.
    pub problem: Problem,
}

/// A label that jobs of a queue require. A document does not name it; submissions do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequiredLabel {
    /// The name of the queue.
    pub queue: Arc<str>,
    /// The label.
    pub label: Arc<str>,
}

/// What a document is checked against besides itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surroundings<'s> {
    /// The executors; without them the checks that need them are skipped.
    pub executors: Option<&'s [Listing]>,
    /// The labels that jobs require.
    pub required_labels: &'s [RequiredLabel],
    /// The document in force.
    pub in_force: Option<&'s Plan>,
}

/// Returns the problems of a document: those of its queues in their order, then those of its limits
/// and its version.
#[must_use]
pub fn check(plan: &Plan, surroundings: &Surroundings<'_>) -> Vec<PlanFinding> {
    let mut findings = Findings(Vec::new());
    let prefixes = Prefixes::new(plan);
    let shadows = prefixes.shadows(plan);
    let fleet = surroundings.executors.map(ServiceLabels::new);
    for (index, queue) in plan.queues.iter().enumerate() {
        let mut queue_findings = QueueFindings {
            findings: &mut findings,
            index,
            name: &queue.name,
        };
        check_names(plan, queue, index, &prefixes, &mut queue_findings);
        for shadow in shadows.get(&index).into_iter().flatten() {
            queue_findings.add(QueueField::PathPrefix, shadow.clone());
        }
        check_service(
            plan,
            queue,
            fleet.as_ref(),
            surroundings,
            &mut queue_findings,
        );
        check_terms(queue, &mut queue_findings);
    }
    check_limits(&plan.limits, &mut findings);
    check_version(plan, surroundings.in_force, &mut findings);
    findings.0
}

struct Findings(Vec<PlanFinding>);

impl Findings {
    fn add(&mut self, subject: Subject, problem: Problem) {
        self.0.push(PlanFinding { subject, problem });
    }
}

/// Collects the findings on one queue.
struct QueueFindings<'f> {
    findings: &'f mut Findings,
    index: usize,
    name: &'f Arc<str>,
}

impl QueueFindings<'_> {
    fn add(&mut self, field: QueueField, problem: Problem) {
        let subject = Subject::Queue {
            index: self.index,
            name: self.name.clone(),
            field,
        };
        self.findings.add(subject, problem);
    }
}

/// The last queue by host in lower case and path prefix, as in [`Plan::route`].
struct Prefixes<'p>(Map<(String, &'p str), usize>);

impl<'p> Prefixes<'p> {
    fn new(plan: &'p Plan) -> Self {
        let queues = plan.queues.iter().enumerate();
        Self(
            queues
                .map(|(index, queue)| {
                    (
                        (queue.host.to_ascii_lowercase(), &*queue.path_prefix),
                        index,
                    )
                })
                .collect(),
        )
    }

    fn last(&self, host: &str, prefix: &str) -> Option<usize> {
        self.0.get(&(host.to_ascii_lowercase(), prefix)).copied()
    }

    /// Returns for each queue the problems caused by longer prefixes that continue its own one with
    /// the beginning of a job id.
    fn shadows(&self, plan: &Plan) -> Map<usize, Vec<Problem>> {
        let mut shadows: Map<usize, Vec<Problem>> = Map::default();
        for (index, queue) in plan.queues.iter().enumerate() {
            let prefix = &*queue.path_prefix;
            if self.last(&queue.host, prefix) != Some(index) {
                continue;
            }
            let digits = prefix.bytes().rev().take_while(u8::is_ascii_hexdigit);
            for count in 1..=digits.count().min(JOB_ID_DIGITS) {
                let (shorter, digits) = prefix.split_at(prefix.len() - count);
                let Some(shadowed) = self.last(&queue.host, shorter) else {
                    continue;
                };
                shadows
                    .entry(shadowed)
                    .or_default()
                    .push(Problem::ShadowedJobs {
                        by: queue.name.clone(),
                        digits: digits.into(),
                    });
            }
        }
        shadows
    }
}

/// The labels of the executors of each service.
struct ServiceLabels<'e>(Map<&'e str, Set<&'e str>>);

impl<'e> ServiceLabels<'e> {
    fn new(executors: &'e [Listing]) -> Self {
        let mut services: Map<&str, Set<&str>> = Map::default();
        for executor in executors {
            let labels = services.entry(&*executor.service).or_default();
            labels.extend(executor.labels.iter().map(|label| &**label));
        }
        Self(services)
    }
}

fn check_names(
    plan: &Plan,
    queue: &Queue,
    index: usize,
    prefixes: &Prefixes<'_>,
    findings: &mut QueueFindings<'_>,
) {
    let named = plan.queue(&queue.name);
    if !named.is_some_and(|named| std::ptr::eq(named, queue)) {
        let name = queue.name.clone();
        findings.add(QueueField::Name, Problem::DuplicateName { name });
    }
    if !is_request_host(&queue.host) {
        let host = queue.host.clone();
        findings.add(QueueField::Host, Problem::UnmatchableHost { host });
    }
    if !is_path_prefix(&queue.path_prefix) {
        let prefix = queue.path_prefix.clone();
        findings.add(
            QueueField::PathPrefix,
            Problem::UnmatchablePrefix { prefix },
        );
    }
    let last = prefixes.last(&queue.host, &queue.path_prefix);
    if let Some(last) = last.filter(|last| *last != index) {
        let by = plan.queues[last].name.clone();
        findings.add(QueueField::PathPrefix, Problem::RepeatedPrefix { by });
    }
}

/// Returns whether a request can have this host: the text before the first colon of its `Host`
/// header, which consists of visible ASCII characters.
fn is_request_host(host: &str) -> bool {
    !host.is_empty()
        && host
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !b":/?#@".contains(&byte))
}

/// Returns whether the path of a request can start with this prefix and continue with a job id.
fn is_path_prefix(prefix: &str) -> bool {
    let can_occur = |c: char| !c.is_whitespace() && !c.is_control() && c != '?' && c != '#';
    prefix.starts_with('/') && prefix.chars().all(can_occur)
}

fn check_service(
    plan: &Plan,
    queue: &Queue,
    fleet: Option<&ServiceLabels<'_>>,
    surroundings: &Surroundings<'_>,
    findings: &mut QueueFindings<'_>,
) {
    let service = &queue.service;
    if !plan.services.contains_key(service) {
        let service = service.clone();
        return findings.add(QueueField::Service, Problem::UnknownService { service });
    }
    let Some(fleet) = fleet else {
        return;
    };
    let Some(labels) = fleet.0.get(&**service) else {
        let service = service.clone();
        return findings.add(QueueField::Service, Problem::NoExecutors { service });
    };
    for required in surroundings.required_labels {
        if required.queue == queue.name && !labels.contains(&*required.label) {
            let (service, label) = (service.clone(), required.label.clone());
            findings.add(
                QueueField::Service,
                Problem::UnmatchedLabel { service, label },
            );
        }
    }
}

fn check_terms(queue: &Queue, findings: &mut QueueFindings<'_>) {
    if queue.attempts == 0 {
        findings.add(QueueField::Attempts, Problem::NoAttempts);
    }
    if queue.stretch < 0.0 {
        findings.add(QueueField::Stretch, Problem::NegativeStretch);
    }
    if let Some(advisor) = queue.advisor
        && advisor.ticket_ttl <= advisor.base_latency
    {
        let problem = Problem::TicketsExpireFirst {
            ttl_ms: advisor.ticket_ttl.as_millis(),
            latency_ms: advisor.base_latency.as_millis(),
        };
        findings.add(QueueField::AdvisorTicketTtl, problem);
    }
}

fn check_limits(limits: &Limits, findings: &mut Findings) {
    let sizes = [
        (
            LimitField::HeaderBytes,
            limits.header_bytes,
            MIN_HEADER_BYTES,
        ),
        (LimitField::BodyBytes, limits.body_bytes, MIN_BODY_BYTES),
    ];
    for (field, bytes, needed) in sizes {
        if bytes < needed {
            findings.add(Subject::Limit(field), Problem::BelowJob { bytes, needed });
        }
    }
    if limits.header_bytes > MAX_HEADER_BYTES {
        let problem = Problem::AboveMaximum {
            bytes: limits.header_bytes,
            max: MAX_HEADER_BYTES,
        };
        findings.add(Subject::Limit(LimitField::HeaderBytes), problem);
    }
    let timeouts = [
        (LimitField::HeaderTimeout, limits.header_timeout),
        (LimitField::IdleTimeout, limits.idle_timeout),
    ];
    for (field, timeout) in timeouts {
        if timeout == Duration::ZERO {
            findings.add(Subject::Limit(field), Problem::ZeroTimeout);
        }
    }
}

fn check_version(plan: &Plan, in_force: Option<&Plan>, findings: &mut Findings) {
    let Some(in_force) = in_force else {
        return;
    };
    if plan.version <= in_force.version && !crate::plan_diff::diff(in_force, plan).is_empty() {
        let problem = Problem::VersionNotAbove {
            version: plan.version,
            in_force: in_force.version,
        };
        findings.add(Subject::Version, problem);
    }
}
