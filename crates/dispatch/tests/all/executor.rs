//! Executors in memory, which note whatever must not happen.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::outside::AdviceCall;
use dispatch::outside::AskAdvisor;
use dispatch::outside::Executors;
use dispatch::outside::LookCall;
use dispatch::outside::LookError;
use dispatch::outside::OrderReply;
use dispatch::outside::Outcome;
use dispatch::outside::RunCall;
use dispatch::outside::StartCall;
use dispatch::outside::Target;
use futures::FutureExt;
use job::advice::Grant;
use job::fleet::Listing;
use job::id::TaskId;
use job::scheduler::ActiveRun;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::task::RunMetrics;
use model::Size;
use tokio::time::Instant;

/// How long a call takes.
const DELAY: Duration = Duration::from_millis(2);
/// How long the advisor takes.
const ADVICE_DELAY: Duration = Duration::from_millis(200);
/// How long each task works.
pub const WORK: Duration = Duration::from_millis(600);

/// One executor.
pub struct Machine {
    id: Arc<str>,
    begin: Instant,
    token: Cell<u64>,
    lease: Cell<Instant>,
    runs: RefCell<BTreeMap<TaskId, (u64, Instant)>>,
    highest: RefCell<BTreeMap<TaskId, u64>>,
    ended: RefCell<Vec<(EndedRun, Instant, u64)>>,
    /// How often all leases have lapsed.
    lapses: Cell<u64>,
    count: Cell<u64>,
    /// Whether calls reach it.
    pub reachable: Cell<bool>,
    /// How long each task works here.
    pub work: Cell<Duration>,
    /// The share that each task was told last.
    pub shares: RefCell<BTreeMap<TaskId, u32>>,
    /// Whether orders are answered; those that are not are carried out this much later.
    pub late: Cell<Option<Duration>>,
}

/// All executors and what went wrong on them.
#[derive(Default)]
pub struct Fleet {
    machines: RefCell<BTreeMap<Arc<str>, Rc<Machine>>>,
    /// Tasks whose end was acknowledged, with no lapse of the lease between end and acknowledgement.
    done: RefCell<BTreeSet<TaskId>>,
    started: RefCell<BTreeMap<TaskId, Instant>>,
    /// How often tasks were started.
    pub starts: Cell<u64>,
    /// The only executors that the advisor grants, if there is one.
    pub granted: RefCell<Option<Vec<String>>>,
    /// How often the advisor was asked.
    pub asked: Cell<u64>,
    /// What must not have happened.
    pub wrong: RefCell<Vec<String>>,
}

impl Fleet {
    /// Adds an executor.
    pub fn add(&self, number: usize) {
        let id: Arc<str> = format!("e{number}").into();
        let now = Instant::now();
        let machine = Rc::new(Machine {
            id: id.clone(),
            begin: now,
            token: Cell::new(0),
            lease: Cell::new(now),
            runs: RefCell::default(),
            highest: RefCell::default(),
            ended: RefCell::default(),
            lapses: Cell::new(0),
            count: Cell::new(0),
            reachable: Cell::new(true),
            work: Cell::new(WORK),
            shares: RefCell::default(),
            late: Cell::new(None),
        });
        self.machines.borrow_mut().insert(id, machine);
    }

    /// Returns an executor.
    pub fn machine(&self, number: usize) -> Rc<Machine> {
        self.machines.borrow()[&*format!("e{number}")].clone()
    }

    /// Returns what the list of executors shows.
    pub fn list(&self) -> Vec<(Listing, u64)> {
        self.machines
            .borrow()
            .values()
            .map(|machine| (machine.listing(), machine.clock_ms()))
            .collect()
    }

    fn grants(&self, id: &str) -> bool {
        let granted = self.granted.borrow();
        let names = granted.as_ref();
        names.is_none_or(|names| names.iter().any(|name| name == id))
    }

    /// Lets time take effect everywhere.
    fn settle(&self) {
        let machines: Vec<Rc<Machine>> = self.machines.borrow().values().cloned().collect();
        for machine in machines {
            machine.settle();
        }
    }

    /// Notes that an end is acknowledged; from then on its task must not start again, and it must not
    /// have started since.
    fn note_acknowledged(&self, task: TaskId, ended: Instant) {
        self.done.borrow_mut().insert(task);
        if self.started.borrow().get(&task) > Some(&ended) {
            let text = format!("{task:?} started after the end that is now acknowledged");
            self.wrong.borrow_mut().push(text);
        }
    }

