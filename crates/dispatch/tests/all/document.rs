//! The operators' document in the simulated store.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dispatch::dependencies::DocumentSource;
use dispatch::dependencies::DocumentUpdate;
use dispatch::dependencies::StoreError;
use futures::FutureExt;
use job::plan::Plan;
use tokio::sync::Notify;

use crate::store::StoreFault;

/// Duration of a call to the store.
const CALL_DELAY: Duration = Duration::from_millis(5);
/// Time after which a host stops waiting for an answer.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// The document, the version of the store at which it last changed, and how often the store has
/// sent it to each host.
pub struct FakeDocument {
    plan: RefCell<Plan>,
    store_version: Cell<u64>,
    changed: Notify,
    transfers: RefCell<BTreeMap<String, u32>>,
    /// How long a transfer lasts before its connection breaks, or `None` if transfers succeed.
    breaks_after: Cell<Option<Duration>>,
    /// How long a transfer lasts that succeeds.
    transfer_time: Cell<Duration>,
    /// The host that gets no answers.
    silent_for: RefCell<Option<String>>,
    /// How much longer a read takes for a host.
    read_delays: RefCell<BTreeMap<String, Duration>>,
}

impl FakeDocument {
    /// Creates the document.
    pub fn new(plan: Plan) -> Self {
        Self {
            plan: RefCell::new(plan),
            store_version: Cell::new(1),
            changed: Notify::new(),
            transfers: RefCell::default(),
            breaks_after: Cell::new(None),
            transfer_time: Cell::default(),
            silent_for: RefCell::default(),
            read_delays: RefCell::default(),
        }
    }

    /// Makes each transfer of the document to a host last this long and then fail.
    pub fn break_transfers_after(&self, duration: Duration) {
        self.breaks_after.set(Some(duration));
    }

    /// Makes each transfer of the document last this long.
    pub fn transfers_last(&self, duration: Duration) {
        self.transfer_time.set(duration);
    }

    /// Gives no more answers to a host.
    pub fn silence_for(&self, host: &str) {
        *self.silent_for.borrow_mut() = Some(host.to_owned());
    }

    /// Makes each read of the whole document by a host take this much longer.
    pub fn delay_reads_for(&self, host: &str, delay: Duration) {
        let mut read_delays = self.read_delays.borrow_mut();
        read_delays.insert(host.to_owned(), delay);
    }

    fn read_delay(&self, host: &str) -> Duration {
        let read_delays = self.read_delays.borrow();
        read_delays.get(host).copied().unwrap_or_default()
    }

    async fn answer(&self, host: &str) -> Result<(), StoreError> {
        if self.silent_for.borrow().as_deref() != Some(host) {
            return Ok(());
        }
        tokio::time::sleep(TIMEOUT).await;
        Err(StoreError::Unanswered)
    }

    async fn transfer(&self) -> Result<(), StoreError> {
        let Some(duration) = self.breaks_after.get() else {
            let duration = self.transfer_time.get();
            if !duration.is_zero() {
                tokio::time::sleep(duration).await;
            }
            return Ok(());
        };
        tokio::time::sleep(duration).await;
        Err(StoreError::Unanswered)
    }

    /// Replaces the document.
    pub fn change(&self, plan: Plan) {
        *self.plan.borrow_mut() = plan;
        self.store_version.set(self.store_version.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns how often the store has sent the document to a host.
    pub fn transfers(&self, host: &str) -> u32 {
        let transfers = self.transfers.borrow();
        transfers.get(host).copied().unwrap_or(0)
    }

    fn send(&self, host: &str) -> DocumentUpdate {
        let mut transfers = self.transfers.borrow_mut();
        *transfers.entry(host.to_owned()).or_default() += 1;
        (Some(self.plan.borrow().clone()), self.store_version.get())
    }

    async fn follow(&self, host: &str, after: u64, wait: Duration) -> DocumentUpdate {
        let limit = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.store_version.get() > after {
                return self.send(host);
            }
            if tokio::time::timeout_at(limit, changed).await.is_err() {
                return (None, after);
            }
        }
    }

    /// Returns the document as one host reads it, with the fault that the store simulates for it.
    pub fn source(
        self: &Rc<Self>,
        host: &str,
        fault: &Rc<Cell<StoreFault>>,
        distance: Duration,
    ) -> DocumentSource {
        let (read_document, follow_document) = (self.clone(), self.clone());
        let (read_fault, follow_fault) = (fault.clone(), fault.clone());
        let (read_host, follow_host) = (host.to_owned(), host.to_owned());
        DocumentSource {
            read: Box::new(move |()| {
                let (document, host) = (read_document.clone(), read_host.clone());
                let fault = read_fault.clone();
                async move {
                    tokio::time::sleep(CALL_DELAY + distance + document.read_delay(&host)).await;
                    answers(fault.get())?;
                    document.answer(&host).await?;
                    document.transfer().await?;
                    Ok(document.send(&host))
                }
                .boxed_local()
            }),
            follow: Box::new(move |(after, wait)| {
                let (document, host) = (follow_document.clone(), follow_host.clone());
                let fault = follow_fault.clone();
                async move {
                    tokio::time::sleep(CALL_DELAY + distance).await;
                    let update = document.follow(&host, after, wait).await;
                    answers(fault.get())?;
                    document.answer(&host).await?;
                    if update.0.is_some() {
                        document.transfer().await?;
                    }
                    Ok(update)
                }
                .boxed_local()
            }),
        }
    }
}

const fn answers(fault: StoreFault) -> Result<(), StoreError> {
    match fault {
        StoreFault::Refuses | StoreFault::Silent => Err(StoreError::Unanswered),
        StoreFault::None | StoreFault::LosesAnswers | StoreFault::DelaysWrites(_) => Ok(()),
    }
}
