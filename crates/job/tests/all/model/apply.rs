//! The effect of each step of the model.

use std::time::Duration;

use job::scheduler::RunOutcome;
use model::Mono;

use super::state::GANG_TIMEOUT;
use super::state::LATE_ANSWER_TIMEOUT;
use super::state::LateReport;
use super::state::LateWrite;
use super::state::Mutation;
use super::state::Owner;
use super::state::PAUSE;
use super::state::STORE_TIMEOUT;
use super::state::State;
use super::state::WAIT;
use super::state::World;
use super::state::Write;
use super::state::job;
use super::step::Step;
use super::takeover::Takeover;

impl State {
    /// Applies a step to the state.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::TakeOver(host) => {
                self.budget.takeovers = self.budget.takeovers.saturating_sub(1);
                self.take_over(host);
            }
            Step::Claim(host) => {
                self.budget.slow_takeovers -= 1;
                self.claim(host);
            }
            Step::ReadJobs(host) => self.read_jobs(host),
            Step::ReadRecords(host) => self.read_records(host),
            Step::Begin(host) => self.begin(host),
            Step::AbandonTakeover(host) => {
                self.budget.crashes -= 1;
                self.takeovers[host] = None;
            }
            Step::Write(host) => self.write(host),
            Step::Apply(host) => self.apply_write(host),
            Step::WriteConfirmed(host) => self.write_confirmed(host),
            Step::ApplyLate(at) => {
                let late_write = self.late_writes.remove(at);
                self.apply_row(late_write.expects, late_write.record);
            }
            Step::DuplicateWrite(host) => self.duplicate_write(host),
            Step::Send(host, at) => self.send(host, at, true),
            Step::SendUnanswered(host, at) => {
                self.budget.network -= 1;
                self.send(host, at, false);
            }
            Step::SendLate(host, at) => {
                self.budget.network -= 1;
                self.send_late(host, at);
            }
            Step::SendRefused(host, at, reason) => {
                self.budget.refusals -= 1;
                self.send_refused(host, at, reason);
            }
            Step::SendSlow(host, at) => {
                self.budget.slow_calls -= 1;
                self.send_slow(host, at);
            }
            Step::ExecuteSlow(at) => self.execute_slow(at, None),
            Step::RefuseSlow(at, reason) => {
                self.budget.refusals -= 1;
                self.execute_slow(at, Some(reason));
            }
            Step::ReceiveSlow(at) => self.receive_slow(at),
            Step::TimeOutSlow(at) => {
                self.budget.network -= 1;
                self.time_out_slow(at);
            }
            Step::Deliver(at) => {
                let late_call = self.late_calls.remove(at);
                if !self.is_lost(&late_call) {
                    self.deliver(&late_call);
                }
            }
            Step::Poll(host, at) => self.poll(host, at, Mono(self.now.0 + 1), false),
            Step::PollLate(host, at) => {
                self.budget.polls -= 1;
                // What happens from now on happens after the poll was sent.
                self.now = Mono(self.now.0 + 1);
                self.poll(host, at, self.now, true);
            }
            Step::Report(host, at) => self.report(host, at),
            Step::ReportTimesOut(host, at) => self.report_times_out(host, at),
            Step::PollFails(host, at) => self.poll_fails(host, at),
            Step::PollLost(host, at) => {
                self.budget.polls -= 1;
                self.poll_fails(host, at);
            }
            Step::ReceiveCancel(host) => {
                let ignored = self.mutation == Mutation::IgnoreCancellation;
                if let Some(owner) = &mut self.owners[host] {
                    owner.cancel_received = true;
                    if !ignored {
                        owner.scheduler.cancel(job());
                    }
                }
                self.settle(host);
            }
            Step::List(host) => self.list_present(host),
            Step::Supersede(host) => self.supersede(host),
            Step::Done(at, slot) => {
                if self.world == World::LongRunning {
                    self.budget.failures -= 1;
                }
                self.end_done(at, self.task(slot));
            }
            Step::Fail(at, slot) => {
                self.budget.failures -= 1;
                self.end_failed(at, self.task(slot));
            }
            Step::Break(at, slot) => {
                let task = self.task(slot);
                self.executors[at].end(task, RunOutcome::Interrupted);
            }
            Step::Cancel => {
                self.budget.cancels -= 1;
                self.store.cancelled = true;
            }
            Step::Crash(host) => {
                self.budget.crashes -= 1;
                self.end_owner(host);
            }
            Step::Restart(at) => {
                self.budget.restarts -= 1;
                self.executors[at].restart(self.now);
                // Commands that the previous process received and did not execute are lost with it.
                self.late_calls.retain(|late_call| late_call.executor != at);
                self.break_slow_calls(at);
            }
            Step::Disconnect(at) => {
                self.budget.disconnects -= 1;
                self.executors[at].reachable = false;
            }
            Step::Reconnect(at) => self.executors[at].reachable = true,
            Step::Pause => {
                self.budget.pauses -= 1;
                self.pass(PAUSE);
            }
            Step::Wait => {
                self.budget.waits -= 1;
                self.pass(WAIT);
            }
            Step::Expire => {
                self.budget.expiries -= 1;
                if let Some(expiry) = self.next_expiry() {
                    self.pass(expiry.since(self.now));
                }
            }
        }
    }

    fn write(&mut self, host: usize) {
        let now = self.now;
        if let Some(owner) = &mut self.owners[host] {
            let batch = owner.scheduler.take_batch(10, usize::MAX);
            owner.write = Some(Write {
                expects: owner.row,
                record: batch.rows.first().map(|(_, row)| row.clone()),
                batch,
                applied: false,
                sent: now,
            });
        }
    }

    /// Executes a transaction if the owner's row is as expected. Returns whether it was executed.
    fn apply_row(&mut self, expects: (u64, u64), record: Option<Vec<u8>>) -> bool {
        if self.store.owner != expects && self.mutation != Mutation::IgnoreVersions {
            return false;
        }
        self.store.owner = (expects.0, expects.1 + 1);
        if let Some(record) = record {
            self.check_record(&record);
            self.store.record = Some(record);
        }
        true
    }

    fn apply_write(&mut self, host: usize) {
        let Some(write) = self.owners[host]
            .as_ref()
            .and_then(|owner| owner.write.clone())
        else {
            return;
        };
        let after = (write.expects.0, write.expects.1 + 1);
        // A copy of the same transaction may have been executed before.
        let applied =
            self.store.owner == after || self.apply_row(write.expects, write.record.clone());
        if !applied {
            self.end_owner(host);
            return;
        }
        if let Some(owner) = &mut self.owners[host] {
            owner.row = after;
            owner.confirmed = write.sent;
            if let Some(write) = &mut owner.write {
                write.applied = true;
            }
        }
    }

    fn write_confirmed(&mut self, host: usize) {
        let now = self.now;
        if let Some(owner) = &mut self.owners[host]
            && let Some(write) = owner.write.take()
        {
            owner.scheduler.batch_stored(write.batch, now);
            owner.scheduler.tick(now);
        }
        self.settle(host);
    }

    fn duplicate_write(&mut self, host: usize) {
        self.budget.late_writes -= 1;
        if let Some(write) = self.owners[host]
            .as_ref()
            .and_then(|owner| owner.write.clone())
        {
            self.late_writes.push(LateWrite {
                expects: write.expects,
                record: write.record,
            });
        }
    }

    fn poll(&mut self, host: usize, at: usize, sent: Mono, delayed: bool) {
        let now = self.now;
        let epochs_checked = self.mutation != Mutation::IgnoreEpochs;
        let unstored = self.mutation == Mutation::AcknowledgeBeforeStore;
        let disconnected = self.is_disconnected(host, at);
        let Some(owner) = &mut self.owners[host] else {
            return;
        };
        let key = owner.key(at);
        let deadline_ms = match disconnected {
            true => None,
            false => owner.scheduler.grant_lease(key, now),
        };
        let known = owner
            .scheduler
            .fleet
            .get(key)
            .expect("the executor is listed");
        let acknowledged = match unstored {
            true => known.ends_received,
            false => owner.scheduler.acknowledgement(key),
        };
        self.record_acknowledged(at, acknowledged);
        let Some(owner) = &mut self.owners[host] else {
            return;
        };
        let epochs = (owner.epoch, epochs_checked);
        let report = self.executors[at].poll(epochs, deadline_ms, acknowledged, now);
        let Some(mut report) = report else {
            self.end_owner(host);
            return;
        };
        if self.mutation == Mutation::IgnoreFailures {
            for end in &mut report.ended {
                end.outcome = match end.outcome {
                    RunOutcome::Failed => RunOutcome::Interrupted,
                    outcome => outcome,
                };
            }
        }
        owner.reports.push(LateReport {
            executor: at,
            report,
            sent,
            acknowledged,
            timed_out: false,
        });
        if !delayed {
            let last = owner.reports.len() - 1;
            self.report(host, last);
        }
    }

    fn report(&mut self, host: usize, at: usize) {
        let now = self.now;
        if let Some(owner) = &mut self.owners[host] {
            let late = owner.reports.remove(at);
            let key = owner.key(late.executor);
            let sent = match self.mutation {
                Mutation::IgnorePollTimes => Mono(now.0 + 1),
                _ => late.sent,
            };
            owner.scheduler.report(key, &late.report, sent, now);
            let started_unix_ms = late.report.started_unix_ms.unwrap_or_default();
            owner.record_clock(late.executor, started_unix_ms);
            owner
                .scheduler
                .acknowledgement_confirmed(key, started_unix_ms, late.acknowledged);
        }
        self.list_shown(host);
        self.settle(host);
    }

    fn report_times_out(&mut self, host: usize, at: usize) {
        if let Some(owner) = &mut self.owners[host] {
            owner.reports[at].timed_out = true;
            let executor = owner.reports[at].executor;
            self.poll_fails(host, executor);
        }
    }

    fn poll_fails(&mut self, host: usize, at: usize) {
        let now = self.now;
        if let Some(owner) = &mut self.owners[host] {
            let key = owner.key(at);
            owner.scheduler.mark_unreachable(key, now);
        }
        self.settle(host);
    }

    fn supersede(&mut self, host: usize) {
        let now = self.now;
        let other = 1 - host;
        let epoch_of = |owner: &Owner| owner.epoch;
        let own = self.owners[host].as_ref().map_or(0, epoch_of);
        let others = self.owners[other].as_ref().map_or(0, epoch_of);
        if others > own {
            return;
        }
        self.end_owner(other);
        let Some(owner) = &mut self.owners[host] else {
            return;
        };
        if owner.assumed.take().is_some() {
            let lease = crate::fixture::LEASE;
            let until = now
                .after(lease + lease / 49)
                .after(std::time::Duration::from_millis(300));
            let stopped = match self.mutation {
                Mutation::TrustEarlierPolls => Mono::ZERO,
                _ => now,
            };
            owner.scheduler.previous_owner_stopped(stopped, until, now);
        }
        self.settle(host);
    }

    pub(super) fn end_owner(&mut self, host: usize) {
        self.forget_slow_calls(host);
        // A transaction that was sent may still be executed.
        if let Some(owner) = self.owners[host].take()
            && let Some(write) = owner.write.filter(|write| !write.applied)
            && self.budget.late_writes > 0
        {
            self.budget.late_writes -= 1;
            self.late_writes.push(LateWrite {
                expects: write.expects,
                record: write.record,
            });
        }
    }

    /// Advances the time.
    pub(super) fn pass(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        let now = self.now;
        for executor in &mut self.executors {
            executor.pass(now);
        }
        if duration >= GANG_TIMEOUT {
            self.end_incomplete_gangs();
        }
        for host in 0..2 {
            let too_old = |takeover: &Takeover| now.since(takeover.claimed) > STORE_TIMEOUT;
            if self.takeovers[host].as_ref().is_some_and(too_old) {
                self.takeovers[host] = None;
            }
            let expired = |owner: &Owner| now.since(owner.confirmed) > STORE_TIMEOUT;
            if self.owners[host].as_ref().is_some_and(expired) {
                self.end_owner(host);
            }
            if let Some(owner) = &mut self.owners[host] {
                let awaited = |late: &LateReport| now.since(late.sent) <= LATE_ANSWER_TIMEOUT;
                owner.reports.retain(awaited);
                owner.scheduler.tick(now);
            }
            self.settle(host);
        }
    }
}