    fn note_start(&self, machine: &Machine, task: TaskId) {
        self.starts.set(self.starts.get() + 1);
        self.started.borrow_mut().insert(task, Instant::now());
        if self.done.borrow().contains(&task) {
            let text = format!("{task:?} starts on {} after it has ended well", machine.id);
            self.wrong.borrow_mut().push(text);
        }
        let twice = self
            .machines
            .borrow()
            .values()
            .any(|other| other.runs.borrow().contains_key(&task));
        if twice {
            let text = format!("{task:?} starts on {} while it runs", machine.id);
            self.wrong.borrow_mut().push(text);
        }
    }
}

impl Machine {
    fn listing(&self) -> Listing {
        Listing {
            id: self.id.clone(),
            address: self.id.clone(),
            service: "service".into(),
            data_centre: "dc".into(),
            labels: Vec::new(),
            capacity: Size::new(64_000, 256_000, 0),
            started_unix_ms: 1,
            draining: false,
            drain_remaining: None,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_millis()).expect("a short time")
    }

    /// Ends what has worked enough or has lost its lease.
    fn settle(&self) {
        let now = Instant::now();
        let lapsed = self.lease.get() <= now;
        let runs: Vec<(TaskId, u64, Instant)> = self
            .runs
            .borrow()
            .iter()
            .map(|(task, (run, since))| (*task, *run, *since))
            .collect();
        for (task, run, since) in runs {
            let ends = since + self.work.get();
            if ends <= now && ends <= self.lease.get() {
                self.end(task, run, RunOutcome::Done);
            } else if lapsed {
                self.end(task, run, RunOutcome::Interrupted);
            }
        }
        if lapsed {
            self.lapses.set(self.lapses.get() + 1);
        }
    }

    fn end(&self, task: TaskId, run: u64, kind: RunOutcome) {
        self.runs.borrow_mut().remove(&task);
        self.highest.borrow_mut().insert(task, run);
        self.count.set(self.count.get() + 1);
        let end = EndedRun {
            sequence: self.count.get(),
            task: Some(task),
            run,
            outcome: kind,
            checkpoint: None,
        };
        let entry = (end, Instant::now(), self.lapses.get());
        self.ended.borrow_mut().push(entry);
    }

    fn obeys(&self, target: &Target) -> bool {
        if target.epoch < self.token.get() {
            return false;
        }
        self.token.set(target.epoch);
        true
    }

    fn extend(&self, deadline_ms: u64) {
        let deadline = self.begin + Duration::from_millis(deadline_ms);
        self.lease.set(self.lease.get().max(deadline));
    }

    fn start(&self, fleet: &Fleet, call: &StartCall) -> Outcome<StartAnswer> {
        fleet.settle();
        if !self.obeys(&call.target) {
            return Outcome::Fenced;
        }
        let known = self.runs.borrow().get(&call.task).map(|(run, _)| *run);
        if known == Some(call.run) {
            return Outcome::Answered(StartAnswer::Started);
        }
        if self.highest.borrow().get(&call.task) >= Some(&call.run) {
            return Outcome::Answered(StartAnswer::Superseded);
        }
        let advised = fleet.granted.borrow().is_some();
        if advised && call.ticket != Some(ticket(&self.id)) {
            return Outcome::Answered(StartAnswer::NoTicket);
        }
        if !fleet.grants(&self.id) {
            let text = format!("{:?} is started on {} without a grant", call.task, self.id);
            fleet.wrong.borrow_mut().push(text);
            return Outcome::Answered(StartAnswer::NoTicket);
        }
        if call.deadline_ms <= self.clock_ms() {
            return Outcome::Answered(StartAnswer::TooLate);
        }
        self.extend(call.deadline_ms);
        fleet.note_start(self, call.task);
        let run = (call.run, Instant::now());
        self.runs.borrow_mut().insert(call.task, run);
        Outcome::Answered(StartAnswer::Started)
    }

    fn stop(&self, fleet: &Fleet, call: &RunCall) -> Outcome<bool> {
        fleet.settle();
        if !self.obeys(&call.target) {
            return Outcome::Fenced;
        }
        let running = self.runs.borrow().get(&call.task).map(|(run, _)| *run);
        if running == Some(call.run) {
            self.end(call.task, call.run, RunOutcome::Interrupted);
        }
        let mut highest = self.highest.borrow_mut();
        let run = highest.entry(call.task).or_insert(0);
        *run = (*run).max(call.run);
        Outcome::Answered(true)
    }

    fn acknowledge(&self, fleet: &Fleet, number: u64) {
        let mut ended = self.ended.borrow_mut();
        for (end, at, lapses) in ended.iter() {
            let counts = end.outcome == RunOutcome::Done && *lapses == self.lapses.get();
            if end.sequence <= number && counts {
                let task = end.task.expect("ends here have names");
                fleet.note_acknowledged(task, *at);
            }
        }
        ended.retain(|(end, _, _)| end.sequence > number);
    }

