use std::time::Duration;

use lease::Action;
use lease::Event;
use lease::Notification;
use lease::ShardOwner;
use lease::Timing;
use lease::agent::Agent;
use lease::claim::ShardView;
use lease::claim::claim_shard;
use lease::owner::ListedWorker;
use lease::owner::Refusal;
use lease::owner::StopReason;
use lease::record::JobRow;
use lease::record::Owner;
use lease::record::TaskRow;
use lease::record::TaskSpec;
use lease::record::key;
use lease::spec::Store;
use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::Incarnation;
use model::id::RowVersion;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use model::place::Place;
use plat::commit::TxnOutcome;
use plat::error::CallError;
use plat::hosts::HostState;
use plat::table::Txn;
use plat::worker::Command;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;

pub const WORKER: &str = "w0";
pub const TASK: &str = "crest";
pub const CAPACITY: Size = Size::new(4000, 4096, 2);
pub const SIZE: Size = Size::new(1000, 1024, 0);

pub fn spec(task: &str) -> TaskSpec {
    TaskSpec {
        task: task.into(),
        team: "hydro".into(),
        class: "study".into(),
        priority: model::Priority::Normal,
        size: SIZE,
        run_ms: None,
        max_failures: 2,
    }
}

/// Returns the id of the task that most tests use.
pub fn task() -> TaskId {
    TaskId::from(TASK)
}

/// Returns whether a notification is a refusal with the given reason.
pub fn refused(notification: &Notification, expected: Refusal) -> bool {
    matches!(notification, Notification::Refused { reason, .. } if *reason == expected)
}

/// Returns the number of start commands in the messages in flight.
pub fn starts(fixture: &Fixture) -> usize {
    let commands = fixture
        .messages
        .iter()
        .flat_map(|message| &message.commands);
    commands
        .filter(|command| matches!(command, Command::Start { .. }))
        .count()
}

/// An owner with its table and one worker. Calls are answered only when the test does so.
pub struct Fixture {
    pub now: Mono,
    pub store: Store,
    pub owner: ShardOwner,
    pub agent: Agent,
    pub commits: Vec<Txn>,
    pub messages: Vec<WorkerMessage>,
    pub notifications: Vec<Notification>,
    pub stopped: Option<StopReason>,
    incarnations: u64,
}

impl Fixture {
    /// Creates the owner of a new shard with a reachable worker.
    pub fn new() -> Self {
        let mut store = Store::default();
        let mut fixture = Self {
            now: Mono(1_000_000),
            owner: claim(&mut store, 1, Mono(1_000_000)),
            store,
            agent: Agent::new(1),
            commits: Vec::new(),
            messages: Vec::new(),
            notifications: Vec::new(),
            stopped: None,
            incarnations: 1,
        };
        fixture.load();
        fixture.deliver_all();
        fixture
    }

    /// Creates an owner with one running task.
    pub fn running() -> Self {
        let mut fixture = Self::new();
        fixture.submit(TASK);
        fixture.start(TASK);
        fixture.commit();
        fixture.deliver_all();
        assert_eq!(fixture.agent.runs().len(), 1);
        fixture
    }

    /// Replaces the owner by a successor. The calls in flight of the previous owner are lost.
    pub fn take_over(&mut self) {
        self.take_over_unread();
        self.load();
    }

    /// Replaces the owner by a successor that has not loaded the rows yet.
    pub fn take_over_unread(&mut self) {
        self.incarnations += 1;
        self.owner = claim(&mut self.store, self.incarnations, self.now);
        self.commits.clear();
        self.messages.clear();
        self.notifications.clear();
    }

    fn load(&mut self) {
        let rows = self.store.scan(&key::tasks(&ShardId::from("rack")));
        self.handle(Event::Loaded(rows));
        self.list_worker(HostState::Live);
    }

    pub fn list_worker(&mut self, state: HostState) {
        let worker = ListedWorker {
            worker: WORKER.into(),
            capacity: CAPACITY,
            state,
        };
        self.handle(Event::WorkersListed(vec![worker]));
    }

