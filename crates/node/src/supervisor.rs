//! Supervises the parts of a daemon.
//!
//! A part that fails or panics is restarted with exponential backoff. A part that keeps failing
//! escalates, as does one whose error is fatal: its supervisor ends all its other parts and fails
//! itself, so that the level above decides; at the top the process exits and the platform replaces
//! it. The dump shows each part with its restarts and last error.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use futures::FutureExt;
use futures::future::BoxFuture;
use model::Clock;
use model::Mono;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Delay before the first restart; it doubles up to [`MAX_BACKOFF`].
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay before a restart.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Number of failures within [`FAILURE_WINDOW`] at which a part escalates.
pub const MAX_FAILURES: usize = 8;
/// Window in which failures are counted; a run that lasts longer resets the backoff.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(60);

/// The error with which a run of a part ended.
#[derive(Clone, Debug, Display, Error)]
#[display("{part}: {reason}")]
pub struct PartError {
    /// Path of the part; for an escalation, of the part that escalated.
    pub part: String,
    /// Description of the failure.
    pub reason: String,
    /// Whether a restart cannot help, so that the whole process has to end.
    pub fatal: bool,
}

/// The result of a run of a part; a run that ends with `Ok` is not restarted.
pub type PartResult = Result<(), PartError>;

/// Starts one run of a part; called again for each restart.
pub type StartFn = Box<dyn Fn(CancellationToken) -> BoxFuture<'static, PartResult> + Send + Sync>;

/// What a supervisor reports of a part, in the dump and on the console.
#[derive(Clone, Debug, Serialize)]
pub struct PartStatus {
    /// Path of the part, `supervisor/part`.
    pub part: String,
    /// Current state.
    pub state: PartState,
    /// Number of restarts since the process started.
    pub restarts: u32,
    /// When the current or last run started.
    pub started_at: Mono,
    /// The error of the last failed run.
    pub last_error: Option<String>,
}

/// Where a part is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PartState {
    /// A run is in progress.
    Running,
    /// It failed and waits for its restart.
    Waiting,
    /// It ended without an error.
    Ended,
    /// It failed too often or fatally and is not restarted.
    Escalated,
}

/// A supervisor and its parts.
pub struct Supervisor {
    name: String,
    clock: Clock,
    parts: Vec<(String, StartFn)>,
    board: StatusBoard,
}

/// The status of the parts of all supervisors of a process, for the dump; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StatusBoard {
    parts: Arc<Mutex<Vec<PartStatus>>>,
}

impl Supervisor {
    /// Creates a supervisor without parts.
    #[must_use]
    pub fn new(name: impl Into<String>, clock: Clock, board: StatusBoard) -> Self {
        Self {
            name: name.into(),
            clock,
            parts: Vec::new(),
            board,
        }
    }

    /// Adds a part. `start` is called once for each run, with a token whose cancellation asks the
    /// run to end.
    #[must_use]
    pub fn part<F, Fut>(mut self, name: &str, start: F) -> Self
    where
        F: Fn(CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = PartResult> + Send + 'static,
    {
        let name = format!("{}/{name}", self.name);
        self.parts
            .push((name, Box::new(move |token| start(token).boxed())));
        self
    }

    /// Runs all parts until `token` is cancelled, all parts have ended, or one escalates.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that escalated, once all others have ended.
    pub async fn run(self, token: CancellationToken) -> PartResult {
        let mut runs = JoinSet::new();
        let own = token.child_token();
        for (name, start) in self.parts {
            runs.spawn(supervise(
                name,
                start,
                own.child_token(),
                self.clock,
                self.board.clone(),
            ));
        }
        let mut result = Ok(());
        while let Some(ended) = runs.join_next().await {
            let ended = ended.unwrap_or_else(|error| Err(failure(&self.name, &error.to_string())));
            if ended.is_err() && result.is_ok() {
                own.cancel();
                result = ended;
            }
        }
        result
    }
}

impl StatusBoard {
    /// Returns the status of each part, in the order of their first start.
    #[must_use]
    pub fn all(&self) -> Vec<PartStatus> {
        self.lock().clone()
    }

    fn update(&self, part: &str, now: Mono, update: impl FnOnce(&mut PartStatus)) {
        let mut parts = self.lock();
        if let Some(status) = parts.iter_mut().find(|status| status.part == part) {
            return update(status);
        }
        let mut status = PartStatus {
            part: part.to_owned(),
            state: PartState::Running,
            restarts: 0,
            started_at: now,
            last_error: None,
        };
        update(&mut status);
        parts.push(status);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<PartStatus>> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a part and restarts it until it ends without an error, is asked to end, or escalates.
async fn supervise(
    part: String,
    start: StartFn,
    token: CancellationToken,
    clock: Clock,
    board: StatusBoard,
) -> PartResult {
    let mut failures: Vec<Mono> = Vec::new();
    let mut backoff = FIRST_BACKOFF;
    loop {
        let started_at = clock.now();
        board.update(&part, started_at, |status| {
            status.state = PartState::Running;
            status.started_at = started_at;
        });
        let run = std::panic::AssertUnwindSafe(start(token.child_token()))
            .catch_unwind()
            .await;
        let error = match run {
            Ok(Ok(())) => {
                board.update(&part, clock.now(), |status| status.state = PartState::Ended);
                return Ok(());
            }
            Ok(Err(error)) => error,
            Err(panic) => failure(&part, &format!("panicked: {}", panic_text(panic.as_ref()))),
        };
        log::error!(part = part.as_str(); "part failed: {error}");
        let now = clock.now();
        if now.since(started_at) > FAILURE_WINDOW {
            backoff = FIRST_BACKOFF;
        }
        failures.retain(|at| now.since(*at) < FAILURE_WINDOW);
        failures.push(now);
        let escalates = error.fatal || failures.len() >= MAX_FAILURES;
        board.update(&part, now, |status| {
            status.last_error = Some(error.to_string());
            status.state = if escalates {
                PartState::Escalated
            } else {
                PartState::Waiting
            };
            status.restarts += u32::from(!escalates);
        });
        if error.fatal {
            return Err(error);
        }
        if escalates {
            return Err(failure(
                &part,
                &format!("failed {MAX_FAILURES} times: {error}"),
            ));
        }
        tokio::select! {
            () = sleep(backoff) => {}
            () = token.cancelled() => return Ok(()),
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Creates an error that must not be followed by a restart.
#[must_use]
pub fn fatal(part: &str, reason: &str) -> PartError {
    PartError {
        fatal: true,
        ..failure(part, reason)
    }
}

/// Creates an error after which the part is restarted.
#[must_use]
pub fn failure(part: &str, reason: &str) -> PartError {
    PartError {
        part: part.to_owned(),
        reason: reason.to_owned(),
        fatal: false,
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "no message".into())
}
