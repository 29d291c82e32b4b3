//! Follows the operators' document.
//!
//! A change is in force here with the answer to a waiting call. Changes can be missed, as when the
//! store drops its history or a connection goes silent, so every failed wait is followed by a read
//! of the whole document. A lower version than the one in force is never taken.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::plan::Plan;

use crate::dependencies::StoreError;
use crate::events;
use crate::node::Node;

/// How long one wait for a change takes at most; the document is not read in between.
const WAIT: Duration = Duration::from_millis(1_000);
/// The pause after the store did not answer.
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

/// Puts a document into force unless a newer one is.
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
