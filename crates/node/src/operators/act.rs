//! What operators have done: documents, tasks, workers.

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

use crate::cx::Cx;
use crate::document::propose;
use crate::document::propose::Unanswered;
use crate::operators::Answered;
use crate::operators::Refused;
use crate::operators::json;
use crate::shards::calls::peer_address;
use crate::shards::input::Reply;
use crate::shards::input::Request;

/// How long an operator waits for what became of a submission or a cancellation.
const ASK_TIMEOUT: Duration = Duration::from_secs(10);
/// When to try again what was refused for a passing reason, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;
/// How often a task may fail by itself before it is given up, if its submission does not say.
const DEFAULT_MAX_FAILURES: u32 = 3;

/// Puts a document into force.
pub(super) async fn apply(cx: &Arc<Cx>, req: ApplyRequest) -> Answered {
    match propose::propose(cx, req).await {
        Ok(reply) => json(&reply),
        Err(Unanswered::NotRun(reason)) => Err(Refused::later(reason, RETRY_AFTER_MS)),
        Err(Unanswered::Unknown) => Err(Refused::unknown(
            "the change may be in force; ask again with the same id",
        )),
    }
}

/// Queues a task.
pub(super) async fn submit(cx: &Arc<Cx>, submission: Submission) -> Answered {
    let spec = spec_of(submission);
    let shard = check_submission(cx, &spec).await?;
    if let Some(shard) = shard {
        return json(&view(&spec, &shard));
    }
    let request = Request::Submit {
        shard: None,
        spec: spec.clone(),
    };
    let shard = carry(cx, request, |shard| {
        let spec = serde_json::to_value(&spec).unwrap_or_default();
        ShardRequest::Submit { shard, spec }
    })
    .await?;
    json(&view(&spec, &shard))
}

/// Refuses what the document does not know; returns the shard of a task that is known already.
async fn check_submission(cx: &Cx, spec: &TaskSpec) -> Result<Option<ShardId>, Refused> {
    let doc = cx.doc.borrow().clone();
    let Some(doc) = doc else {
        return Err(Refused::later(
            "no document is in force yet",
            RETRY_AFTER_MS,
        ));
    };
    if spec.task.as_str().is_empty() || spec.task.as_str().contains('/') {
        return Err(bad("a task's name is not empty and has no slash"));
    }
    if !doc.document.classes.contains_key(&spec.class) {
        return Err(bad(format!("the document has no class {}", spec.class)));
    }
    if !doc.document.teams.contains_key(&spec.team) {
        return Err(bad(format!("the document has no team {}", spec.team)));
    }
    match job(cx, &spec.task).await? {
        Some(job) if job.spec == *spec => Ok(Some(job.shard)),
        Some(_) => {
            let reason = format!("another task is named {}", spec.task);
            Err(Refused::not_run(StatusCode::CONFLICT, reason))
        }
        None => Ok(None),
    }
}

/// Cancels a task.
pub(super) async fn cancel(cx: &Arc<Cx>, task: TaskId) -> Answered {
    let Some(job) = job(cx, &task).await? else {
        return Err(Refused::not_run(
            StatusCode::NOT_FOUND,
            format!("there is no task {task}"),
        ));
    };
    if job.end.is_some() {
        return json(&Done {
            message: format!("task {task} had ended"),
        });
    }
    let shard = job.shard;
    let request = Request::Cancel {
        shard: shard.clone(),
        task: task.clone(),
    };
    carry(cx, request, |shard| ShardRequest::Cancel {
        shard,
        task: task.clone(),
    })
    .await?;
    json(&Done {
        message: format!("task {task} is being cancelled"),
    })
}

/// Takes a worker for dead on the operator's word.
pub(super) async fn worker_lost(cx: &Arc<Cx>, worker: WorkerId) -> Answered {
    let hosts = cx.hosts.borrow().clone();
    let entry = hosts.workers.iter().find(|entry| entry.id == worker);
    let Some(shard) = entry.map(|entry| entry.rack.clone()) else {
        let reason = format!("the host list has no worker {worker}");
        return Err(Refused::not_run(StatusCode::NOT_FOUND, reason));
    };
    let request = Request::WorkerLost {
        shard,
        worker: worker.clone(),
    };
    carry(cx, request, |shard| ShardRequest::WorkerLost {
        shard,
        worker: worker.clone(),
    })
    .await?;
    json(&Done {
        message: format!("worker {worker} is taken for dead"),
    })
}

/// Has the owner of a shard do something, here or at another daemon; returns the shard.
async fn carry(
    cx: &Arc<Cx>,
    request: Request,
    call: impl FnOnce(ShardId) -> ShardRequest,
) -> Result<ShardId, Refused> {
    let reply = timeout(ASK_TIMEOUT, cx.shards.ask(request))
        .await
        .unwrap_or(Reply::Unknown);
    match reply {
        Reply::Done(shard) => Ok(shard),
        Reply::Held(_) => Err(Refused::unknown("the owner answered another question")),
        Reply::Refused(reason) => Err(Refused::later(reason, RETRY_AFTER_MS)),
        Reply::Unknown => Err(Refused::unknown("ask again; the same name is used once")),
        Reply::Elsewhere { shard, owner } => {
            let owner = owner.ok_or_else(|| {
                Refused::later(format!("nobody owns shard {shard} now"), RETRY_AFTER_MS)
            })?;
            ask_owner(cx, &owner, call(shard.clone())).await?;
            Ok(shard)
        }
    }
}

async fn ask_owner(cx: &Cx, owner: &DaemonId, call: ShardRequest) -> Result<(), Refused> {
    let address = cx.view().members.get(owner).and_then(peer_address);
    let Some(address) = address else {
        return Err(Refused::later(
            format!("daemon {owner} is not known"),
            RETRY_AFTER_MS,
        ));
    };
    match cx.links.shard(address, call).await {
        Ok(ShardResponse::Done) => Ok(()),
        Ok(ShardResponse::Refused { reason }) => Err(Refused::later(reason, RETRY_AFTER_MS)),
        Ok(ShardResponse::NotOwner) | Err(PeerCallError::NotSent(_)) => Err(Refused::later(
            "the shard is changing its owner",
            RETRY_AFTER_MS,
        )),
        Ok(ShardResponse::WaitReasons { .. }) => {
            Err(Refused::unknown("the owner answered another question"))
        }
        Ok(ShardResponse::Unknown) | Err(PeerCallError::NoAnswer(_)) => Err(Refused::unknown(
            format!("daemon {owner} has not answered; ask again"),
        )),
    }
}

/// Reads the row that keeps a task's name.
pub(super) async fn job(cx: &Cx, task: &TaskId) -> Result<Option<JobRow>, Refused> {
    let row = (cx.outside.table.read)(key::job(task))
        .await
        .map_err(|error| {
            Refused::later(
                format!("the table does not answer: {error}"),
                RETRY_AFTER_MS,
            )
        })?;
    let Some(row) = row else {
        return Ok(None);
    };
    let job = serde_json::from_value(row.value);
    job.map(Some)
        .map_err(|error| Refused::later(format!("row of {task}: {error}"), RETRY_AFTER_MS))
}

fn bad(reason: impl Into<String>) -> Refused {
    Refused::not_run(StatusCode::BAD_REQUEST, reason)
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

fn view(spec: &TaskSpec, shard: &ShardId) -> TaskView {
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
