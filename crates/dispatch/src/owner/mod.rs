//! The owner: one host at a time that places all tasks and speaks to the executors.
//!
//! [`begin`] takes up what an earlier owner left. From then on the parts of the owner run beside each
//! other: [`commit`] stores what has changed, [`calls`] carries out orders, [`looks`] extends leases
//! and hears of ends, [`feeds`] hears of jobs and executors, [`tidy`] removes rows of ended jobs, and
//! placement runs whenever something
//! has changed. All of them end when another owner has begun.

mod advise;
pub mod begin;
pub mod calls;
pub mod commit;
pub mod feeds;
mod held;
pub mod looks;
mod tell;
mod tidy;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::JobId;
use job::plan::Plan;
use job::scheduler::JobState;
use job::scheduler::Scheduler;
use model::Map;
use model::Mono;
use model::Set;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

pub use self::begin::Claim;
pub use self::begin::begin;
use crate::events;
use crate::node::Node;
use crate::outside::Target;
use crate::rows::OwnerRecord;

/// How long an owner goes on without the store having confirmed it. A successor that cannot reach
/// an executor waits for as long and a lease on top.
pub const GOES_ON_UNCONFIRMED: Duration = Duration::from_secs(10);
/// How often leases that lapse, executors that leave and jobs that become due are looked at.
const TICK: Duration = Duration::from_millis(100);
/// Events that follow each other this closely are placed together.
const GATHER: Duration = Duration::from_millis(2);

/// The owner.
pub struct Owner {
    /// The host that it runs on.
    pub node: Rc<Node>,
    /// Its epoch.
    pub epoch: u64,
    /// All jobs and executors.
    pub book: RefCell<Scheduler>,
    record: RefCell<OwnerRecord>,
    version: Cell<u64>,
    confirmed: Cell<Mono>,
    learned_stored: Cell<Mono>,
    jobs_heard: Cell<Mono>,
    changed: Notify,
    stored: Notify,
    place: Notify,
    stop: CancellationToken,
    releasing: Cell<bool>,
    gates: RefCell<Map<ExecutorKey, Rc<Semaphore>>>,
    looking: RefCell<Set<ExecutorKey>>,
    asking: Semaphore,
}

impl Owner {
    /// Returns when the store last confirmed that this is the owner.
    #[must_use]
    pub fn confirmed(&self) -> Mono {
        self.confirmed.get()
    }

    /// Returns when the store last answered what jobs there are.
    #[must_use]
    pub fn jobs_heard(&self) -> Mono {
        self.jobs_heard.get()
    }

    /// Returns what a caller is told of a job.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.book.borrow().state(id)
    }

    /// Returns how many jobs of each queue have not started.
    #[must_use]
    pub fn pending(&self) -> Map<Arc<str>, usize> {
        self.book.borrow().pending()
    }

    /// Goes on with a newer document.
    pub fn plan_changed(self: &Rc<Self>, plan: Arc<Plan>) {
        self.book.borrow_mut().plan = plan;
        self.after_event();
    }

    /// Waits until this is no longer the owner.
    pub async fn ended(&self) {
        self.stop.cancelled().await;
    }

    /// Ends at once: another owner has begun, or nothing confirms that none has.
    pub fn end(&self, reason: &str) {
        if !self.stop.is_cancelled() {
            events::owner_ended(self.epoch, reason);
            self.stop.cancel();
        }
    }

    /// Gives the executors up in order: nothing more is granted once the store knows.
    pub async fn release(&self) {
        self.releasing.set(true);
        self.changed.notify_one();
        self.ended().await;
    }

    /// Lets everything follow that an event has made possible.
    pub fn after_event(self: &Rc<Self>) {
        self.tell();
        calls::carry_out(self);
        advise::ask_all(self);
        looks::ensure(self);
        if self.book.borrow().has_changes() {
            self.changed.notify_one();
        }
        self.place.notify_one();
    }

    fn now(&self) -> Mono {
        self.node.now()
    }

    fn target(&self, executor: ExecutorKey) -> Option<Target> {
        let book = self.book.borrow();
        let listing = &book.fleet.get(executor)?.listing;
        (!listing.address.is_empty()).then(|| Target {
            address: listing.address.clone(),
            id: listing.id.clone(),
            epoch: self.epoch,
        })
    }

    async fn place_whenever_changed(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = self.place.notified() => {}
            }
            tokio::time::sleep(GATHER).await;
            if self.stop.is_cancelled() || self.releasing.get() {
                return;
            }
            let now = self.now();
            let placed = self.book.borrow_mut().place(now, (self.node.unix_ms)());
            self.tell();
            if placed > 0 {
                self.changed.notify_one();
            }
            advise::ask_all(&self);
        }
    }

    async fn tick(self: Rc<Self>) {
        while !self.stop.is_cancelled() {
            tokio::time::sleep(TICK).await;
            let now = self.now();
            if now.since(self.confirmed.get()) > GOES_ON_UNCONFIRMED {
                self.end("the store has not confirmed it for too long");
                return;
            }
            self.book.borrow_mut().tick(now);
            self.after_event();
        }
    }
}
