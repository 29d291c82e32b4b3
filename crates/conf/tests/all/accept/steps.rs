//! The steps of the model: which are possible in a state, and the state after each.

use super::world::DAEMONS;
use super::world::Partition;
use super::world::World;

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Tick,
    Begin(usize),
    Write(usize, WriteOutcome),
    LateWrite,
    /// The first message of a change is delivered; the order of its messages does not matter.
    Deliver(usize),
    /// The first message of a change is lost; the later ones are not.
    Lose(usize),
    ReadFirst(usize),
    ReadSecond,
    Partition(Partition),
    Outage(bool),
    Crash(usize),
    Restart(usize),
    Pause(usize, bool),
}

/// What happens to a write and to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    Answered,
    AnswerLost,
    /// The write takes effect, but is reported as a conflict, as after a lost answer and a write by
    /// another proposer.
    Misreported,
    Late,
}

impl World {
    /// Returns the steps that are possible.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let budget = &self.budget;
        for (index, change) in self.changes.iter().enumerate() {
            let idle = change.proposer.is_none() && change.outcome.is_none();
            if idle && self.alive(index) && budget.changes > 0 {
                steps.push(Step::Begin(index));
            }
            if change.write.is_some() {
                steps.push(Step::Write(index, WriteOutcome::Answered));
                if budget.lost_answers > 0 && self.reaches_store(index) {
                    steps.push(Step::Write(index, WriteOutcome::AnswerLost));
                    steps.push(Step::Write(index, WriteOutcome::Misreported));
                    if self.late.is_none() {
                        steps.push(Step::Write(index, WriteOutcome::Late));
                    }
                }
            }
            if !change.messages.is_empty() {
                steps.push(Step::Deliver(index));
            }
            if !change.messages.is_empty() && budget.losses > 0 {
                steps.push(Step::Lose(index));
            }
        }
        if self.late.is_some() {
            steps.push(Step::LateWrite);
        }
        if budget.slow_reads > 0 && self.slow_read.is_none() {
            let able = (0..DAEMONS).filter(|index| self.reaches_store(*index));
            steps.extend(able.map(Step::ReadFirst));
        }
        if self
            .slow_read
            .as_ref()
            .is_some_and(|read| self.reaches_store(read.daemon))
        {
            steps.push(Step::ReadSecond);
        }
        match self.partition {
            Partition::Nothing if budget.partitions > 0 => {
                steps.extend([
                    Step::Partition(Partition::Daemon2),
                    Step::Partition(Partition::Region),
                ]);
            }
            Partition::Nothing => {}
            Partition::Daemon2 | Partition::Region => {
                steps.push(Step::Partition(Partition::Nothing));
            }
        }
        if self.outage || budget.outages > 0 {
            steps.push(Step::Outage(!self.outage));
        }
        for (index, daemon) in self.daemons.iter().enumerate() {
            match daemon.follower {
                Some(_) if budget.crashes > 0 => steps.push(Step::Crash(index)),
                Some(_) => {}
                None => steps.push(Step::Restart(index)),
            }
            if daemon.paused || budget.pauses > 0 {
                steps.push(Step::Pause(index, !daemon.paused));
            }
        }
        if budget.ticks > 0 {
            steps.push(Step::Tick);
        }
        steps
    }

    /// Returns the state after a step.
    #[must_use]
    pub fn after(&self, step: Step) -> Self {
        let mut next = self.clone();
        match step {
            Step::Tick => next.tick(),
            Step::Begin(index) => next.start_change(index),
            Step::Write(index, outcome) => next.write(index, outcome),
            Step::LateWrite => {
                if let Some(write) = next.late.take() {
                    next.execute_write(&write);
                }
            }
            Step::Deliver(index) => next.deliver(index),
            Step::Lose(index) => {
                next.budget.losses -= 1;
                next.changes[index].messages.remove(0);
            }
            Step::ReadFirst(index) => next.read_first(index),
            Step::ReadSecond => next.read_second(),
            Step::Partition(partition) => {
                next.budget.partitions -= u8::from(partition != Partition::Nothing);
                next.partition = partition;
            }
            Step::Outage(outage) => {
                next.budget.outages -= u8::from(outage);
                next.outage = outage;
            }
            Step::Crash(index) => next.crash(index),
            Step::Restart(index) => next.restart(index),
            Step::Pause(index, paused) => {
                next.budget.pauses -= u8::from(paused);
                next.daemons[index].paused = paused;
            }
        }
        next.drop_old_contacts();
        next
    }
}
