//! The operators' API: JSON over HTTP on the operators' address, shared by daemon and client.
//!
//! Every path but [`READY`] requires `Authorization: Bearer <token>`. A successful request is
//! answered with status 200 and the type given at its path. Any other status comes with a
//! [`Problem`], whose outcome states whether the request certainly had no effect or may have had
//! one. See `docs/CLI.md`.

use std::collections::BTreeMap;

use model::Priority;
use model::Size;
use model::id::Attempt;
use model::id::ClassId;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Epoch;
use model::id::HalfId;
use model::id::Incarnation;
use model::id::OpId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::UpstreamId;
use model::id::WorkerId;
use model::outcome::Outcome;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

use crate::diff::Change;
use crate::diff::Conflict;
use crate::finding::Finding;

/// `GET` [`DocumentView`]: the document in force.
pub const DOCUMENT: &str = "/v1/document";
/// `POST` [`CheckRequest`], answered by [`CheckReply`].
pub const CHECK: &str = "/v1/check";
/// `POST` [`ApplyRequest`], answered by [`ApplyReply`].
pub const APPLY: &str = "/v1/apply";
/// `GET` [`StatusView`].
pub const STATUS: &str = "/v1/status";
/// `GET` with a [`TaskQuery`], answered by [`TaskPage`]; `POST` [`Submission`], answered by
/// [`TaskView`].
pub const TASKS: &str = "/v1/tasks";
/// `POST` [`DrainRequest`], answered by [`Done`].
pub const DRAIN: &str = "/v1/drain";
/// `GET`: a dump of the daemon's state, as a JSON object of no fixed schema.
pub const DUMP: &str = "/v1/dump";
/// `GET` without a token: 200 while the daemon accepts requests, 503 otherwise.
pub const READY: &str = "/ready";

/// Returns the path that cancels a task: `POST` without a body, answered by [`Done`].
#[must_use]
pub fn cancel_path(task: &TaskId) -> String {
    format!("{TASKS}/{task}/cancel")
}

/// Returns the path by which an operator declares a worker dead: `POST` without a body, answered
/// by [`Done`].
#[must_use]
pub fn worker_lost_path(worker: &WorkerId) -> String {
    format!("/v1/workers/{worker}/lost")
}

/// The body of every answer with another status than 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// `not-run` only if the request certainly had no effect and never will.
    pub outcome: Outcome,
    /// The reason, as a text for people.
    pub reason: String,
    /// How long to wait before retrying, in milliseconds; absent if retrying cannot help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The findings on the document that was sent, if they are the reason.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

/// The answer to a successful request that returns no data.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// A confirmation for people.
    pub message: String,
}

/// The document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentView {
    /// The version under which it was accepted.
    pub version: DocVersion,
    /// The text as the operator sent it, comments included.
    pub text: String,
    /// The name of the operator who sent it.
    pub by: String,
    /// The operator's id of the change.
    pub op: OpId,
}

/// Requests the findings on a text without applying it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// The text of the document.
    pub text: String,
}

/// The answer to a [`CheckRequest`]: the findings on a text and the changes that it would make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckReply {
    /// The version that the text was compared with; 0 before the first document.
    pub base: DocVersion,
    /// The findings, in the order of the text.
    pub findings: Vec<Finding>,
    /// The changes against the document in force; empty if the text is not a valid document even
    /// without regard to workers, running tasks and the document in force.
    pub changes: Vec<Change>,
}

/// Requests to put a document into force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The id of this change. A request that is repeated with the same id takes effect at most
    /// once.
    pub op: OpId,
    /// The text of the document.
    pub text: String,
    /// The name of the operator.
    pub by: String,
    /// The version that the operator edited; if absent, the one in force when the request arrives.
    #[serde(default)]
    pub base: Option<DocVersion>,
    /// The daemons that the operator declares dead, so that they do not block the change.
    #[serde(default)]
    pub without: Vec<DaemonId>,
    /// Whether to wait, up to a timeout, until every daemon has the document in force.
    #[serde(default)]
    pub wait: bool,
}

/// The outcome of an [`ApplyRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyReply {
    /// The document was accepted.
    Accepted {
        /// The version of the accepted document.
        version: DocVersion,
        /// The changes that it makes.
        changes: Vec<Change>,
        /// The daemons that are known to have the document in force.
        in_force: Vec<DaemonId>,
        /// The daemons that have not confirmed it yet.
        pending: Vec<DaemonId>,
        /// The daemons that were passed over because they cannot be serving.
        passed_over: Vec<DaemonId>,
    },
    /// The text has errors; nothing was changed.
    Invalid {
        /// The findings, in the order of the text.
        findings: Vec<Finding>,
    },
    /// Another change was accepted first; nothing of this one was put into force.
    Overtaken {
        /// The version in force.
        version: DocVersion,
        /// The name of the operator whose change is in force.
        by: String,
        /// What has changed since the version that this operator edited.
        theirs: Vec<Change>,
        /// The places that both changes set to different values.
        conflicts: Vec<Conflict>,
    },
    /// Daemons that may be serving did not acknowledge the document; nothing was changed.
    Unreachable {
        /// The daemons that did not acknowledge it.
        daemons: Vec<DaemonId>,
    },
}

