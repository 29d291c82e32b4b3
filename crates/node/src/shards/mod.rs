//! The shards that this daemon owns: claims them, runs their owners and the scheduler.
//!
//! One task holds all state ([`driver::Driver`]); everything that takes time is spawned and comes
//! back as an [`input::Input`]. [`claims`] takes and gives back shards, [`carry`] carries out what an
//! owner wants done, [`facts`] and [`workers`] keep the scheduler's picture, [`decisions`] carries out
//! what it decides, [`summaries`] tells the other daemons, [`calls`] answers submissions and
//! cancellations. See `docs/TASKS.md`.

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

/// How many inputs wait before callers are refused.
const INBOX_CAPACITY: usize = 4096;

/// The way to the part that owns the shards; clones share it.
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
    /// Runs the part until `token` asks for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon's own state no longer allows it to go on.
    pub async fn run(&self, cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
        let mut rx = self.rx.lock().await;
        Driver::new(cx, self.tx.clone()).run(&mut rx, token).await;
        Ok(())
    }

    /// Asks something of a shard's owner here, and waits for what became of it.
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

    /// Gives back all shards and takes no more; returns once none is left.
    pub async fn release_all(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::ReleaseAll { done: tx }).await.is_ok() {
            // The part may end first, which leaves nothing to give back either.
            let _ = rx.await;
        }
    }

    /// Returns what the part holds, for status and dump.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Input::Snapshot { reply: tx }).ok()?;
        rx.await.ok()
    }
}
