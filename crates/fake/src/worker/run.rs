//! One run of a task on a fake worker.

use std::collections::VecDeque;
use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::CheckpointId;
use plat::worker::RunReport;
use plat::worker::RunState;

use super::program::Completion;
use super::program::InterferenceEffect;
use super::program::Program;
use super::program::RunSpec;
use super::program::RunView;

/// The time until a run uses its full memory, at which it is killed if that is above the reserved
/// size.
const MEMORY_RAMP: Duration = Duration::from_secs(1);
/// The throttle of an unthrottled run, in thousandths.
pub(super) const UNTHROTTLED: u16 = 1000;

/// A requested stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    pub(super) at: Mono,
    pub(super) checkpoint: bool,
}

/// The measured usage and response times of a run at some time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Mono,
    usage: Size,
    p99_us: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) spec: RunSpec,
    pub(super) program: Program,
    pub(super) state: RunState,
    pub(super) checkpoint: Option<CheckpointId>,
    pub(super) progress_ms: f64,
    pub(super) throttle_permille: u16,
    pub(super) stop_request: Option<StopRequest>,
    started_at: Mono,
    samples: VecDeque<Sample>,
}

impl Run {
    pub(super) fn begin(spec: RunSpec, program: Program, now: Mono) -> Self {
        Self {
            spec,
            program,
            state: RunState::Running,
            checkpoint: None,
            progress_ms: 0.0,
            throttle_permille: UNTHROTTLED,
            stop_request: None,
            started_at: now,
            samples: VecDeque::new(),
        }
    }

    /// Creates the record of a run that must never be started.
    pub(super) fn not_started(spec: RunSpec, now: Mono) -> Self {
        let empty_program = Program::batch(Size::ZERO, Duration::ZERO);
        let mut run = Self::begin(spec, empty_program, now);
        run.state = RunState::Stopped;
        run
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == RunState::Running
    }

    pub(super) fn view(&self) -> RunView {
        RunView {
            task: self.spec.task.clone(),
            class: self.spec.class.clone(),
            usage: self.usage(),
            throttle_permille: self.throttle_permille,
            p99_us: self.program.p99_us,
        }
    }

    /// Returns the resource usage, with CPU capped at the throttled reservation.
    fn usage(&self) -> Size {
        let actual = self.program.actual;
        let throttle = u64::from(self.throttle_permille);
        let cap = self.spec.size.cpu_millis * throttle / u64::from(UNTHROTTLED);
        Size::new(
            actual.cpu_millis.min(cap),
            actual.memory_mib,
            actual.accelerators,
        )
    }

    /// Returns the speed without interference, which follows from the CPU cap.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub(super) fn speed(&self) -> f64 {
        match self.program.actual.cpu_millis {
            0 => f64::from(self.throttle_permille) / f64::from(UNTHROTTLED),
            wanted => self.usage().cpu_millis as f64 / wanted as f64,
        }
    }

    /// Returns the time of the next state change that needs no command, at this speed.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the remaining time is positive and far below 2^52 ms"
    )]
    pub(super) fn next_change(&self, now: Mono, speed: f64) -> Option<Mono> {
        let ends = self.completes_at_ms().filter(|_| speed > 0.0).map(|ends| {
            let remaining_ms = (ends - self.progress_ms).max(0.0) / speed;
            now.after(Duration::from_millis(remaining_ms.ceil() as u64))
        });
        let stops = self.stop_request.map(|stop_request| stop_request.at);
        [ends, stops, self.memory_limit_kill_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the state at `now`.
    pub(super) fn state_at(&self, now: Mono) -> RunState {
        if self.memory_limit_kill_at().is_some_and(|at| at <= now) {
            return RunState::Failed;
        }
        if self
            .completes_at_ms()
            .is_some_and(|ends| self.progress_ms >= ends)
        {
            return match self.program.completion {
                Completion::Succeeds(_) => RunState::Succeeded,
                Completion::Fails(_) | Completion::Never => RunState::Failed,
            };
        }
        if self
            .stop_request
            .is_some_and(|stop_request| stop_request.at <= now)
        {
            return RunState::Stopped;
        }
        self.state
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "run times are far below 2^52 ms"
    )]
    fn completes_at_ms(&self) -> Option<f64> {
        match self.program.completion {
            Completion::Succeeds(after) | Completion::Fails(after) => {
                Some(after.as_millis() as f64)
            }
            Completion::Never => None,
        }
    }

    fn memory_limit_kill_at(&self) -> Option<Mono> {
        let over = self.program.actual.memory_mib > self.spec.size.memory_mib;
        over.then(|| self.started_at.after(MEMORY_RAMP))
    }

    /// Records the current measurements, and drops those that are too old for any report.
    pub(super) fn record_sample(&mut self, now: Mono, lag: Duration, effect: InterferenceEffect) {
        self.samples.push_back(Sample {
            at: now,
            usage: self.usage(),
            p99_us: effect.p99_us,
        });
        while self
            .samples
            .get(1)
            .is_some_and(|next| now.since(next.at) >= lag)
        {
            self.samples.pop_front();
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "progress is positive and far below 2^52 ms"
    )]
    pub(super) fn report(&self, now: Mono, lag: Duration) -> RunReport {
        let reported = self
            .samples
            .iter()
            .rfind(|record_sample| now.since(record_sample.at) >= lag);
        RunReport {
            task: self.spec.task.clone(),
            attempt: self.spec.attempt,
            state: self.state,
            usage: reported
                .map(|record_sample| record_sample.usage)
                .unwrap_or_default(),
            checkpoint: self.checkpoint.clone(),
            progress_ms: self.progress_ms as u64,
            p99_us: reported.and_then(|record_sample| record_sample.p99_us),
            throttle_permille: self.throttle_permille,
        }
    }
}
