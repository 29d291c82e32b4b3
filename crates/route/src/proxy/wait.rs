//! Waiting for a verdict of the router.

use model::Mono;
use tokio::sync::oneshot;

use super::Inner;
use crate::key::Ticket;
use crate::router::Router;
use crate::verdict::Finish;
use crate::verdict::Verdict;

/// A request that waits; if its caller hangs up, it leaves the queue, and a slot that it has just
/// been given goes to the next one.
struct Waiter<'a> {
    inner: &'a Inner,
    ticket: Ticket,
    rx: oneshot::Receiver<Verdict>,
}

/// A final verdict, and whether the request had to wait for it.
pub(super) struct Asked {
    pub(super) verdict: Option<Verdict>,
    pub(super) waited: bool,
}

impl Inner {
    /// Asks the router and waits until the verdict is final.
    pub(super) async fn ask(
        &self,
        question: impl FnOnce(&mut Router, Mono) -> Option<Verdict>,
    ) -> Asked {
        let mut waiter = {
            let now = self.clock.now();
            let mut state = self.lock();
            let verdict = question(&mut state.router, now);
            let ticket = match verdict {
                Some(Verdict::Wait(ticket)) => ticket,
                known => {
                    self.deliver(&mut state, now);
                    return Asked {
                        verdict: known,
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
        Asked {
            verdict: (&mut waiter.rx).await.ok(),
            waited: true,
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.rx.close();
        let late = self.rx.try_recv();
        self.inner.with(|router, now| {
            router.cancel(self.ticket, now);
            if let Ok(Verdict::Send(grant)) = late {
                router.finish(&grant, Finish::Cancelled, now);
            }
        });
        self.inner.lock().waiters.remove(&self.ticket);
        self.inner.ended.notify_waiters();
    }
}
