//! The operators' API: JSON over HTTP on the operators' address, shared by daemon and client.
//!
//! Every path but [`READY`] asks for `Authorization: Bearer <token>`. A request that was carried out
//! is answered with 200 and the type named at its path; any other status carries a [`Problem`],
//! whose outcome tells whether the request was certainly not carried out or may have been. See
//! `docs/CLI.md`.

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
/// `GET`: the dump of the process's state, any JSON object.
pub const DUMP: &str = "/v1/dump";
/// `GET` without a token: 200 while the daemon takes requests, 503 otherwise.
pub const READY: &str = "/ready";

/// `POST` without a body, answered by [`Done`].
#[must_use]
pub fn cancel_path(task: &TaskId) -> String {
    format!("{TASKS}/{task}/cancel")
}

/// `POST` without a body, answered by [`Done`]: the operator vouches that the worker is dead.
#[must_use]
pub fn worker_lost_path(worker: &WorkerId) -> String {
    format!("/v1/workers/{worker}/lost")
}

/// The body of every answer but 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// `not-run` only if it certainly had no effect and never will.
    pub outcome: Outcome,
    /// What a person is told.
    pub reason: String,
    /// When to try again, in milliseconds from now, if that can help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// What is wrong with the document that was sent, if it was refused for that.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

/// A request that has no more to tell than that it was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// What a person is told.
    pub message: String,
}

/// The document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentView {
    /// Its version.
    pub version: DocVersion,
    /// The text as its operator sent it, comments included.
    pub text: String,
    /// Who sent it.
    pub by: String,
    /// The id under which it was sent.
    pub op: OpId,
}

/// Asks for the findings on a text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// The text.
    pub text: String,
}

/// What is wrong with a text and what it would change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckReply {
    /// The version that the changes are counted from; 0 before the first document.
    pub base: DocVersion,
    /// What is wrong, in the order of the text.
    pub findings: Vec<Finding>,
    /// What would change against the document in force; empty if the text cannot be read.
    pub changes: Vec<Change>,
}

/// Asks to put a text into force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The id of this change; sent again with the same id it is put into force at most once.
    pub op: OpId,
    /// The text.
    pub text: String,
    /// Who sends it.
    pub by: String,
    /// The version that the operator started from; without it, whatever is in force.
    #[serde(default)]
    pub base: Option<DocVersion>,
    /// The daemons that the operator vouches to be dead.
    #[serde(default)]
    pub without: Vec<DaemonId>,
    /// Whether to wait until every daemon that was asked has it in force, within a bound.
    #[serde(default)]
    pub wait: bool,
}

/// What became of an [`ApplyRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyReply {
    /// It was accepted.
    Accepted {
        /// Its version.
        version: DocVersion,
        /// What it changes.
        changes: Vec<Change>,
        /// The daemons that are known to have it in force.
        in_force: Vec<DaemonId>,
        /// The daemons that have not said so yet.
        pending: Vec<DaemonId>,
        /// The daemons that were passed over because they cannot be serving.
        passed_over: Vec<DaemonId>,
    },
    /// The text has errors; nothing was changed.
    Invalid {
        /// What is wrong, in the order of the text.
        findings: Vec<Finding>,
    },
    /// Another operator's change came first; nothing of this one was put into force.
    Overtaken {
        /// The version in force.
        version: DocVersion,
        /// Who put it into force.
        by: String,
        /// What changed since the base that this operator started from.
        theirs: Vec<Change>,
        /// Where both changed the same place differently.
        conflicts: Vec<Conflict>,
    },
    /// Daemons that may be serving did not answer; nothing was changed.
    Unreachable {
        /// The daemons.
        daemons: Vec<DaemonId>,
    },
}

/// What a daemon knows of itself and the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The daemon that answers.
    pub daemon: DaemonId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it has been asked to drain.
    pub draining: bool,
    /// The version that it has in force; 0 before the first document.
    pub version: DocVersion,
    /// How long ago the platform's table last answered, in milliseconds.
    #[serde(default)]
    pub store_silent_ms: Option<u64>,
    /// The daemons, by name.
    pub members: Vec<MemberView>,
    /// The upstreams, by name.
    pub upstreams: Vec<UpstreamView>,
    /// The shards, by name.
    pub shards: Vec<ShardView>,
    /// How many tasks are in which state, over the shards that this daemon owns.
    pub tasks: BTreeMap<String, u64>,
}