/// The status of a daemon, and of the others as far as it knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The answering daemon.
    pub daemon: DaemonId,
    /// The current incarnation of the answering daemon.
    pub incarnation: Incarnation,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// Whether the daemon has been requested to drain.
    pub draining: bool,
    /// The version of the document that the daemon has in force; 0 before the first document.
    pub version: DocVersion,
    /// How long ago the platform's table last answered, in milliseconds; absent if it never did.
    #[serde(default)]
    pub store_silent_ms: Option<u64>,
    /// The known daemons, sorted by name.
    pub members: Vec<MemberView>,
    /// The upstreams, sorted by name.
    pub upstreams: Vec<UpstreamView>,
    /// The shards, sorted by name.
    pub shards: Vec<ShardView>,
    /// The number of tasks in each state, over all shards that this daemon owns.
    pub tasks: BTreeMap<String, u64>,
}

/// A daemon as seen by the answering daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// The name of the daemon.
    pub daemon: DaemonId,
    /// The half that the daemon belongs to.
    pub half: HalfId,
    /// The region and data centre of the daemon.
    pub place: Place,
    /// The state of the daemon: `live`, `silent`, `leaving` or `gone`.
    pub state: String,
    /// The version that the daemon was last known to have in force.
    pub version: DocVersion,
    /// How long ago the daemon was last heard from, in milliseconds.
    pub silent_ms: u64,
}

/// An upstream as seen by the answering daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The name of the upstream.
    pub upstream: UpstreamId,
    /// The half that owns the upstream.
    pub half: HalfId,
    /// The progress of a handover to another half; absent if none is in progress.
    #[serde(default)]
    pub handover: Option<HandoverView>,
    /// The number of executors of the upstream.
    pub executors: u64,
    /// The number of executor slots that this daemon may use.
    pub slots: u64,
    /// The number of these slots that are in use.
    pub busy: u64,
}

/// The progress of a handover of an upstream between two halves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverView {
    /// The half that owned the upstream before.
    pub from: HalfId,
    /// The half that owns the upstream afterwards.
    pub to: HalfId,
    /// The step of the handover: `releasing`, `in-flight` or `taken`.
    pub step: String,
    /// The daemons that have not yet released the upstream.
    pub waiting_for: Vec<DaemonId>,
}

/// A shard as seen by the answering daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardView {
    /// The name of the shard.
    pub shard: ShardId,
    /// The daemon that owns the shard; absent if no daemon does.
    #[serde(default)]
    pub owner: Option<DaemonId>,
    /// The epoch of the shard, which increases with every change of owner.
    pub epoch: Epoch,
    /// The number of workers in the shard.
    pub workers: u64,
    /// The number of queued tasks.
    pub queued: u64,
    /// The number of tasks that are assigned to a worker.
    pub assigned: u64,
}

/// The filter of a task list; an absent field does not restrict it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskQuery {
    /// Only tasks in this state.
    #[serde(default)]
    pub state: Option<TaskState>,
    /// Only tasks of this team.
    #[serde(default)]
    pub team: Option<TeamId>,
    /// Only tasks of this class.
    #[serde(default)]
    pub class: Option<ClassId>,
    /// Only tasks after this cursor, which is the `next` of an earlier page.
    #[serde(default)]
    pub after: Option<String>,
    /// The maximum number of tasks to return; the daemon may return fewer.
    #[serde(default)]
    pub limit: Option<u32>,
}

/// One page of tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskPage {
    /// The tasks of this page.
    pub tasks: Vec<TaskView>,
    /// The cursor of the next page; absent on the last one.
    #[serde(default)]
    pub next: Option<String>,
}

/// Requests to run a task. A request that is repeated with the same name queues it at most once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The name of the task, which must never be reused.
    pub task: TaskId,
    /// The team whose quota the task counts against.
    pub team: TeamId,
    /// The class of the task.
    pub class: ClassId,
    /// The scheduling priority.
    #[serde(default)]
    pub priority: Priority,
    /// The resources that the task declares to need.
    pub size: Size,
    /// The declared run time in milliseconds; if absent, the task runs until it is cancelled.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// How often the task may fail on its own account before it counts as failed; the
    /// daemon's default if absent.
    #[serde(default)]
    pub max_failures: Option<u32>,
}

/// Where a task is in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waiting for a worker.
    Queued,
    /// Assigned to a worker.
    Assigned,
    /// Ended successfully.
    Succeeded,
    /// Failed for good; it is not retried.
    Failed,
    /// Cancelled, and certainly not running.
    Cancelled,
}

impl TaskState {
    /// Returns the name of the state in the API.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Assigned => "assigned",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A task as seen by the daemon that owns its shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// The name of the task.
    pub task: TaskId,
    /// The team whose quota the task counts against.
    pub team: TeamId,
    /// The class of the task.
    pub class: ClassId,
    /// The current state.
    pub state: TaskState,
    /// The number of the current or last attempt to run the task.
    pub attempt: Attempt,
    /// The shard that stores the task.
    pub shard: ShardId,
    /// The worker that the task is assigned to, if any.
    #[serde(default)]
    pub worker: Option<WorkerId>,
    /// How often the task was evicted.
    #[serde(default)]
    pub evictions: u32,
    /// How often the task failed on its own account.
    #[serde(default)]
    pub failures: u32,
    /// Why the task is waiting or has failed, if the daemon knows.
    #[serde(default)]
    pub reason: Option<String>,
}

/// Requests the receiving daemon to stop gracefully.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// How long requests in progress may take, in milliseconds; `drain_ms` of the settings if
    /// absent.
    #[serde(default)]
    pub within_ms: Option<u64>,
}
