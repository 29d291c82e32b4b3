//! Executors: they run tasks under leases, enforce their capacity and list what runs and has ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Record;
use crate::http::Answer;
use crate::http::Request;
use crate::job::Jobs;
use crate::job::Outcome;
use crate::job::Step;
use crate::json::Json;
use crate::json::n;
use crate::json::obj;
use crate::json::s;

/// `hold_max_ms` of the settings.
const HOLD_MAX_MS: u64 = 10_000;
/// How long a stop takes; at most `stop_timeout_ms`.
const STOP_TIME: Duration = Duration::from_millis(60);
const TICK: Duration = Duration::from_millis(10);
/// `checkpoint_interval_s` of the settings.
const CHECKPOINT_INTERVAL_MS: f64 = 2_000.0;
/// `restore_ms` of the settings.
const RESTORE_MS: f64 = 100.0;
const MAX_LISTED: usize = 500;
/// `gang_timeout_ms` of the settings.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

struct Run {
    task: String,
    number: u64,
    step: Step,
    outcome: Outcome,
    started: Instant,
    /// Whether all members of its gang were present.
    was_complete: bool,
    /// Work done so far, in milliseconds; negative while it starts or restores.
    progress_ms: f64,
    saved: String,
    percent: u64,
    stopping_until: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

struct Life {
    id: String,
    address: String,
    labels: Vec<String>,
    cpu: u64,
    mem_mb: u64,
    born_unix_ms: u64,
    born: Instant,
    /// What the clock shows at the start of the process.
    clock_base_ms: u64,
    fence: u64,
    deadline_ms: u64,
    running: Vec<Run>,
    ended: Vec<End>,
    next_end: u64,
    /// The highest run of each task that was stopped or ended here.
    closed: HashMap<String, u64>,
    sequence: u64,
    /// Whether no process of the system reaches it; it runs on and reaches the store.
    is_cut: bool,
    /// Whether it fails all that it starts.
    is_grey: bool,
}

pub struct Executors {
    lives: Mutex<Vec<Life>>,
    ended: Condvar,
    jobs: Arc<Jobs>,
    log: Arc<Record>,
}

/// What is free on an executor.
pub struct Room {
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// What is in use at a moment.
pub struct Usage {
    pub free: Vec<Room>,
    pub cpu_used: u64,
    pub cpu_total: u64,
}

impl Executors {
    pub fn new(jobs: Arc<Jobs>, log: Arc<Record>) -> Arc<Self> {
        let executors = Arc::new(Self {
            lives: Mutex::default(),
            ended: Condvar::new(),
            jobs,
            log,
        });
        let ticking = executors.clone();
        std::thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                std::thread::sleep(TICK);
                let now = Instant::now();
                ticking.tick(now - last);
                last = now;
            }
        });
        executors
    }

    /// Adds an executor and returns its position.
    pub fn add(&self, address: &str, cpu: u64, mem_mb: u64, labels: &[&str]) -> usize {
        let mut lives = self.lives.lock().unwrap();
        let position = lives.len();
        lives.push(Life {
            id: format!(
                "i-{:08x}",
                0x7f3a_91c2_u32.wrapping_mul(position as u32 * 2 + 1)
            ),
            address: address.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            mem_mb,
            born_unix_ms: unix_ms(),
            born: Instant::now(),
            clock_base_ms: 400_000 + position as u64 * 7_000,
            fence: 0,
            deadline_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: HashMap::new(),
            sequence: 0,
            is_cut: false,
            is_grey: false,
        });
        position
    }

    /// Returns the id and the entry that an executor writes to the store.
    pub fn entry(&self, position: usize) -> (String, String) {
        let mut lives = self.lives.lock().unwrap();
        let life = &mut lives[position];
        life.sequence += 1;
        let labels = life.labels.iter().map(|label| s(label)).collect();
        let capacity = vec![
            ("cpu", n(life.cpu)),
            ("mem_mb", n(life.mem_mb)),
            ("gpu", n(0)),
        ];
        let entry = obj(vec![
            ("service", s(crate::deployment::SERVICE)),
            ("address", s(&life.address)),
            ("zone", s("limburg")),
            ("version", s("v1")),
            ("slots", n(8)),
            ("state", s("ready")),
            ("cold_remaining_ms", n(0)),
            ("capacity", obj(capacity)),
            ("labels", Json::Arr(labels)),
            ("clock_ms", n(life.clock_ms())),
            ("sequence", n(life.sequence)),
            ("born", n(life.born_unix_ms)),
        ]);
        (life.id.clone(), entry.to_string())
    }

    pub fn usage(&self) -> Usage {
        let lives = self.lives.lock().unwrap();
        Usage {
            free: lives.iter().map(Life::room).collect(),
            cpu_used: lives.iter().map(|life| life.used().0).sum(),
            cpu_total: lives.iter().map(|life| life.cpu).sum(),
        }
    }

    /// Cuts an executor off from all processes of the system, or heals the cut.
    pub fn set_cut(&self, position: usize, is_cut: bool) {
        let mut lives = self.lives.lock().unwrap();
        lives[position].is_cut = is_cut;
        let verb = if is_cut {
            "is cut off from all processes and runs on"
        } else {
            "is reached again"
        };
        self.log.add(&format!("{} {verb}", lives[position].id));
        self.ended.notify_all();
    }

    /// Makes an executor fail all that it starts, or sound again.
    pub fn set_grey(&self, position: usize, is_grey: bool) {
        let mut lives = self.lives.lock().unwrap();
        lives[position].is_grey = is_grey;
        let verb = if is_grey {
            "fails all that it starts from now on"
        } else {
            "is sound again"
        };
        self.log.add(&format!("{} {verb}", lives[position].id));
    }

    /// Returns the number of ends that an executor still lists.
    pub fn listed_ends(&self, position: usize) -> usize {
        self.lives.lock().unwrap()[position].ended.len()
    }

    /// Drops what a partition holds up: waits until the cut has healed and closes the connection.
    fn drop_in_cut(&self, position: usize) -> Answer {
        while self.lives.lock().unwrap()[position].is_cut {
            std::thread::sleep(TICK);
        }
        None
    }

    pub fn handle(&self, position: usize, request: Request) -> Answer {
        if self.lives.lock().unwrap()[position].is_cut {
            return self.drop_in_cut(position);
        }
        let answer = self.carry_out(position, request);
        if self.lives.lock().unwrap()[position].is_cut {
            return self.drop_in_cut(position);
        }
        answer
    }

    fn carry_out(&self, position: usize, request: Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut lives = self.lives.lock().unwrap();
        let expected = request.header("Fireflynotch-Expect-Instance");
        if !expected.is_empty() && expected != lives[position].id {
            return Some((421, String::from("{}")));
        }
        let token = body.get("fencing_token").u64();
        let life = &mut lives[position];
        if token < life.fence {
            return Some(life.refuse("fence"));
        }
        life.fence = token;
        match request.path.as_str() {
            "/run-start" => Some(self.start(life, &body)),
            "/run-stop" => Some(self.stop(life, &body)),
            "/pace" => Some(self.pace(life, &body)),
            "/hold" => {
                life.extend(&body);
                let acknowledged = body.get("ack_seq").u64();
                life.ended.retain(|end| end.number > acknowledged);
                let deadline =
                    Instant::now() + Duration::from_millis(body.get("wait_ms").u64().min(2_000));
                let born = life.born_unix_ms;
                while lives[position].ended.is_empty() {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    lives = self.ended.wait_timeout(lives, left).unwrap().0;
                }
                let life = &lives[position];
                (life.born_unix_ms == born).then(|| (200, life.lists().to_string()))
            }
            "/health" => Some((200, String::from("{}"))),
            _ => Some((404, String::from("{}"))),
        }
    }

    fn start(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (task, number) = (body.get("task").str().to_owned(), body.get("run").u64());
        let Some((step, outcome)) = self.jobs.behaviour(&task, number) else {
            self.log
                .add(&format!("{} refuses the unknown task {task}", life.id));
            return (400, obj(vec![("clock_ms", n(life.clock_ms()))]).to_string());
        };
        if life
            .running
            .iter()
            .any(|run| run.task == task && run.number == number)
        {
            life.extend(body);
            return life.accept();
        }
        if life
            .closed
            .get(&task)
            .is_some_and(|closed| number <= *closed)
        {
            life.extend(body);
            return life.refuse("old");
        }
        if body.get("deadline_ms").u64() <= life.clock_ms() {
            return life.refuse("late");
        }
        life.extend(body);
        let (cpu, mem) = life.used();
        if cpu + step.counted_cpu() > life.cpu || mem + step.mem_mb > life.mem_mb {
            return life.refuse("room");
        }
        let saved = body.get("checkpoint").str().to_owned();
        let resumed = saved
            .get(..8)
            .and_then(|digits| u64::from_str_radix(digits, 16).ok());
        self.log
            .add(&format!("{} starts {task} run {number}", life.id));
        self.jobs.started(&task, number);
        let outcome = if life.is_grey {
            Outcome::FailsAfter(0)
        } else {
            outcome
        };
        life.running.push(Run {
            task,
            number,
            started: Instant::now(),
            was_complete: false,
            progress_ms: resumed.map_or(-(step.startup_ms as f64), |done| done as f64 - RESTORE_MS),
            step,
            outcome,
            saved,
            percent: 100,
            stopping_until: None,
        });
        life.accept()
    }

    fn stop(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (task, number) = (body.get("task").str(), body.get("run").u64());
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = number.max(*closed);
        if let Some(run) = life
            .running
            .iter_mut()
            .find(|run| run.task == task && run.number == number)
        {
            run.stopping_until.get_or_insert(Instant::now() + STOP_TIME);
        }
        life.accept()
    }

    fn pace(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (task, number) = (body.get("task").str(), body.get("run").u64());
        match life
            .running
            .iter_mut()
            .find(|run| run.task == task && run.number == number)
        {
            Some(run) => {
                run.percent = body.get("percent").u64().min(100);
                life.accept()
            }
            None => life.refuse("old"),
        }
    }

    fn tick(&self, elapsed: Duration) {
        let mut lives = self.lives.lock().unwrap();
        let mut any = false;
        let gangs = Gangs::count(&lives);
        for life in lives.iter_mut() {
            let lapsed = life.clock_ms() >= life.deadline_ms;
            let mut ends = Vec::new();
            for run in &mut life.running {
                let is_waiting = run.step.gang && !gangs.is_complete(run);
                if !is_waiting {
                    run.progress_ms += elapsed.as_secs_f64() * 10.0 * run.percent as f64;
                }
                if run.step.checkpointing {
                    run.save(run.stopping_until.is_some());
                }
                let how = if lapsed {
                    Some("lapsed")
                } else if run
                    .stopping_until
                    .is_some_and(|until| until <= Instant::now())
                {
                    Some("stopped")
                } else if matches!(run.outcome, Outcome::FailsAfter(0)) {
                    Some("failed")
                } else if is_waiting && run.was_complete {
                    Some("broken")
                } else if is_waiting && run.started.elapsed() >= GANG_TIMEOUT {
                    Some("alone")
                } else {
                    run.own_end()
                };
                run.was_complete = run.step.gang && !is_waiting;
                if let Some(how) = how {
                    ends.push((run.task.clone(), run.number, how, run.saved.clone()));
                }
            }
            for (task, run, how, saved) in ends {
                life.running
                    .retain(|other| other.task != task || other.number != run);
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                self.log
                    .add(&format!("{} ends {task} run {run}: {how}", life.id));
                self.jobs.ended(&task, run, how);
                let number = life.next_end;
                life.next_end += 1;
                life.ended.push(End {
                    number,
                    task,
                    run,
                    how,
                    saved,
                });
                any = true;
            }
        }
        if any {
            self.ended.notify_all();
        }
    }
}

