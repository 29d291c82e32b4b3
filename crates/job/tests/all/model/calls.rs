//! Commands to the executors of the model, and their answers.

use job::scheduler::Command;
use job::scheduler::StartAnswer;
use job::task::StartState;

use super::executor::Response;
use super::state::LateCall;
use super::state::Mutation;
use super::state::Owner;
use super::state::SlowCall;
use super::state::State;

impl State {
    pub(super) fn send(&mut self, host: usize, at: usize, answered: bool) {
        let Some((command, late_call)) = self.prepare(host, at) else {
            return;
        };
        if !self.executors[late_call.executor].reachable || self.is_lost(&late_call) {
            self.answer(host, &command, StartAnswer::Unanswered);
            return;
        }
        let response = self.deliver(&late_call);
        if !answered {
            self.answer(host, &command, StartAnswer::Unanswered);
            return;
        }
        let clock_ms = self.executors[late_call.executor].clock_ms(self.now);
        self.receive_response(host, &command, &late_call, response, clock_ms);
    }

    /// Sends a start command that the executor refuses, whatever it has done with earlier copies.
    pub(super) fn send_refused(&mut self, host: usize, at: usize, reason: StartAnswer) {
        let Some((command, late_call)) = self.prepare(host, at) else {
            return;
        };
        if self.is_lost(&late_call) {
            self.answer(host, &command, StartAnswer::Unanswered);
            return;
        }
        let response = self.refuse(&late_call, reason);
        let clock_ms = self.executors[late_call.executor].clock_ms(self.now);
        self.receive_response(host, &command, &late_call, response, clock_ms);
    }

    pub(super) fn send_late(&mut self, host: usize, at: usize) {
        if let Some((command, late_call)) = self.prepare(host, at) {
            self.late_calls.push(late_call);
            self.answer(host, &command, StartAnswer::Unanswered);
        }
    }

    /// Sends a command whose execution and whose answer are steps of their own.
    pub(super) fn send_slow(&mut self, host: usize, at: usize) {
        let Some((command, call)) = self.prepare(host, at) else {
            return;
        };
        if let Some(owner) = &mut self.owners[host] {
            owner.commands.retain(|other| *other != command);
        }
        self.slow_calls.push(SlowCall {
            host,
            command,
            call,
            response: None,
        });
    }

    /// Executes a slow command, or refuses it. It has no answer if its executor is in another incarnation.
    pub(super) fn execute_slow(&mut self, at: usize, refusal: Option<StartAnswer>) {
        let call = self.slow_calls[at].call.clone();
        if self.is_lost(&call) {
            let slow_call = self.slow_calls.remove(at);
            self.answer(slow_call.host, &slow_call.command, StartAnswer::Unanswered);
            return;
        }
        let response = match refusal {
            Some(reason) => self.refuse(&call, reason),
            None => self.deliver(&call),
        };
        let clock_ms = self.executors[call.executor].clock_ms(self.now);
        self.slow_calls[at].response = Some((response, clock_ms));
    }

    /// Passes the answer to a slow command to the owner that sent it.
    pub(super) fn receive_slow(&mut self, at: usize) {
        let slow_call = self.slow_calls.remove(at);
        if let Some((response, clock_ms)) = slow_call.response {
            self.receive_response(
                slow_call.host,
                &slow_call.command,
                &slow_call.call,
                response,
                clock_ms,
            );
        }
    }

    /// Lets an owner give up waiting for the answer to a slow command, which may still arrive at
    /// its executor.
    pub(super) fn time_out_slow(&mut self, at: usize) {
        let slow_call = self.slow_calls.remove(at);
        if slow_call.response.is_none() {
            self.late_calls.push(slow_call.call);
        }
        self.answer(slow_call.host, &slow_call.command, StartAnswer::Unanswered);
    }

    /// Breaks the connections of slow commands that an executor has not executed.
    pub(super) fn break_slow_calls(&mut self, executor: usize) {
        let is_broken = |slow: &SlowCall| slow.call.executor == executor && slow.response.is_none();
        while let Some(at) = self.slow_calls.iter().position(is_broken) {
            let slow_call = self.slow_calls.remove(at);
            self.answer(slow_call.host, &slow_call.command, StartAnswer::Unanswered);
        }
    }

    /// Turns the slow commands of a host whose ownership ends into calls that nobody waits for.
    pub(super) fn forget_slow_calls(&mut self, host: usize) {
        let (own, others): (Vec<SlowCall>, Vec<SlowCall>) = std::mem::take(&mut self.slow_calls)
            .into_iter()
            .partition(|slow_call| slow_call.host == host);
        self.slow_calls = others;
        for slow_call in own {
            if slow_call.response.is_none() {
                self.late_calls.push(slow_call.call);
            }
        }
    }

    /// Passes an executor's response and the reading of its clock to an owner.
    fn receive_response(
        &mut self,
        host: usize,
        command: &Command,
        call: &LateCall,
        response: Response,
        clock_ms: u64,
    ) {
        let now = self.now;
        // The answer to a bound call tells nothing of the clock of a later incarnation.
        let is_current = call.incarnation == self.bound_incarnation(host, call.executor);
        if let Some(owner) = &mut self.owners[host]
            && is_current
        {
            let key = owner.key(call.executor);
            owner.scheduler.command_answered(key, None, clock_ms, now);
            owner.record_clock(call.executor, call.incarnation);
        }
        let answer = match response {
            Response::Fenced => {
                self.end_owner(host);
                return;
            }
            Response::Accepted => StartAnswer::Started,
            Response::Superseded => StartAnswer::Superseded,
            Response::TooLate => StartAnswer::TooLate,
            Response::Refused(reason) => reason,
        };
        self.answer(host, command, answer);
    }

