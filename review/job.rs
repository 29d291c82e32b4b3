//! The jobs that the clients hand in, and what becomes of their tasks.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Instant;

use crate::executor::Room;
use crate::json::Json;
use crate::json::n;
use crate::json::obj;
use crate::json::s;

/// How the tasks of a step behave.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Plan {
    #[default]
    Sound,
    /// Each run fails after a time between these two, in milliseconds.
    FailsBetween(u64, u64),
    /// The first run of the task with index 0 fails after this much work; all others are sound.
    FirstRunFails(u64),
}

/// How a run will end if nobody stops it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Done,
    FailsAfter(u64),
}

/// A step as handed in, and the truth about its tasks.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimated_ms: u64,
    pub after: Vec<u64>,
    pub checkpointing: bool,
    pub long_running: bool,
    pub fills: bool,
    pub gang: bool,
    pub target_ms: u64,
    pub image: String,
    pub label: String,
    pub work_ms: u64,
    pub startup_ms: u64,
    pub plan: Plan,
}

impl Step {
    /// Returns the processor that counts against an executor's capacity.
    pub fn counted_cpu(&self) -> u64 {
        if self.fills { 0 } else { self.cpu }
    }

    fn body(&self) -> Json {
        let mut fields = vec![
            ("count", n(self.count)),
            ("cpu", n(self.cpu)),
            ("mem_mb", n(self.mem_mb)),
        ];
        fields.push(("estimated_ms", n(self.estimated_ms)));
        if !self.after.is_empty() {
            fields.push((
                "after",
                Json::Arr(self.after.iter().map(|step| n(*step)).collect()),
            ));
        }
        for (name, flag) in [
            ("checkpointing", self.checkpointing),
            ("long_running", self.long_running),
            ("fills", self.fills),
            ("gang", self.gang),
        ] {
            if flag {
                fields.push((name, Json::Bool(true)));
            }
        }
        if self.target_ms > 0 {
            fields.push(("target_ms", n(self.target_ms)));
        }
        for (name, text) in [("image", &self.image), ("required_label", &self.label)] {
            if !text.is_empty() {
                fields.push((name, s(text)));
            }
        }
        obj(fields)
    }
}

#[derive(Default)]
struct Job {
    steps: Vec<Step>,
    accepted: Option<Instant>,
    cancelled: bool,
    /// Tasks that have ended done, by step and index.
    done: HashSet<(usize, u64)>,
    /// Number of ends `failed`.
    failed_ends: u64,
    /// Runs of which a task, or a member of a gang, has ended `failed`.
    failed_runs: HashSet<(usize, u64)>,
    starts: Vec<Instant>,
    running: HashSet<(usize, u64, u64)>,
    /// Since when the job has had nothing running although it could.
    stalled_since: Option<Instant>,
    longest_stall_ms: u64,
}

/// All jobs by id.
#[derive(Default)]
pub struct Jobs {
    jobs: Mutex<HashMap<String, Job>>,
}

/// What the stand-ins know of a job.
#[derive(Clone, Debug)]
pub struct Summary {
    pub accepted: bool,
    pub starts: Vec<Instant>,
    pub failed_ends: u64,
    pub failed_runs: u64,
    pub tasks: u64,
    pub tasks_done: u64,
    pub longest_stall_ms: u64,
}