    pub fn handle(&mut self, event: Event) {
        for action in self.owner.handle(event, self.now) {
            match action {
                Action::Commit(txn) => self.commits.push(txn),
                Action::Send { message, .. } => self.messages.push(message),
                Action::Notify(notification) => self.notifications.push(notification),
                Action::StepDown(reason) => self.stopped = Some(reason),
            }
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        self.handle(Event::Tick);
    }

    pub fn submit(&mut self, task: &str) {
        self.handle(Event::Submit(spec(task)));
        self.commit();
    }

    pub fn start(&mut self, task: &str) {
        self.start_with(task, SIZE);
    }

    pub fn start_with(&mut self, task: &str, reserved: Size) {
        self.handle(Event::Start {
            task: task.into(),
            worker: WORKER.into(),
            reserved,
        });
    }

    /// Executes the first transaction in flight and answers it.
    pub fn commit(&mut self) {
        let txn = self.commits.remove(0);
        let settled = self.store.commit(&txn);
        self.handle(Event::Settled {
            op: txn.op,
            settled,
        });
    }

    /// Executes the first transaction in flight, but loses its answer.
    pub fn commit_unanswered(&mut self) {
        let txn = self.commits.remove(0);
        assert_eq!(self.store.commit(&txn), TxnOutcome::Committed);
        let settled = TxnOutcome::Unknown;
        self.handle(Event::Settled {
            op: txn.op,
            settled,
        });
    }

    /// Delivers the first message in flight. The worker stops runs as requested before it answers.
    pub fn deliver(&mut self) {
        let message = self.messages.remove(0);
        for command in &message.commands {
            if let Command::Stop {
                task,
                attempt,
                checkpoint,
            } = command
            {
                let name = CheckpointId::from(format!("{task}-{attempt}"));
                self.agent
                    .run_stopped(task, *attempt, checkpoint.then_some(name));
            }
        }
        let (answer, _) = self.agent.handle(&message, self.now);
        self.answer(message.sequence, answer);
    }

    pub fn answer(
        &mut self,
        sequence: u64,
        answer: Result<plat::worker::WorkerReport, WorkerError>,
    ) {
        let worker = WorkerId::from(WORKER);
        self.handle(Event::Answer {
            worker,
            sequence,
            answer,
        });
    }

    /// Loses the first message in flight.
    pub fn lose_message(&mut self) {
        let sequence = self.messages.remove(0).sequence;
        let lost = CallError::Unknown("lost".to_owned());
        self.answer(sequence, Err(WorkerError::Call(lost)));
    }

    pub fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver();
        }
    }

    pub fn row(&self) -> Option<TaskRow> {
        self.store.parsed(&key::task(&"rack".into(), &TASK.into()))
    }

    pub fn job(&self) -> Option<JobRow> {
        self.store.parsed(&key::job(&TASK.into()))
    }

    pub fn end_run(&mut self, succeeded: bool) {
        let attempt = self
            .owner
            .task(&TaskId::from(TASK))
            .map_or(Attempt(0), |row| row.attempt);
        self.agent
            .run_ended(&TaskId::from(TASK), attempt, succeeded);
    }

    /// Returns the number of recorded notifications that satisfy a predicate.
    pub fn count(&self, predicate: impl Fn(&Notification) -> bool) -> usize {
        self.notifications
            .iter()
            .filter(|notification| predicate(notification))
            .count()
    }
}

fn claim(store: &mut Store, incarnation: u64, now: Mono) -> ShardOwner {
    let shard = ShardId::from("rack");
    let row = store.read(&key::shard(&shard));
    let view = ShardView {
        place: Place::new("quebec-est", "rimouski"),
        version: row.map_or(RowVersion(0), |row| row.version),
        row: store.parsed(&key::shard(&shard)),
        shard,
    };
    let me = Owner {
        daemon: "d0".into(),
        incarnation: Incarnation(incarnation),
    };
    let claim = claim_shard(&view, &me);
    assert_eq!(store.commit(&claim.txn), TxnOutcome::Committed);
    ShardOwner::new(claim.ownership, Timing::default(), now, now)
}
