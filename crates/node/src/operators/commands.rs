//! API requests that change state: applying a document, submitting and cancelling tasks, declaring
//! workers lost.

use std::sync::Arc;
use std::time::Duration;

use conf::api::ApplyRequest;
use conf::api::Done;
use conf::api::Submission;
use conf::api::TaskState;
use conf::api::TaskView;
use http::StatusCode;
use lease::record::JobRow;
use lease::record::TaskSpec;
use lease::record::key;
use model::id::Attempt;
use model::id::DaemonId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use peer::connections::PeerCallError;
use peer::rpc::ShardRequest;
use peer::rpc::ShardResponse;
use tokio::time::timeout;

use crate::context::DaemonContext;
use crate::document::propose;
use crate::document::propose::ProposeError;
use crate::operators::ApiError;
use crate::operators::ApiResult;
use crate::operators::to_json;
use crate::shards::input::Reply;
use crate::shards::input::Request;
use crate::shards::requests::peer_address;

/// The timeout for this daemon's own shards to execute a command or to return the shard's owner.
const SHARDS_TIMEOUT: Duration = Duration::from_secs(10);
/// The retry delay sent with errors that have a temporary cause, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;
/// The default for a submission's `max_failures`: how many failures of its own a task may have
/// before it is abandoned.
const DEFAULT_MAX_FAILURES: u32 = 3;

/// Proposes a document and returns whether it came into force.
pub(super) async fn apply(cx: &Arc<DaemonContext>, req: ApplyRequest) -> ApiResult {
    match propose::propose(cx, req).await {
        Ok(reply) => to_json(&reply),
        Err(ProposeError::NotRun(reason)) => Err(ApiError::retry_later(reason, RETRY_AFTER_MS)),
        Err(ProposeError::Unknown) => Err(ApiError::unknown(
            "the change may be in force; ask again with the same id",
        )),
    }
}

/// Queues a task. A repeated submission of the same task is answered without queuing it again.
pub(super) async fn submit(cx: &Arc<DaemonContext>, submission: Submission) -> ApiResult {
    let spec = spec_of(submission);
    let shard = check_submission(cx, &spec).await?;
    if let Some(shard) = shard {
        return to_json(&queued_view(&spec, &shard));
    }
    let request = Request::Submit {
        shard: None,
        spec: spec.clone(),
    };
    let shard = run_at_owner(cx, request, |shard| {
        let spec = serde_json::to_value(&spec).unwrap_or_default();
        ShardRequest::Submit { shard, spec }
    })
    .await?;
    to_json(&queued_view(&spec, &shard))
}

/// Validates a submission against the document in force. Returns the shard if the same task was
/// submitted before.
async fn check_submission(
    cx: &DaemonContext,
    spec: &TaskSpec,
) -> Result<Option<ShardId>, ApiError> {
    let doc = cx.doc.borrow().clone();
    let Some(doc) = doc else {
        return Err(ApiError::retry_later(
            "no document is in force yet",
            RETRY_AFTER_MS,
        ));
    };
    if spec.task.as_str().is_empty() || spec.task.as_str().contains('/') {
        return Err(bad_request("a task's name is not empty and has no slash"));
    }
    if !doc.document.classes.contains_key(&spec.class) {
        return Err(bad_request(format!(
            "the document has no class {}",
            spec.class
        )));
    }
    if !doc.document.teams.contains_key(&spec.team) {
        return Err(bad_request(format!(
            "the document has no team {}",
            spec.team
        )));
    }
    match read_job_row(cx, &spec.task).await? {
        Some(job) if job.spec == *spec => Ok(Some(job.shard)),
        Some(_) => {
            let reason = format!("another task is named {}", spec.task);
            Err(ApiError::not_run(StatusCode::CONFLICT, reason))
        }
        None => Ok(None),
    }
}

/// Requests the cancellation of a task from the owner of its shard.
pub(super) async fn cancel(cx: &Arc<DaemonContext>, task: TaskId) -> ApiResult {
    let Some(job) = read_job_row(cx, &task).await? else {
        return Err(ApiError::not_run(
            StatusCode::NOT_FOUND,
            format!("there is no task {task}"),
        ));
    };
    if job.end.is_some() {
        return to_json(&Done {
            message: format!("task {task} had ended"),
        });
    }
    let shard = job.shard;
    let request = Request::Cancel {
        shard: shard.clone(),
        task: task.clone(),
    };
    run_at_owner(cx, request, |shard| ShardRequest::Cancel {
        shard,
        task: task.clone(),
    })
    .await?;
    to_json(&Done {
        message: format!("task {task} is being cancelled"),
    })
}