    fn report(&self) -> Report {
        Report {
            started_unix_ms: Some(1),
            clock_ms: self.clock_ms(),
            running: self
                .runs
                .borrow()
                .iter()
                .map(|(task, (run, _))| ActiveRun {
                    task: Some(*task),
                    run: *run,
                    checkpoint: None,
                    metrics: RunMetrics {
                        progress: 50,
                        tail_ms_or_cpu_millis: 0,
                    },
                })
                .collect(),
            ended: self
                .ended
                .borrow()
                .iter()
                .map(|(end, _, _)| end.clone())
                .collect(),
        }
    }

    fn reply<T>(&self, outcome: Outcome<T>) -> OrderReply<T> {
        OrderReply {
            outcome,
            clock_ms: Some(self.clock_ms()),
        }
    }
}

const fn nothing<T>(outcome: Outcome<T>) -> OrderReply<T> {
    OrderReply {
        outcome,
        clock_ms: None,
    }
}

/// How long a host waits for an answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Carries an order out, now or later.
async fn order<T: 'static>(
    fleet: Rc<Fleet>,
    id: Arc<str>,
    act: impl FnOnce(&Fleet, &Machine) -> Outcome<T> + 'static,
) -> OrderReply<T> {
    tokio::time::sleep(DELAY).await;
    let machine = fleet.machines.borrow().get(&id).cloned();
    let Some(machine) = machine.filter(|machine| machine.reachable.get()) else {
        tokio::time::sleep(ORDER_TIMEOUT).await;
        return nothing(Outcome::NotSent);
    };
    if let Some(delay) = machine.late.get() {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            act(&fleet, &machine);
        });
        tokio::time::sleep(ORDER_TIMEOUT).await;
        return nothing(Outcome::Unanswered);
    }
    let outcome = act(&fleet, &machine);
    machine.reply(outcome)
}

async fn look(fleet: Rc<Fleet>, call: LookCall) -> Result<Report, LookError> {
    tokio::time::sleep(DELAY).await;
    let machine = fleet.machines.borrow().get(&call.target.id).cloned();
    let Some(machine) = machine.filter(|machine| machine.reachable.get()) else {
        tokio::time::sleep(ORDER_TIMEOUT).await;
        return Err(LookError::Failed);
    };
    fleet.settle();
    if !machine.obeys(&call.target) {
        return Err(LookError::Fenced);
    }
    machine.acknowledge(&fleet, call.acknowledged);
    if let Some(deadline_ms) = call.deadline_ms {
        machine.extend(deadline_ms);
    }
    let limit = Instant::now() + call.wait;
    loop {
        fleet.settle();
        let report = machine.report();
        if !report.ended.is_empty() || Instant::now() >= limit {
            return Ok(report);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// What a start on an executor has to show.
fn ticket(id: &str) -> Arc<str> {
    format!("ticket-{id}").into()
}

/// Returns the advisor, who takes a while.
pub fn advisor(fleet: &Rc<Fleet>) -> AskAdvisor {
    let fleet = fleet.clone();
    AskAdvisor {
        ask: Box::new(move |call: AdviceCall| {
            let fleet = fleet.clone();
            async move {
                fleet.asked.set(fleet.asked.get() + 1);
                tokio::time::sleep(ADVICE_DELAY).await;
                let names = call.executors.iter().filter(|id| fleet.grants(id));
                Ok(names
                    .map(|id| Grant {
                        executor: id.clone(),
                        ticket: ticket(id),
                    })
                    .collect())
            }
            .boxed_local()
        }),
    }
}

/// Returns the executors as a host reaches them.
pub fn executors(fleet: &Rc<Fleet>) -> Executors {
    let (to_start, to_stop) = (fleet.clone(), fleet.clone());
    let (to_pace, to_look) = (fleet.clone(), fleet.clone());
    Executors {
        start: Box::new(move |call: StartCall| {
            let id = call.target.id.clone();
            order(to_start.clone(), id, move |fleet, machine| {
                machine.start(fleet, &call)
            })
            .boxed_local()
        }),
        stop: Box::new(move |call: RunCall| {
            let id = call.target.id.clone();
            order(to_stop.clone(), id, move |fleet, machine| {
                machine.stop(fleet, &call)
            })
            .boxed_local()
        }),
        pace: Box::new(move |(call, percent): (RunCall, u32)| {
            let id = call.target.id.clone();
            order(to_pace.clone(), id, move |_, machine| {
                let runs = machine.runs.borrow().contains_key(&call.task);
                if runs {
                    machine.shares.borrow_mut().insert(call.task, percent);
                }
                Outcome::Answered(runs)
            })
            .boxed_local()
        }),
        look: Box::new(move |call| look(to_look.clone(), call).boxed_local()),
    }
}
