//! Follows the operators' document.
//!
//! A change comes into force when a waiting call returns it. Changes can be missed, for example
//! when the store drops its history or a connection hangs, so the whole document is read again
//! after every failed call. A version lower than the one in force is never accepted.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::plan::Plan;

use crate::dependencies::StoreError;
use crate::events;
use crate::node::Node;

/// How long a call waits for a change; the document is not read in the meantime.
const WAIT: Duration = Duration::from_millis(1_000);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Keeps the document in force up to date until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut version = None;
    loop {
        let result = match version {
            None => (node.dependencies.document.read)(()).await,
            Some(after) => (node.dependencies.document.follow)((after, WAIT)).await,
        };
        match result {
            Ok((plan, current_version)) => {
                node.record_store_result(true);
                version = Some(current_version);
                if let Some(plan) = plan {
                    accept(&node, plan);
                }
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(_) => {
                version = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Puts a document into force unless its version is already in force or older.
pub fn accept(node: &Node, plan: Plan) {
    let current = node.plan().map_or(0, |plan| plan.version);
    if plan.version < current || (plan.version == current && current > 0) {
        return;
    }
    events::document(plan.version, plan.queues.len());
    let plan = Arc::new(plan);
    *node.plan.borrow_mut() = Some(plan.clone());
    if let Some(owner) = node.owner() {
        owner.set_plan(plan);
    }
}
