//! The configuration document: which half owns which upstreams, where tasks may run, and how
//! services and batch tasks share capacity.
//!
//! The types correspond one to one to the text; [`crate::check`] has the semantic checks.
//! `docs/CONFIGURATION.md` explains each section to operators.

use std::collections::BTreeMap;

use model::Size;
use model::id::CallerId;
use model::id::ClassId;
use model::id::DataCentreId;
use model::id::HalfId;
use model::id::RegionId;
use model::id::TeamId;
use model::id::UpstreamId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The configuration document that all daemons share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The halves of the organisation.
    pub halves: BTreeMap<HalfId, Half>,
    /// The regions and their data centres.
    pub regions: BTreeMap<RegionId, Region>,
    /// The upstreams and their owners.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// The callers and their weights; callers that are not listed share that of `other`.
    #[serde(default)]
    pub callers: BTreeMap<CallerId, Caller>,
    /// The teams that submit tasks.
    #[serde(default)]
    pub teams: BTreeMap<TeamId, Team>,
    /// The classes of tasks and where they may run.
    #[serde(default)]
    pub classes: BTreeMap<ClassId, Class>,
    /// How services and batch tasks share the workers.
    #[serde(default)]
    pub sharing: Sharing,
}

/// One half of the organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Half {
    /// The title of the half, for display.
    #[serde(default)]
    pub title: String,
    /// The share of the workers' capacity that tasks of this half may use, in percent.
    #[serde(default = "default_share_percent")]
    #[schemars(range(min = 0, max = 100))]
    pub share_percent: u8,
}

impl Default for Half {
    fn default() -> Self {
        Self {
            title: String::new(),
            share_percent: default_share_percent(),
        }
    }
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The data centres of the region.
    pub data_centres: Vec<DataCentreId>,
}

/// An upstream: a group of executors that serve the requests of some routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The half that owns the upstream.
    pub half: HalfId,
    /// The path prefixes of the requests that the upstream serves.
    pub routes: Vec<String>,
    /// The number of requests that one executor serves concurrently.
    #[serde(default = "default_slots")]
    #[schemars(range(min = 1, max = 4_096))]
    pub slots: u16,
    /// The number of connections that one executor accepts.
    #[serde(default = "default_connections")]
    #[schemars(range(min = 1, max = 16_384))]
    pub connections: u16,
    /// The deadline of requests that do not specify one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub deadline_ms: u64,
    /// The weight against other upstreams when their requests compete for a daemon.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1_000))]
    pub weight: u32,
}

/// A caller, which sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The half that the caller belongs to.
    pub half: HalfId,
    /// The weight against other callers when slots are scarce.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1_000))]
    pub weight: u32,
}

/// A team that submits tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The half that the team belongs to.
    pub half: HalfId,
    /// The maximum resources of the team's running tasks.
    pub quota: Size,
    /// The weight against other teams when workers are scarce.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1_000))]
    pub weight: u32,
}

/// The kind of the tasks of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Latency-critical: the task is never throttled or evicted in favour of a batch task.
    Service,
    /// Best-effort: the task may be throttled, checkpointed and evicted.
    #[default]
    Batch,
}

/// A class of tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Whether the tasks are latency-critical or batch tasks.
    pub kind: Kind,
    /// The half that the class belongs to.
    pub half: HalfId,
    /// The regions in which the tasks may run; all if empty.
    #[serde(default)]
    pub regions: Vec<RegionId>,
    /// The data centres in which the tasks may run; if empty, all data centres of these regions.
    #[serde(default)]
    pub data_centres: Vec<DataCentreId>,
    /// The target of the 99th percentile of response times, in microseconds; only for services.
    #[serde(default)]
    #[schemars(range(min = 1, max = 60_000_000))]
    pub p99_target_us: Option<u64>,
    /// The maximum number of tasks on one rack, to limit the effect of a rack failure.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000))]
    pub max_per_rack: Option<u32>,
}

/// How services and batch tasks share the workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// The maximum share of a worker that batch tasks may use while services run there, in percent.
    #[serde(default = "default_batch_percent")]
    #[schemars(range(min = 0, max = 100))]
    pub batch_percent: u8,
    /// The weight of a low tail latency of services as a scheduling objective.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 0, max = 1_000))]
    pub tail_weight: u32,
    /// The weight of a high throughput of batch tasks as a scheduling objective.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 0, max = 1_000))]
    pub throughput_weight: u32,
    /// The weight of few evictions as a scheduling objective.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 0, max = 1_000))]
    pub evictions_weight: u32,
}

impl Default for Sharing {
    fn default() -> Self {
        Self {
            batch_percent: default_batch_percent(),
            tail_weight: default_weight(),
            throughput_weight: default_weight(),
            evictions_weight: default_weight(),
        }
    }
}

const fn default_share_percent() -> u8 {
    100
}

const fn default_slots() -> u16 {
    8
}

const fn default_connections() -> u16 {
    64
}

const fn default_deadline_ms() -> u64 {
    10_000
}

const fn default_weight() -> u32 {
    1
}

const fn default_batch_percent() -> u8 {
    70
}
