use std::time::Duration;

use lease::Action;
use lease::Event;
use lease::Fact;
use lease::ShardOwner;
use lease::Timing;
use lease::agent::Agent;
use lease::claim::ShardView;
use lease::claim::take;
use lease::owner::ListedWorker;
use lease::owner::Reason;
use lease::owner::Refusal;
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
pub const ROOM: Size = Size::new(4000, 4096, 2);
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

/// The task of most tests.
pub fn task() -> TaskId {
    TaskId::from(TASK)
}

/// Whether something was refused for this reason.
pub fn refused(fact: &Fact, expected: Refusal) -> bool {
    matches!(fact, Fact::Refused { why, .. } if *why == expected)
}

/// How many commands to start a run are under way.
pub fn starts(fixture: &Fixture) -> usize {
    let commands = fixture
        .messages
        .iter()
        .flat_map(|message| &message.commands);
    commands
        .filter(|command| matches!(command, Command::Start { .. }))
        .count()
}

/// An owner, its table and one worker, whose calls are answered only when a test says so.
pub struct Fixture {
    pub now: Mono,
    pub store: Store,
    pub owner: ShardOwner,
    pub agent: Agent,
    pub commits: Vec<Txn>,
    pub messages: Vec<WorkerMessage>,
    pub facts: Vec<Fact>,
    pub stopped: Option<Reason>,
    lives: u64,
}

impl Fixture {
    /// An owner of a new shard whose worker is reached.
    pub fn new() -> Self {
        let mut store = Store::default();
        let mut fixture = Self {
            now: Mono(1_000_000),
            owner: claim(&mut store, 1, Mono(1_000_000)),
            store,
            agent: Agent::new(1),
            commits: Vec::new(),
            messages: Vec::new(),
            facts: Vec::new(),
            stopped: None,
            lives: 1,
        };
        fixture.begin();
        fixture.deliver_all();
        fixture
    }

    /// An owner with one task that runs.
    pub fn running() -> Self {
        let mut fixture = Self::new();
        fixture.submit(TASK);
        fixture.start(TASK);
        fixture.commit();
        fixture.deliver_all();
        assert_eq!(fixture.agent.runs().len(), 1);
        fixture
    }

    /// Replaces the owner by a successor; what the earlier one had under way is lost.
    pub fn take_over(&mut self) {
        self.take_over_unread();
        self.begin();
    }

    /// The same, before the successor has read the rows.
    pub fn take_over_unread(&mut self) {
        self.lives += 1;
        self.owner = claim(&mut self.store, self.lives, self.now);
        self.commits.clear();
        self.messages.clear();
        self.facts.clear();
    }

    fn begin(&mut self) {
        let rows = self.store.scan(&key::tasks(&ShardId::from("rack")));
        self.tell(Event::Loaded(rows));
        self.list(HostState::Live);
    }

    pub fn list(&mut self, state: HostState) {
        let worker = ListedWorker {
            worker: WORKER.into(),
            capacity: ROOM,
            state,
        };
        self.tell(Event::Listed(vec![worker]));
    }

    pub fn tell(&mut self, event: Event) {
        for action in self.owner.handle(event, self.now) {
            match action {
                Action::Commit(txn) => self.commits.push(txn),
                Action::Send { message, .. } => self.messages.push(message),
                Action::Notify(fact) => self.facts.push(fact),
                Action::StepDown(reason) => self.stopped = Some(reason),
            }
        }
    }

    pub fn pass(&mut self, span: Duration) {
        self.now = self.now.after(span);
        self.tell(Event::Tick);
    }

    pub fn submit(&mut self, task: &str) {
        self.tell(Event::Submit(spec(task)));
        self.commit();
    }

    pub fn start(&mut self, task: &str) {
        self.start_with(task, SIZE);
    }

    pub fn start_with(&mut self, task: &str, reserved: Size) {
        self.tell(Event::Start {
            task: task.into(),
            worker: WORKER.into(),
            reserved,
        });
    }

    /// Carries out the first transaction and answers it.
    pub fn commit(&mut self) {
        let txn = self.commits.remove(0);
        let settled = self.store.commit(&txn);
        self.tell(Event::Settled {
            op: txn.op,
            settled,
        });
    }

    /// Carries out the first transaction, but its answer is lost.
    pub fn commit_unanswered(&mut self) {
        let txn = self.commits.remove(0);
        assert_eq!(self.store.commit(&txn), TxnOutcome::Committed);
        let settled = TxnOutcome::Unknown;
        self.tell(Event::Settled {
            op: txn.op,
            settled,
        });
    }

    /// The worker receives the first message; a stop is carried out before it answers.
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
                    .stopped(task, *attempt, checkpoint.then_some(name));
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
        self.tell(Event::Answer {
            worker,
            sequence,
            answer,
        });
    }

    /// The first message and its answer are lost.
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
        self.agent.ended(&TaskId::from(TASK), attempt, succeeded);
    }

    /// How many of the noted facts are like this one.
    pub fn count(&self, like: impl Fn(&Fact) -> bool) -> usize {
        self.facts.iter().filter(|fact| like(fact)).count()
    }
}

fn claim(store: &mut Store, life: u64, now: Mono) -> ShardOwner {
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
        incarnation: Incarnation(life),
    };
    let claim = take(&view, &me);
    assert_eq!(store.commit(&claim.txn), TxnOutcome::Committed);
    ShardOwner::new(claim.claimed, Timing::default(), now, now)
}
