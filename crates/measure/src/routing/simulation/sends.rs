//! The life cycle of a send: to its executor, through a slot, and back to the daemon.

use rand::RngExt;
use route::decision::Decision;
use route::decision::Grant;
use route::decision::Resend;
use route::decision::SendOutcome;

use super::CROSS_REGION_DELAY_US;
use super::Event;
use super::LOCAL_DELAY_US;
use super::Send;
use super::Simulation;
use crate::routing::policy::Policy;

/// Maximum sends of a request, the first one included.
const MAX_SENDS: u8 = 3;

impl Simulation<'_> {
    pub(super) fn send(
        &mut self,
        request: usize,
        daemon: usize,
        executor: usize,
        grant: Option<Grant>,
    ) {
        let send = self.sends.len();
        self.requests[request].sends += 1;
        self.in_flight[daemon][executor] += 1;
        self.result.sends += 1;
        self.result.admitted += u64::from(self.requests[request].sends == 1);
        let delay = self.one_way_us(daemon, executor);
        self.result.cross_region += u64::from(delay == CROSS_REGION_DELAY_US);
        if let (Policy::Router(options), Some(grant)) = (self.policy, &grant)
            && options.hedge
            && self.requests[request].sends == 1
        {
            let hedge_delay = self.routers[daemon].hedge_delay(grant, self.mono());
            let hedge_delay = u64::try_from(hedge_delay.as_micros()).unwrap_or(u64::MAX);
            self.push(hedge_delay, Event::Hedge(send));
        }
        self.sends.push(Send {
            request,
            daemon,
            executor,
            broken: false,
            refused: false,
            grant,
        });
        self.push(delay, Event::ReachExecutor(send));
    }

    const fn one_way_us(&self, daemon: usize, executor: usize) -> u64 {
        if daemon % self.scenario.regions == executor % self.scenario.regions {
            LOCAL_DELAY_US
        } else {
            CROSS_REGION_DELAY_US
        }
    }

    pub(super) fn reach_executor(&mut self, send: usize) {
        let executor = self.sends[send].executor;
        if self.executors[executor].busy < self.scenario.slots {
            return self.start_service(send);
        }
        self.result.above_slots += 1;
        if matches!(self.policy, Policy::TwoChoices) {
            self.sends[send].refused = true;
            let delay = self.one_way_us(self.sends[send].daemon, executor);
            self.push(delay, Event::ReturnToDaemon(send));
        } else {
            self.executors[executor].queue.push_back(send);
        }
    }

    fn start_service(&mut self, send: usize) {
        let executor = self.sends[send].executor;
        self.executors[executor].busy += 1;
        let service_time = self.service_time(send);
        self.sends[send].broken = self.rng.random_bool(self.scenario.broken_fraction);
        self.push(service_time, Event::Served(send));
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a positive number of microseconds"
    )]
    fn service_time(&mut self, send: usize) -> u64 {
        let Send {
            request, executor, ..
        } = self.sends[send];
        let mut service_time = self.requests[request].work as f64;
        if executor < self.scenario.slow_executors {
            service_time *= self.scenario.slow_factor;
        }
        if self.rng.random_bool(self.scenario.delayed_fraction) {
            service_time *= self.scenario.delay_factor;
        }
        service_time as u64
    }

    pub(super) fn served(&mut self, send: usize) {
        let executor = self.sends[send].executor;
        self.executors[executor].busy -= 1;
        if let Some(next) = self.executors[executor].queue.pop_front() {
            self.start_service(next);
        }
        let delay = self.one_way_us(self.sends[send].daemon, executor);
        self.push(delay, Event::ReturnToDaemon(send));
    }

    pub(super) fn return_to_daemon(&mut self, send: usize) {
        let Send {
            request,
            daemon,
            executor,
            broken,
            refused,
            ..
        } = self.sends[send];
        self.in_flight[daemon][executor] -= 1;
        if Some(daemon) == self.lost_daemon {
            self.requests[request].done = true;
            self.result.requests -= 1;
            return;
        }
        let grant = self.sends[send].grant.take();
        let now = self.mono();
        if let Some(grant) = &grant {
            let outcome = if broken {
                SendOutcome::Broken
            } else {
                SendOutcome::Answered
            };
            self.routers[daemon].finish(grant, outcome, now);
            self.handle_resolved(daemon);
        }
        if self.requests[request].done {
            return;
        }
        if !broken && !refused {
            self.requests[request].done = true;
            self.result.answered += 1;
            let latency = self.now - self.requests[request].arrived;
            self.result.latency.saturating_record(latency);
            return;
        }
        self.retry(request, daemon, grant);
    }

    fn retry(&mut self, request: usize, daemon: usize, grant: Option<Grant>) {
        if self.requests[request].sends >= MAX_SENDS {
            return self.refuse(request);
        }
        let Some(grant) = grant else {
            return self.choose(request, daemon);
        };
        let now = self.mono();
        let exclude = [grant.executor];
        match self.routers[daemon].resend(&grant, &exclude, Resend::Retry, now) {
            Some(Decision::Send(grant)) => self.send_granted(request, daemon, grant),
            Some(Decision::Wait(ticket)) => {
                self.waiting[daemon].insert(ticket, request);
            }
            _ => self.refuse(request),
        }
    }

    pub(super) fn hedge(&mut self, send: usize) {
        let (request, daemon) = (self.sends[send].request, self.sends[send].daemon);
        if self.requests[request].done || Some(daemon) == self.lost_daemon {
            return;
        }
        let Some(grant) = self.sends[send].grant.clone() else {
            return;
        };
        let now = self.mono();
        let exclude = [grant.executor];
        let hedged = self.routers[daemon].resend(&grant, &exclude, Resend::Hedge, now);
        if let Some(Decision::Send(grant)) = hedged {
            self.send_granted(request, daemon, grant);
        }
    }
}