fn parse(task: &str) -> Option<(&str, usize, u64)> {
    let mut parts = task.split('.');
    let id = parts.next()?;
    parts.next()?;
    Some((id, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

impl Jobs {
    /// Records a job before it is sent, and returns the body of its submission.
    pub fn add(&self, id: &str, steps: Vec<Step>) -> String {
        let body = obj(vec![
            ("spec", s(&format!("payload of {id}"))),
            ("steps", Json::Arr(steps.iter().map(Step::body).collect())),
        ]);
        self.jobs.lock().unwrap().insert(
            id.to_owned(),
            Job {
                steps,
                ..Job::default()
            },
        );
        body.to_string()
    }

    pub fn accepted(&self, id: &str) {
        if let Some(job) = self.jobs.lock().unwrap().get_mut(id) {
            job.accepted.get_or_insert(Instant::now());
        }
    }

    pub fn cancelled(&self, id: &str) {
        if let Some(job) = self.jobs.lock().unwrap().get_mut(id) {
            job.cancelled = true;
        }
    }

    /// Returns the step of a task and how this run ends.
    pub fn behaviour(&self, task: &str, run: u64) -> Option<(Step, Outcome)> {
        let (id, step, index) = parse(task)?;
        let jobs = self.jobs.lock().unwrap();
        let step = jobs
            .get(id)?
            .steps
            .get(step)
            .filter(|step| index < step.count)?
            .clone();
        let outcome = match step.plan {
            Plan::FailsBetween(least, most) => {
                let spread = (index * 7 + run * 13 + u64::from(id.as_bytes()[15]) * 5) % 16;
                Outcome::FailsAfter(least + (most - least) * spread / 15)
            }
            Plan::FirstRunFails(ms) if index == 0 && run == 1 => Outcome::FailsAfter(ms),
            _ => Outcome::Done,
        };
        Some((step, outcome))
    }

    pub fn started(&self, task: &str, run: u64) {
        let Some((id, step, index)) = parse(task) else {
            return;
        };
        if let Some(job) = self.jobs.lock().unwrap().get_mut(id) {
            job.starts.push(Instant::now());
            job.running.insert((step, index, run));
        }
    }

    pub fn ended(&self, task: &str, run: u64, how: &str) {
        let Some((id, step, index)) = parse(task) else {
            return;
        };
        if let Some(job) = self.jobs.lock().unwrap().get_mut(id) {
            job.running.remove(&(step, index, run));
            match how {
                "done" => {
                    job.done.insert((step, index));
                }
                "failed" => {
                    job.failed_ends += 1;
                    job.failed_runs.insert((step, run));
                }
                _ => {}
            }
        }
    }

    pub fn summary(&self, id: &str) -> Summary {
        let jobs = self.jobs.lock().unwrap();
        let job = &jobs[id];
        Summary {
            accepted: job.accepted.is_some(),
            starts: job.starts.clone(),
            failed_ends: job.failed_ends,
            failed_runs: job.failed_runs.len() as u64,
            tasks: job.steps.iter().map(|step| step.count).sum(),
            tasks_done: job.done.len() as u64,
            longest_stall_ms: job.longest_stall_ms,
        }
    }

    /// Begins the measure of waits anew.
    pub fn forget_stalls(&self) {
        for job in self.jobs.lock().unwrap().values_mut() {
            job.stalled_since = None;
            job.longest_stall_ms = 0;
        }
    }

    /// Measures for how long accepted jobs have nothing running while a task's turn has come, there
    /// is room for it twice over on one executor with its label, and less than half of the service is in use.
    pub fn watch(&self, free: &[Room], is_half_free: bool) {
        let now = Instant::now();
        for job in self.jobs.lock().unwrap().values_mut() {
            let fits_twice = |step: &Step| {
                free.iter().any(|room| {
                    let has_label = step.label.is_empty() || room.labels.contains(&step.label);
                    has_label && room.cpu >= 2 * step.cpu && room.mem_mb >= 2 * step.mem_mb
                })
            };
            let is_open = |step: usize| {
                (0..job.steps[step].count).any(|index| !job.done.contains(&(step, index)))
            };
            let has_turn = (0..job.steps.len()).any(|step| {
                let is_ready = job.steps[step]
                    .after
                    .iter()
                    .all(|before| !is_open(*before as usize));
                is_open(step) && is_ready && fits_twice(&job.steps[step])
            });
            let waits = job.accepted.is_some() && !job.cancelled && job.running.is_empty();
            if waits && has_turn && is_half_free {
                let since = *job.stalled_since.get_or_insert(now);
                let stall = (now - since).as_millis() as u64;
                job.longest_stall_ms = job.longest_stall_ms.max(stall);
            } else {
                job.stalled_since = None;
            }
        }
    }
}
