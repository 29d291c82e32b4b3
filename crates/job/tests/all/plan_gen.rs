//! Generated documents without problems.

use std::time::Duration;

use job::plan::Advisor;
use job::plan::Limits;
use job::plan::Plan;
use job::plan::Queue;
use job::plan::Service;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// A document without problems that has at least one queue.
#[derive(Clone, Debug)]
pub struct ValidPlan(pub Plan);

const HOSTS: [&str; 3] = ["jobs.example", "Jobs.Example", "other.example"];
const SERVICES: [&str; 3] = ["s", "t", "u"];

impl Arbitrary for ValidPlan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % g.size();
        // Every other prefix lies within the one before it, which takes no requests from that one
        // because the rest is no job id.
        let prefix = |index: usize| match index % 2 {
            0 => format!("/q{index}/"),
            _ => format!("/q{}/a{index}/", index - 1),
        };
        let version = u64::arbitrary(g);
        let queues = (0..count).map(|index| Queue {
            name: format!("queue-{index}").into(),
            host: (*g.choose(&HOSTS).unwrap_or(&HOSTS[0])).into(),
            path_prefix: prefix(index).into(),
            service: (*g.choose(&SERVICES).unwrap_or(&SERVICES[0])).into(),
            priority: u32::arbitrary(g),
            attempts: u32::arbitrary(g).max(1),
            stretch: f64::from(u16::arbitrary(g)) / 16.0,
            target: Duration::from_millis(u32::arbitrary(g).into()),
            advisor: Option::<(u16, u16)>::arbitrary(g).map(|(latency, ttl)| Advisor {
                base_latency: Duration::from_millis(latency.into()),
                latency_per_executor: Duration::from_millis(10),
                ticket_ttl: Duration::from_millis(u64::from(latency) + u64::from(ttl) + 1),
            }),
        });
        Self(Plan {
            version,
            queues: queues.collect(),
            services: SERVICES
                .iter()
                .map(|name| ((*name).into(), Service::default()))
                .collect(),
            limits: Limits::default(),
        })
    }
}

/// Returns a document with other queues.
pub fn with_queues(mut plan: Plan, queues: Vec<Queue>) -> Plan {
    plan.queues = queues.into();
    plan
}
