//! Keeps a claim while its host reads the stored state.
//!
//! Other hosts claim if the owner's row does not change for a while. Reading all jobs may take
//! longer than that over a full link, and a further claim would only start the same reads again.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Claim;
use crate::dependencies::Row;
use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::node::Node;
use crate::node::SendTime;
use crate::rows;
use crate::rows::OwnerRecord;
use crate::store_call::StoreCall;

/// Interval at which the owner's row is written.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before a write without a result is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// A claim that another host has superseded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Superseded;

/// Writes the owner's row regularly until `done` is cancelled, and returns the claim as last written
/// with the time at which the store last confirmed it. A write is never abandoned: the next
/// transaction has to know whether it took effect.
///
/// # Errors
///
/// Returns [`Superseded`] if another host has claimed the executors.
pub(super) async fn keep(
    node: &Node,
    claim: &Claim,
    done: &CancellationToken,
) -> Result<(Claim, SendTime), Superseded> {
    let mut claim = claim.clone();
    let mut confirmed_at = claim.sent;
    loop {
        tokio::select! {
            () = done.cancelled() => return Ok((claim, confirmed_at)),
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
        }
        confirmed_at = write(node, &mut claim).await?;
    }
}

/// Writes the owner's row once, and returns when the write that took effect was sent at the latest.
async fn write(node: &Node, claim: &mut Claim) -> Result<SendTime, Superseded> {
    let record = OwnerRecord {
        transaction: claim.record.transaction + 1,
        ..claim.record.clone()
    };
    let value = serde_json::to_vec(&record).map_err(|_| Superseded)?;
    let first_sent = node.send_time();
    loop {
        let transaction = Transaction {
            expect: vec![(rows::owner_row_id(), claim.version)],
            puts: vec![(rows::owner_row_id(), value.clone())],
            removes: Vec::new(),
        };
        let sent = node.send_time();
        let result = (node.dependencies.store.commit)(transaction).await;
        let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
        node.record_store_result(StoreCall::Transaction, answered);
        match result {
            Ok(version) => {
                claim.record = record;
                claim.version = version;
                return Ok(sent);
            }
            Err(StoreError::Conflict { rows }) => {
                let (current, version) = owner_row(&rows).ok_or(Superseded)?;
                if current == record {
                    claim.record = record;
                    claim.version = version;
                    // Any of the attempts may have taken effect.
                    return Ok(first_sent);
                }
                if current != claim.record {
                    return Err(Superseded);
                }
                claim.version = version;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn owner_row(rows: &[Row]) -> Option<(OwnerRecord, u64)> {
    let row = rows.iter().find(|row| row.key == rows::OWNER_KEY)?;
    let record = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((record, row.version))
}
