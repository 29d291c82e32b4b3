//! Wait reasons of queued tasks, requested from the owners of their shards.

use std::collections::BTreeMap;
use std::time::Duration;

use conf::api::TaskState;
use conf::api::TaskView;
use futures::future::join_all;
use model::id::DaemonId;
use model::id::ShardId;
use model::id::TaskId;
use peer::rpc::ShardRequest;
use peer::rpc::ShardResponse;
use tokio::time::timeout;

use crate::context::DaemonContext;
use crate::shards::input::Reply;
use crate::shards::input::Request;
use crate::shards::requests::peer_address;

/// The timeout for an owner to return wait reasons. After it, the tasks are listed without reasons
/// rather than not at all.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of tasks per shard whose wait reasons are requested, since the owner examines
/// all workers for each of them.
const MAX_TASKS_PER_SHARD: usize = 200;

/// Sets the wait reason of each queued task, as far as the owners of the shards return one.
pub async fn fill_wait_reasons(cx: &DaemonContext, tasks: &mut [TaskView]) {
    let mut waiting: BTreeMap<ShardId, Vec<TaskId>> = BTreeMap::new();
    for task in tasks.iter().filter(|task| is_queued(task)) {
        let shard_tasks = waiting.entry(task.shard.clone()).or_default();
        if shard_tasks.len() < MAX_TASKS_PER_SHARD {
            shard_tasks.push(task.task.clone());
        }
    }
    let requests = waiting
        .into_iter()
        .map(|(shard, tasks)| wait_reasons(cx, shard, tasks));
    let mut reasons: BTreeMap<TaskId, String> = BTreeMap::new();
    reasons.extend(join_all(requests).await.into_iter().flatten());
    for task in tasks.iter_mut().filter(|task| is_queued(task)) {
        task.reason = reasons.remove(&task.task);
    }
}

fn is_queued(task: &TaskView) -> bool {
    task.state == TaskState::Queued
}

async fn wait_reasons(
    cx: &DaemonContext,
    shard: ShardId,
    tasks: Vec<TaskId>,
) -> BTreeMap<TaskId, String> {
    let request = Request::WaitReasons {
        shard: shard.clone(),
        tasks: tasks.clone(),
    };
    let reply = timeout(OWNER_TIMEOUT, cx.shards.request(request)).await;
    let answer = match reply {
        Ok(Reply::WaitReasons(reasons)) => Ok(reasons),
        Ok(Reply::NotOwner {
            owner: Some(owner), ..
        }) => call_owner(cx, &owner, ShardRequest::WaitReasons { shard, tasks }).await,
        Ok(Reply::NotOwner { owner: None, .. }) => {
            return same_reason(&tasks, &format!("nobody owns shard {shard} now"));
        }
        _ => Err("no answer".to_owned()),
    };
    answer.unwrap_or_else(|error| {
        log::warn!(target: "node::operators::held", event = "held_unknown", error = error.as_str(); "");
        BTreeMap::new()
    })
}

fn same_reason(tasks: &[TaskId], reason: &str) -> BTreeMap<TaskId, String> {
    let tasks = tasks.iter();
    tasks
        .map(|task| (task.clone(), reason.to_owned()))
        .collect()
}

async fn call_owner(
    cx: &DaemonContext,
    owner: &DaemonId,
    call: ShardRequest,
) -> Result<BTreeMap<TaskId, String>, String> {
    let address = cx.view().members.get(owner).and_then(peer_address);
    let address = address.ok_or_else(|| format!("daemon {owner} is not known"))?;
    let answer = timeout(OWNER_TIMEOUT, cx.links.shard(address, call)).await;
    match answer {
        Ok(Ok(ShardResponse::WaitReasons { reasons })) => Ok(reasons),
        Ok(Ok(other)) => Err(format!("daemon {owner} answered {other:?}")),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("daemon {owner} has not answered in time")),
    }
}