/// A daemon as seen by another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// The name.
    pub daemon: DaemonId,
    /// The half it works for.
    pub half: HalfId,
    /// Where it stands.
    pub place: Place,
    /// `live`, `silent`, `leaving` or `gone`.
    pub state: String,
    /// The version that it was last heard to have in force.
    pub version: DocVersion,
    /// How long ago it was last heard, in milliseconds.
    pub silent_ms: u64,
}

/// An upstream as seen by a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The name.
    pub upstream: UpstreamId,
    /// The half that owns it.
    pub half: HalfId,
    /// Where a handover stands, while there is one.
    #[serde(default)]
    pub handover: Option<HandoverView>,
    /// How many executors it has.
    pub executors: u64,
    /// How many slots this daemon may use.
    pub slots: u64,
    /// How many of them are in use.
    pub busy: u64,
}

/// Where a handover stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverView {
    /// The half that gives the upstream away.
    pub from: HalfId,
    /// The half that takes it.
    pub to: HalfId,
    /// `releasing`, `in-flight` or `taken`.
    pub step: String,
    /// The daemons that have not yet released it.
    pub waiting_for: Vec<DaemonId>,
}

/// A shard as seen by a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardView {
    /// The name.
    pub shard: ShardId,
    /// The daemon that owns it, if any does.
    #[serde(default)]
    pub owner: Option<DaemonId>,
    /// Counts its owners.
    pub epoch: Epoch,
    /// How many workers it has.
    pub workers: u64,
    /// How many tasks are queued there.
    pub queued: u64,
    /// How many tasks are assigned there.
    pub assigned: u64,
}

/// Which tasks to list; an absent field does not narrow the list.
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
    /// Only tasks after this mark, the `next` of an earlier page.
    #[serde(default)]
    pub after: Option<String>,
    /// The most tasks to return; the daemon may return fewer.
    #[serde(default)]
    pub limit: Option<u32>,
}

/// One page of tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskPage {
    /// The tasks.
    pub tasks: Vec<TaskView>,
    /// What to ask for after this page, if there is more.
    #[serde(default)]
    pub next: Option<String>,
}

/// Asks to run a task; sent again under the same name it is queued at most once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The name, unique for ever.
    pub task: TaskId,
    /// Whose quota it counts against.
    pub team: TeamId,
    /// Its class.
    pub class: ClassId,
    /// How urgent it is.
    #[serde(default)]
    pub priority: Priority,
    /// The declared size.
    pub size: Size,
    /// The declared run time in milliseconds; without it the task runs until cancelled.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// How often it may fail by itself before it is given up; the daemon's default if absent.
    #[serde(default)]
    pub max_failures: Option<u32>,
}

/// Where a task is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waits for a worker.
    Queued,
    /// Granted to a worker.
    Assigned,
    /// Ended and succeeded.
    Succeeded,
    /// Given up.
    Failed,
    /// Cancelled, and certainly not running.
    Cancelled,
}

impl TaskState {
    /// Returns the word by which the API names the state.
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

/// A task as seen by the owner of its shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskView {
    /// The name.
    pub task: TaskId,
    /// Whose quota it counts against.
    pub team: TeamId,
    /// Its class.
    pub class: ClassId,
    /// Where it is in its life.
    pub state: TaskState,
    /// Counts its runs.
    pub attempt: Attempt,
    /// The shard that its row lies below.
    pub shard: ShardId,
    /// The worker that it is assigned to.
    #[serde(default)]
    pub worker: Option<WorkerId>,
    /// How often it was evicted.
    #[serde(default)]
    pub evictions: u32,
    /// How often it failed by itself.
    #[serde(default)]
    pub failures: u32,
    /// Why it waits or was given up, if the daemon knows.
    #[serde(default)]
    pub reason: Option<String>,
}

/// Asks the daemon that receives it to stop gracefully.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// How long requests in progress may take, in milliseconds; the settings' bound if absent.
    #[serde(default)]
    pub within_ms: Option<u64>,
}
