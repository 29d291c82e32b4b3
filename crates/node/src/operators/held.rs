//! Says of waiting tasks what holds them back, as the owners of their shards see it.

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

use crate::cx::Cx;
use crate::shards::calls::peer_address;
use crate::shards::input::Reply;
use crate::shards::input::Request;

/// How long an owner may take to say what holds its tasks back; a list without reasons is better
/// than none.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// The most tasks of a shard that are asked about, since each answer looks at all workers.
const MOST_ASKED: usize = 200;

/// Sets the reason of each task that waits.
pub async fn explain(cx: &Cx, tasks: &mut [TaskView]) {
    let mut waiting: BTreeMap<ShardId, Vec<TaskId>> = BTreeMap::new();
    for task in tasks.iter().filter(|task| waits(task)) {
        let asked = waiting.entry(task.shard.clone()).or_default();
        if asked.len() < MOST_ASKED {
            asked.push(task.task.clone());
        }
    }
    let asked = waiting
        .into_iter()
        .map(|(shard, tasks)| reasons(cx, shard, tasks));
    let mut reasons: BTreeMap<TaskId, String> = BTreeMap::new();
    reasons.extend(join_all(asked).await.into_iter().flatten());
    for task in tasks.iter_mut().filter(|task| waits(task)) {
        task.reason = reasons.remove(&task.task);
    }
}

fn waits(task: &TaskView) -> bool {
    task.state == TaskState::Queued
}

async fn reasons(cx: &Cx, shard: ShardId, tasks: Vec<TaskId>) -> BTreeMap<TaskId, String> {
    let request = Request::Held {
        shard: shard.clone(),
        tasks: tasks.clone(),
    };
    let reply = timeout(ASK_TIMEOUT, cx.shards.ask(request)).await;
    let answer = match reply {
        Ok(Reply::Held(reasons)) => Ok(reasons),
        Ok(Reply::Elsewhere {
            owner: Some(owner), ..
        }) => ask_owner(cx, &owner, ShardRequest::WaitReasons { shard, tasks }).await,
        Ok(Reply::Elsewhere { owner: None, .. }) => {
            return all(&tasks, &format!("nobody owns shard {shard} now"));
        }
        _ => Err("no answer".to_owned()),
    };
    answer.unwrap_or_else(|error| {
        log::warn!(event = "held_unknown", error = error.as_str(); "");
        BTreeMap::new()
    })
}

fn all(tasks: &[TaskId], reason: &str) -> BTreeMap<TaskId, String> {
    let tasks = tasks.iter();
    tasks
        .map(|task| (task.clone(), reason.to_owned()))
        .collect()
}

async fn ask_owner(
    cx: &Cx,
    owner: &DaemonId,
    call: ShardRequest,
) -> Result<BTreeMap<TaskId, String>, String> {
    let address = cx.view().members.get(owner).and_then(peer_address);
    let address = address.ok_or_else(|| format!("daemon {owner} is not known"))?;
    let answer = timeout(ASK_TIMEOUT, cx.links.shard(address, call)).await;
    match answer {
        Ok(Ok(ShardResponse::WaitReasons { reasons })) => Ok(reasons),
        Ok(Ok(other)) => Err(format!("daemon {owner} answered {other:?}")),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("daemon {owner} has not answered in time")),
    }
}
