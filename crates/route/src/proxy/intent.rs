//! The rows by which a non-idempotent request with an id is run at most once.
//!
//! The row is written before the request is sent; whoever finds one never sends the request. See
//! `docs/ROUTING.md` for what its keeper may conclude.

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
use super::head::Intake;
use super::reply::Reply;

/// How long requests that need the store are refused at once after it failed.
const STORE_REST: Duration = Duration::from_millis(500);
/// How long the outcome of a request may take to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// What is recorded of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum IntentState {
    /// About to be sent, or sent: it may be running.
    Sending,
    /// An executor answered with this status.
    Answered {
        /// The status.
        status: u16,
    },
    /// It may have been run.
    Unknown,
}

/// The row `request/<upstream>/<caller>/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// What is recorded.
    #[serde(flatten)]
    pub state: IntentState,
    /// The daemon that sent it.
    pub daemon: DaemonId,
    /// When it was written, in milliseconds since 1970; old rows are removed.
    pub unix_ms: u64,
}

/// The prefix of all these rows.
pub const PREFIX: &str = "request/";

/// A row that this daemon has written for a request under way.
pub(super) struct Intent {
    key: String,
    op: OpId,
}

/// Records what became of a request; if its caller hangs up first, that is unknown.
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

    /// Records the outcome in the background. A request that was certainly not run loses its row,
    /// so that it may be sent again under the same id.
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
            inner.replace(&intent, state).await;
            inner.recording.fetch_sub(1, Ordering::AcqRel);
            inner.ended.notify_waiters();
        });
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.spawn(Some(IntentState::Unknown));
    }
}

impl Inner {
    /// Writes the row of a request, or returns what the caller is told instead: that it was sent
    /// before, or that it was not run because the store is away.
    pub(super) async fn begin(
        &self,
        intake: &Intake,
        upstream: &str,
        deadline: Instant,
    ) -> Result<Intent, Box<Reply>> {
        let id = intake.id.as_deref().unwrap_or_default();
        let caller = intake.arrival.caller.as_deref().unwrap_or("-");
        let key = format!("{PREFIX}{upstream}/{caller}/{id}");
        self.check_store()?;
        let op = self.next_op();
        let txn = Txn {
            op: op.clone(),
            checks: vec![check(&key, RowVersion::default())],
            writes: vec![self.row(&key, Some(IntentState::Sending))],
        };
        let until = deadline.min(Instant::now() + self.cfg.bounds.intent);
        match commit_with_retries(&self.table, txn, until).await {
            TxnOutcome::Committed => Ok(Intent { key, op }),
            TxnOutcome::Conflict { row: Some(row), .. } => Err(Box::new(repeated(row.value))),
            TxnOutcome::Conflict { row: None, .. } => Err(Box::new(in_progress())),
            TxnOutcome::Unknown | TxnOutcome::Refused(_) => {
                self.store_rest_until(self.clock.now().after(STORE_REST));
                Err(Box::new(store_away()))
            }
        }
    }

    fn check_store(&self) -> Result<(), Box<Reply>> {
        let rest = Mono(self.store_rest.load(Ordering::Relaxed));
        if self.clock.now() < rest {
            return Err(Box::new(store_away()));
        }
        Ok(())
    }

    fn store_rest_until(&self, at: Mono) {
        self.store_rest.store(at.0, Ordering::Relaxed);
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

    async fn replace(&self, intent: &Intent, state: Option<IntentState>) {
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

fn store_away() -> Reply {
    let reason = "the store is away, and a non-idempotent request with an id needs it";
    Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(Duration::from_secs(1))
}

fn in_progress() -> Reply {
    let reason = "a request with this id was sent before and may still be in progress";
    Reply::unknown(StatusCode::CONFLICT, reason).retry_after(Duration::from_secs(1))
}

fn repeated(value: serde_json::Value) -> Reply {
    match serde_json::from_value::<IntentRow>(value).map(|row| row.state) {
        Ok(IntentState::Answered { status }) => {
            let reason = format!("a request with this id was answered before, status {status}");
            Reply::own(StatusCode::CONFLICT, Outcome::Answered, &reason)
        }
        Ok(IntentState::Unknown) => {
            let reason = "a request with this id was sent before, and its outcome is unknown";
            Reply::unknown(StatusCode::CONFLICT, reason)
        }
        Ok(IntentState::Sending) | Err(_) => in_progress(),
    }
}