/// The number of members that are present of each run of a gang.
struct Gangs(HashMap<(String, u64), u64>);

impl Gangs {
    fn count(lives: &[Life]) -> Self {
        let mut members = HashMap::new();
        let runs = lives.iter().flat_map(|life| &life.running);
        for run in runs.filter(|run| run.step.gang && run.stopping_until.is_none()) {
            *members.entry(run.gang()).or_default() += 1;
        }
        Self(members)
    }

    fn is_complete(&self, run: &Run) -> bool {
        self.0
            .get(&run.gang())
            .is_some_and(|present| *present == run.step.count)
    }
}

impl Run {
    /// Returns the step, with the number that the members of a gang share.
    fn gang(&self) -> (String, u64) {
        let step = self.task.rsplit_once('.').map_or("", |(step, _)| step);
        (step.to_owned(), self.number)
    }

    fn save(&mut self, at_stop: bool) {
        if self.progress_ms <= 0.0 {
            return;
        }
        let done = if at_stop {
            self.progress_ms
        } else {
            (self.progress_ms / CHECKPOINT_INTERVAL_MS).floor() * CHECKPOINT_INTERVAL_MS
        };
        if done > 0.0 {
            self.saved = format!("{:08x}7a21d94b", done as u64);
        }
    }

    fn own_end(&self) -> Option<&'static str> {
        match self.outcome {
            Outcome::FailsAfter(ms) if self.progress_ms >= ms as f64 => Some("failed"),
            Outcome::Done
                if !self.step.long_running && self.progress_ms >= self.step.work_ms as f64 =>
            {
                Some("done")
            }
            _ => None,
        }
    }

    fn percent_done(&self) -> u64 {
        if self.progress_ms <= 0.0 {
            0
        } else if self.step.long_running {
            100
        } else {
            (self.progress_ms * 100.0 / self.step.work_ms.max(1) as f64).min(99.0) as u64
        }
    }

    /// The tail latency of a task that serves, otherwise the processor in use.
    fn figure(&self) -> u64 {
        if self.step.target_ms > 0 {
            self.step.target_ms / 4
        } else if self.progress_ms <= 0.0 {
            0
        } else {
            self.step.cpu * self.percent / 100
        }
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock_base_ms + self.born.elapsed().as_millis() as u64
    }

    /// Processor and memory that are taken, also by what is being stopped.
    fn used(&self) -> (u64, u64) {
        let cpu = self.running.iter().map(|run| run.step.counted_cpu()).sum();
        (cpu, self.running.iter().map(|run| run.step.mem_mb).sum())
    }

    fn room(&self) -> Room {
        let (cpu, mem_mb) = self.used();
        Room {
            labels: self.labels.clone(),
            cpu: self.cpu.saturating_sub(cpu),
            mem_mb: self.mem_mb.saturating_sub(mem_mb),
        }
    }

    fn extend(&mut self, body: &Json) {
        if let Some(deadline) = body.get("deadline_ms").num() {
            let longest = self.clock_ms() + HOLD_MAX_MS;
            self.deadline_ms = self.deadline_ms.max((deadline as u64).min(longest));
        }
    }

    fn accept(&self) -> (u16, String) {
        (
            200,
            obj(vec![
                ("clock_ms", n(self.clock_ms())),
                ("born", n(self.born_unix_ms)),
            ])
            .to_string(),
        )
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        let fields = vec![
            ("clock_ms", n(self.clock_ms())),
            ("born", n(self.born_unix_ms)),
            ("reason", s(reason)),
        ];
        (409, obj(fields).to_string())
    }

    fn lists(&self) -> Json {
        let running = self.running.iter().map(|run| {
            Json::Arr(vec![
                s(&run.task),
                n(run.number),
                s(&run.saved),
                n(run.percent_done()),
                n(run.figure()),
            ])
        });
        let finished = self.ended.iter().take(MAX_LISTED).map(|end| {
            Json::Arr(vec![
                n(end.number),
                s(&end.task),
                n(end.run),
                s(end.how),
                s(&end.saved),
            ])
        });
        obj(vec![
            ("clock_ms", n(self.clock_ms())),
            ("born", n(self.born_unix_ms)),
            ("running", Json::Arr(running.collect())),
            ("finished", Json::Arr(finished.collect())),
        ])
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
