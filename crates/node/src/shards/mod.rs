//! Claims shards, runs their owners, and runs the scheduler.
//!
//! A single Tokio task holds all state ([`driver::Driver`]). Operations that wait are spawned, and
//! their results return as an [`input::Input`]. [`claims`] claims and releases shards, [`actions`]
//! executes what an owner requests, [`notifications`] and [`workers`] update the scheduler's state,
//! [`decisions`] applies its decisions, [`summaries`] exchanges load summaries with the other
//! daemons, [`requests`] answers submissions and cancellations. See `docs/TASKS.md`.

pub mod actions;
pub mod claims;
pub mod decisions;
pub mod driver;
pub mod input;
pub mod notifications;
pub mod placement;
pub mod requests;
pub mod summaries;
pub mod workers;

use std::sync::Arc;

use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::shards::driver::Driver;
use crate::shards::input::Input;
use crate::shards::input::Reply;
use crate::shards::input::Request;
use crate::shards::input::Snapshot;
use crate::supervisor::PartResult;

/// Capacity of the inbox; requests beyond it are refused.
const INBOX_CAPACITY: usize = 4096;

/// A handle to the part that owns shards; clones share the same inbox.
#[derive(Clone)]
pub struct Shards {
    tx: mpsc::Sender<Input>,
    rx: Arc<Mutex<mpsc::Receiver<Input>>>,
}

impl Default for Shards {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(INBOX_CAPACITY);
        Self {
            tx,
            rx: Arc::new(Mutex::new(rx)),
        }
    }
}

impl Shards {
    /// Runs the part until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// Currently never fails; the signature is that of a part.
    pub async fn run(&self, cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
        let mut rx = self.rx.lock().await;
        Driver::new(cx, self.tx.clone()).run(&mut rx, token).await;
        Ok(())
    }

    /// Sends a request to the owner of a shard here, and waits for the reply.
    pub async fn request(&self, request: Request) -> Reply {
        let (tx, rx) = oneshot::channel();
        if self
            .tx
            .try_send(Input::Request { request, reply: tx })
            .is_err()
        {
            return Reply::Refused("too many requests wait".into());
        }
        rx.await.unwrap_or(Reply::Unknown)
    }

    /// Releases all shards and claims no more; returns once none is owned.
    pub async fn release_all(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::ReleaseAll { done: tx }).await.is_ok() {
            // The part may end first; then there is nothing left to release either.
            let _ = rx.await;
        }
    }

    /// Returns the state of the part for status and dump; `None` if the part is overloaded or ends
    /// first.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Input::Snapshot { reply: tx }).ok()?;
        rx.await.ok()
    }
}
