//! Waiting for a decision of the router.

use model::Mono;
use tokio::sync::oneshot;

use super::Inner;
use crate::decision::Decision;
use crate::decision::SendOutcome;
use crate::key::Ticket;
use crate::router::Router;

/// A waiting request. If its caller disconnects, it is removed from the queue, and a slot that it
/// has just been granted is given to the next request.
struct Waiter<'a> {
    inner: &'a Inner,
    ticket: Ticket,
    rx: oneshot::Receiver<Decision>,
}

/// A final decision, and whether the request had to wait for it.
pub(super) struct AwaitedDecision {
    pub(super) decision: Option<Decision>,
    pub(super) waited: bool,
}

impl Inner {
    /// Runs `operation` on the router and waits until its decision is final.
    pub(super) async fn decide(
        &self,
        operation: impl FnOnce(&mut Router, Mono) -> Option<Decision>,
    ) -> AwaitedDecision {
        let mut waiter = {
            let now = self.clock.now();
            let mut state = self.lock();
            let decision = operation(&mut state.router, now);
            let ticket = match decision {
                Some(Decision::Wait(ticket)) => ticket,
                final_decision => {
                    self.deliver(&mut state, now);
                    return AwaitedDecision {
                        decision: final_decision,
                        waited: false,
                    };
                }
            };
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(ticket, tx);
            self.deliver(&mut state, now);
            Waiter {
                inner: self,
                ticket,
                rx,
            }
        };
        AwaitedDecision {
            decision: (&mut waiter.rx).await.ok(),
            waited: true,
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.rx.close();
        let late = self.rx.try_recv();
        self.inner.with_router(|router, now| {
            router.cancel(self.ticket, now);
            if let Ok(Decision::Send(grant)) = late {
                router.finish(&grant, SendOutcome::Cancelled, now);
            }
        });
        self.inner.lock().waiters.remove(&self.ticket);
        self.inner.request_ended.notify_waiters();
    }
}
