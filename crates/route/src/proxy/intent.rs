//! Intent rows, which ensure that a non-idempotent request with an id is run at most once.
//!
//! The row is written before the request is sent, and a request whose row already exists is never
//! sent. See `docs/ROUTING.md` for what the owner of a row may conclude from it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use model::Mono;
use model::id::DaemonId;
use model::id::OpId;
use model::id::RowVersion;
use model::outcome::Outcome;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Check;
use plat::table::Txn;
use plat::table::Write;
use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::Inner;
use super::head::RequestHead;
use super::reply::Reply;

/// How long requests that need the store are refused immediately after it failed.
const STORE_BACKOFF: Duration = Duration::from_millis(500);
/// Timeout for recording the outcome of a request.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// Recorded state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum IntentState {
    /// The request is about to be sent or has been sent; it may be running.
    Sending,
    /// An executor responded with this status.
    Answered {
        /// HTTP status code.
        status: u16,
    },
    /// The request may have been run.
    Unknown,
}

/// The row `request/<upstream>/<caller>/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Recorded state.
    #[serde(flatten)]
    pub state: IntentState,
    /// Daemon that sent the request and wrote the row.
    pub daemon: DaemonId,
    /// Unix time of the last write, in milliseconds; old rows are removed.
    pub unix_ms: u64,
}

/// Prefix of the keys of all intent rows.
pub const PREFIX: &str = "request/";

/// Key and operation of a row that this daemon has written for a request in progress.
pub(super) struct Intent {
    key: String,
    op: OpId,
}

/// Records the outcome of a request, which is unknown if the caller disconnects first.
pub(super) struct Recorder {
    inner: Arc<Inner>,
    intent: Option<Intent>,
}

impl Recorder {
    pub(super) fn new(inner: &Arc<Inner>, intent: Intent) -> Self {
        Self {
            inner: Arc::clone(inner),
            intent: Some(intent),
        }
    }

    /// Records the outcome in the background. The row of a request that was certainly not run is
    /// removed, so that the request may be sent again under the same id.
    pub(super) fn record(mut self, outcome: Outcome, status: StatusCode) {
        self.spawn(match outcome {
            Outcome::NotRun => None,
            Outcome::Answered => Some(IntentState::Answered {
                status: status.as_u16(),
            }),
            Outcome::Unknown => Some(IntentState::Unknown),
        });
    }

    fn spawn(&mut self, state: Option<IntentState>) {
        let (Some(intent), Ok(runtime)) = (self.intent.take(), Handle::try_current()) else {
            return;
        };
        let inner = Arc::clone(&self.inner);
        inner.recording.fetch_add(1, Ordering::AcqRel);
        runtime.spawn(async move {
            inner.replace_intent(&intent, state).await;
            inner.recording.fetch_sub(1, Ordering::AcqRel);
            inner.request_ended.notify_waiters();
        });
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.spawn(Some(IntentState::Unknown));
    }
}

impl Inner {
    /// Writes the intent row of a request. If the request was sent before or the store is
    /// unavailable, the result is the reply to the caller.
    pub(super) async fn write_intent(
        &self,
        request_head: &RequestHead,
        upstream: &str,
        deadline: Instant,
    ) -> Result<Intent, Box<Reply>> {
        let id = request_head.id.as_deref().unwrap_or_default();
        let caller = request_head.route_request.caller.as_deref().unwrap_or("-");
        let key = format!("{PREFIX}{upstream}/{caller}/{id}");
        self.ensure_store_available()?;
        let op = self.next_op();
        let txn = Txn {
            op: op.clone(),
            checks: vec![check(&key, RowVersion::default())],
            writes: vec![self.row(&key, Some(IntentState::Sending))],
        };
        let until = deadline.min(Instant::now() + self.cfg.limits.intent_write_timeout);
        match commit_with_retries(&self.table, txn, until).await {
            TxnOutcome::Committed => Ok(Intent { key, op }),
            TxnOutcome::Conflict { row: Some(row), .. } => {
                Err(Box::new(duplicate_request(row.value)))
            }
            TxnOutcome::Conflict { row: None, .. } => Err(Box::new(still_in_progress())),
            TxnOutcome::Unknown | TxnOutcome::Refused(_) => {
                self.back_off_store(self.clock.now().after(STORE_BACKOFF));
                Err(Box::new(store_unavailable()))
            }
        }
    }

    fn ensure_store_available(&self) -> Result<(), Box<Reply>> {
        let backoff_until = Mono(self.store_backoff_until.load(Ordering::Relaxed));
        if self.clock.now() < backoff_until {
            return Err(Box::new(store_unavailable()));
        }
        Ok(())
    }

    fn back_off_store(&self, at: Mono) {
        self.store_backoff_until.store(at.0, Ordering::Relaxed);
    }

    fn next_op(&self) -> OpId {
        let count = self.sequence.fetch_add(1, Ordering::Relaxed);
        let daemon = &self.cfg.router.daemon;
        OpId::from(format!("{daemon}-{:x}-{count}", self.seed))
    }

    fn row(&self, key: &str, state: Option<IntentState>) -> Write {
        let row = state.map(|state| IntentRow {
            state,
            daemon: self.cfg.router.daemon.clone(),
            unix_ms: (self.cfg.unix_ms)(),
        });
        Write {
            key: key.to_owned(),
            value: row.and_then(|row| serde_json::to_value(row).ok()),
        }
    }

    async fn replace_intent(&self, intent: &Intent, state: Option<IntentState>) {
        let until = Instant::now() + RECORD_TIMEOUT;
        let read = tokio::time::timeout_at(until, (self.table.read)(intent.key.clone())).await;
        let Ok(Ok(Some(row))) = read else {
            log::warn!(key = intent.key.as_str(); "the outcome of a request is not recorded");
            return;
        };
        if row.op != intent.op {
            return;
        }
        let txn = Txn {
            op: self.next_op(),
            checks: vec![check(&intent.key, row.version)],
            writes: vec![self.row(&intent.key, state)],
        };
        if commit_with_retries(&self.table, txn, until).await != TxnOutcome::Committed {
            log::warn!(key = intent.key.as_str(); "the outcome of a request is not recorded");
        }
    }
}

fn check(key: &str, version: RowVersion) -> Check {
    Check {
        key: key.to_owned(),
        version,
    }
}

fn store_unavailable() -> Reply {
    let reason = "the store is away, and a non-idempotent request with an id needs it";
    Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(Duration::from_secs(1))
}

fn still_in_progress() -> Reply {
    let reason = "a request with this id was sent before and may still be in progress";
    Reply::unknown(StatusCode::CONFLICT, reason).retry_after(Duration::from_secs(1))
}

fn duplicate_request(value: serde_json::Value) -> Reply {
    match serde_json::from_value::<IntentRow>(value).map(|row| row.state) {
        Ok(IntentState::Answered { status }) => {
            let reason = format!("a request with this id was answered before, status {status}");
            Reply::from_outcome(StatusCode::CONFLICT, Outcome::Answered, &reason)
        }
        Ok(IntentState::Unknown) => {
            let reason = "a request with this id was sent before, and its outcome is unknown";
            Reply::unknown(StatusCode::CONFLICT, reason)
        }
        Ok(IntentState::Sending) | Err(_) => still_in_progress(),
    }
}