/// Declares a worker dead at the operator's request.
pub(super) async fn worker_lost(cx: &Arc<DaemonContext>, worker: WorkerId) -> ApiResult {
    let hosts = cx.hosts.borrow().clone();
    let entry = hosts.workers.iter().find(|entry| entry.id == worker);
    let Some(shard) = entry.map(|entry| entry.rack.clone()) else {
        let reason = format!("the host list has no worker {worker}");
        return Err(ApiError::not_run(StatusCode::NOT_FOUND, reason));
    };
    let request = Request::WorkerLost {
        shard,
        worker: worker.clone(),
    };
    run_at_owner(cx, request, |shard| ShardRequest::WorkerLost {
        shard,
        worker: worker.clone(),
    })
    .await?;
    to_json(&Done {
        message: format!("worker {worker} is taken for dead"),
    })
}

/// Executes a request at the owner of its shard, on this or another daemon, and returns the shard.
async fn run_at_owner(
    cx: &Arc<DaemonContext>,
    request: Request,
    call: impl FnOnce(ShardId) -> ShardRequest,
) -> Result<ShardId, ApiError> {
    let reply = timeout(SHARDS_TIMEOUT, cx.shards.request(request))
        .await
        .unwrap_or(Reply::Unknown);
    match reply {
        Reply::Done(shard) => Ok(shard),
        Reply::WaitReasons(_) => Err(ApiError::unknown("the owner answered another question")),
        Reply::Refused(reason) => Err(ApiError::retry_later(reason, RETRY_AFTER_MS)),
        Reply::Unknown => Err(ApiError::unknown("ask again; the same name is used once")),
        Reply::NotOwner { shard, owner } => {
            let owner = owner.ok_or_else(|| {
                ApiError::retry_later(format!("nobody owns shard {shard} now"), RETRY_AFTER_MS)
            })?;
            call_owner(cx, &owner, call(shard.clone())).await?;
            Ok(shard)
        }
    }
}

async fn call_owner(
    cx: &DaemonContext,
    owner: &DaemonId,
    call: ShardRequest,
) -> Result<(), ApiError> {
    let address = cx.view().members.get(owner).and_then(peer_address);
    let Some(address) = address else {
        return Err(ApiError::retry_later(
            format!("daemon {owner} is not known"),
            RETRY_AFTER_MS,
        ));
    };
    match cx.links.shard(address, call).await {
        Ok(ShardResponse::Done) => Ok(()),
        Ok(ShardResponse::Refused { reason }) => Err(ApiError::retry_later(reason, RETRY_AFTER_MS)),
        Ok(ShardResponse::NotOwner) | Err(PeerCallError::NotSent(_)) => Err(ApiError::retry_later(
            "the shard is changing its owner",
            RETRY_AFTER_MS,
        )),
        Ok(ShardResponse::WaitReasons { .. }) => {
            Err(ApiError::unknown("the owner answered another question"))
        }
        Ok(ShardResponse::Unknown) | Err(PeerCallError::NoAnswer(_)) => Err(ApiError::unknown(
            format!("daemon {owner} has not answered; ask again"),
        )),
    }
}

/// Reads the table row that reserves the name of a task and, once the task has ended, records how.
pub(super) async fn read_job_row(
    cx: &DaemonContext,
    task: &TaskId,
) -> Result<Option<JobRow>, ApiError> {
    let row = (cx.platform.table.read)(key::job(task))
        .await
        .map_err(|error| {
            ApiError::retry_later(
                format!("the table does not answer: {error}"),
                RETRY_AFTER_MS,
            )
        })?;
    let Some(row) = row else {
        return Ok(None);
    };
    let job = serde_json::from_value(row.value);
    job.map(Some)
        .map_err(|error| ApiError::retry_later(format!("row of {task}: {error}"), RETRY_AFTER_MS))
}

fn bad_request(reason: impl Into<String>) -> ApiError {
    ApiError::not_run(StatusCode::BAD_REQUEST, reason)
}

fn spec_of(submission: Submission) -> TaskSpec {
    TaskSpec {
        task: submission.task,
        team: submission.team,
        class: submission.class,
        priority: submission.priority,
        size: submission.size,
        run_ms: submission.run_ms,
        max_failures: submission.max_failures.unwrap_or(DEFAULT_MAX_FAILURES),
    }
}

fn queued_view(spec: &TaskSpec, shard: &ShardId) -> TaskView {
    TaskView {
        task: spec.task.clone(),
        team: spec.team.clone(),
        class: spec.class.clone(),
        state: TaskState::Queued,
        attempt: Attempt(0),
        shard: shard.clone(),
        worker: None,
        evictions: 0,
        failures: 0,
        reason: None,
    }
}