    /// Builds the call for a command, unless the command is obsolete or cannot be sent.
    fn prepare(&mut self, host: usize, at: usize) -> Option<(Command, LateCall)> {
        let now = self.now;
        let owner = self.owners[host].as_mut()?;
        let command = owner.commands.get(at)?.clone();
        let call = |owner: &Owner, executor, task, run, deadline_ms| LateCall {
            epoch: owner.epoch,
            executor: owner.number(executor),
            incarnation: 0,
            task,
            run,
            deadline_ms,
        };
        let late_call = match &command {
            Command::Start {
                key,
                task,
                run,
                executor,
                ..
            } => {
                if !owner.scheduler.is_start_wanted(*key, *run) {
                    owner.scheduler.withdraw_start(*key, *run, now);
                    owner.commands.remove(at);
                    self.settle(host);
                    return None;
                }
                let Some(deadline) = owner.scheduler.grant_start_lease(*key, *executor, now) else {
                    let answer = StartAnswer::Unhealthy;
                    owner.scheduler.start_answered(*key, *run, answer, now);
                    owner.commands.remove(at);
                    self.settle(host);
                    return None;
                };
                call(owner, *executor, *task, *run, Some(deadline))
            }
            Command::Stop {
                key,
                task,
                run,
                executor,
            } => {
                let obsolete = key.is_some_and(|key| {
                    owner
                        .scheduler
                        .task(key)
                        .is_none_or(|task| task.run != *run || task.assignment().is_none())
                });
                if obsolete {
                    owner.commands.remove(at);
                    return None;
                }
                call(owner, *executor, *task, *run, None)
            }
            Command::Throttle { .. } => {
                owner.commands.remove(at);
                return None;
            }
        };
        if late_call.deadline_ms.is_some() {
            self.check_send(host);
        }
        let incarnation = self.bound_incarnation(host, late_call.executor);
        let late_call = LateCall {
            incarnation,
            ..late_call
        };
        Some((command, late_call))
    }

    /// Passes the result of a command to the owner. A command without an answer is sent again.
    fn answer(&mut self, host: usize, command: &Command, answer: StartAnswer) {
        let now = self.now;
        let mutation = self.mutation;
        let treat_as_refused = mutation == Mutation::TreatUnansweredAsRefused;
        let Some(owner) = &mut self.owners[host] else {
            return;
        };
        let unanswered = answer == StartAnswer::Unanswered;
        match command {
            Command::Start { key, run, .. } => {
                let answer = if treat_as_refused && unanswered {
                    StartAnswer::Superseded
                } else {
                    answer
                };
                let answer = owner.mutate_refusal(command, answer, mutation);
                owner.scheduler.start_answered(*key, *run, answer, now);
            }
            Command::Stop {
                key: Some(key),
                run,
                ..
            } if !unanswered => owner.scheduler.stop_confirmed(*key, *run, now),
            Command::Stop { .. } | Command::Throttle { .. } => {}
        }
        if !unanswered || treat_as_refused {
            owner.commands.retain(|other| other != command);
        } else if !owner.commands.contains(command) {
            owner.commands.push(command.clone());
        }
        self.settle(host);
    }

    /// Delivers a command to its executor.
    pub(super) fn deliver(&mut self, late_call: &LateCall) -> Response {
        let epochs = (late_call.epoch, self.mutation != Mutation::IgnoreEpochs);
        let run = (late_call.task, late_call.run);
        let now = self.now;
        let executor = &mut self.executors[late_call.executor];
        let Some(deadline_ms) = late_call.deadline_ms else {
            return executor.stop(run, epochs);
        };
        let earlier = executor.running.get(&late_call.task).copied();
        let response = executor.start(run, epochs, deadline_ms, now);
        if response == Response::Accepted && earlier != Some(late_call.run) {
            if earlier.is_some() {
                self.record_violation(format!("{:?} runs twice on one executor", late_call.task));
            }
            self.check_start(late_call.executor, late_call.task, late_call.run);
        }
        response
    }

    /// Delivers a start command to an executor that refuses it for a reason of its own.
    fn refuse(&mut self, late_call: &LateCall, reason: StartAnswer) -> Response {
        let epochs = (late_call.epoch, self.mutation != Mutation::IgnoreEpochs);
        let now = self.now;
        let deadline_ms = late_call.deadline_ms.unwrap_or_default();
        self.executors[late_call.executor].refuse(reason, epochs, deadline_ms, now)
    }
}

impl Owner {
    /// Lets a refusal hide from the scheduler that a run has started, for the mutations that do so.
    /// Returns the answer that the scheduler gets.
    fn mutate_refusal(
        &mut self,
        command: &Command,
        answer: StartAnswer,
        mutation: Mutation,
    ) -> StartAnswer {
        let Command::Start { key, run, .. } = command else {
            return answer;
        };
        let task = self.scheduler.task(*key);
        if task.is_none_or(|task| task.run != *run)
            || matches!(answer, StartAnswer::Started | StartAnswer::Unanswered)
        {
            return answer;
        }
        let Some(assignment) = self.scheduler.assignment_mut(*key) else {
            return answer;
        };
        let superseded = answer == StartAnswer::Superseded;
        let is_forgotten = match mutation {
            Mutation::ReleaseUnansweredOnRefusal => assignment.start_unanswered && !superseded,
            Mutation::ReleaseReportedOnRefusal => !assignment.start_unanswered && !superseded,
            Mutation::ReleaseReportedOnSuperseded => !assignment.start_unanswered && superseded,
            _ => false,
        };
        if !is_forgotten {
            return answer;
        }
        assignment.start_state = StartState::Sent;
        assignment.start_unanswered = false;
        StartAnswer::Invalid
    }
}
