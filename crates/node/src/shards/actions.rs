//! Executes the actions that the owner of a shard returns.

use std::time::Duration;

use lease::owner::Action;
use model::id::Epoch;
use model::id::ShardId;
use model::id::WorkerId;
use plat::commit::commit_with_retries;
use plat::error::CallError;
use plat::table::Txn;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerRequest;
use tokio::time::Instant;

use crate::shards::driver::Driver;
use crate::shards::input::Input;

/// Time for which a transaction is retried before its outcome is reported to the owner as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Driver {
    /// Executes actions of the owner of a shard, in order.
    pub(super) fn execute(&mut self, shard: &ShardId, epoch: Epoch, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Commit(txn) => self.commit(shard, epoch, txn),
                Action::Send { worker, message } => self.send(shard, epoch, worker, message),
                Action::Notify(notification) => {
                    self.notifications.push_back((shard.clone(), notification));
                }
                Action::StepDown(reason) => {
                    log::info!(target: "node::shards::carry", shard = shard.as_str(), epoch = epoch.0; "gives up the shard: {reason}");
                    self.stopped_shards.push(shard.clone());
                }
            }
        }
    }

    fn commit(&self, shard: &ShardId, epoch: Epoch, txn: Txn) {
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            let op = txn.op.clone();
            let deadline = Instant::now() + COMMIT_TIMEOUT;
            let settled = commit_with_retries(&cx.platform.table, txn, deadline).await;
            let _ = tx
                .send(Input::Settled {
                    shard,
                    epoch,
                    op,
                    settled,
                })
                .await;
        });
    }

    fn send(&self, shard: &ShardId, epoch: Epoch, worker: WorkerId, message: WorkerMessage) {
        let hosts = self.cx.hosts.borrow().clone();
        let entry = hosts.workers.iter().find(|entry| entry.id == worker);
        let address = entry.map(|entry| entry.address);
        let cx = self.cx.clone();
        let tx = self.tx.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            let sequence = message.sequence;
            let answer = match address {
                Some(address) => {
                    (cx.platform.workers.send)(WorkerRequest { address, message }).await
                }
                None => Err(WorkerError::Call(CallError::Refused(
                    "the host list lacks the worker".into(),
                ))),
            };
            let _ = tx
                .send(Input::Answer {
                    shard,
                    epoch,
                    worker,
                    sequence,
                    answer,
                })
                .await;
        });
    }
}
