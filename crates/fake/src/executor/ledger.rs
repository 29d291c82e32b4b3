//! Records how often each request ran, across all executors of a test.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use model::Map;
use model::id::ExecutorId;

/// The runs of one request.
#[derive(Clone, Debug, Default)]
struct Runs {
    executors: Vec<ExecutorId>,
    finished: u32,
}

/// Counts the runs of each request ID; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct RunLedger(Arc<Mutex<Map<String, Runs>>>);

impl RunLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often a request was started.
    #[must_use]
    pub fn runs(&self, id: &str) -> usize {
        self.lock().get(id).map_or(0, |runs| runs.executors.len())
    }

    /// Returns how often a request ran to completion.
    #[must_use]
    pub fn finished(&self, id: &str) -> u32 {
        self.lock().get(id).map_or(0, |runs| runs.finished)
    }

    /// Returns the executors that started a request, in order of time.
    #[must_use]
    pub fn executors(&self, id: &str) -> Vec<ExecutorId> {
        let ledger = self.lock();
        ledger
            .get(id)
            .map(|runs| runs.executors.clone())
            .unwrap_or_default()
    }

    /// Returns the number of requests that were started at least once.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.lock().len()
    }

    /// Returns the sorted IDs of the requests that were started more than once.
    #[must_use]
    pub fn repeated(&self) -> Vec<String> {
        let ledger = self.lock();
        let repeated = ledger.iter().filter(|(_, runs)| runs.executors.len() > 1);
        let mut ids: Vec<_> = repeated.map(|(id, _)| id.clone()).collect();
        ids.sort();
        ids
    }

    pub(super) fn start(&self, id: &str, executor: &ExecutorId) {
        let mut ledger = self.lock();
        let runs = ledger.entry(id.to_owned()).or_default();
        runs.executors.push(executor.clone());
    }

    pub(super) fn finish(&self, id: &str) {
        if let Some(runs) = self.lock().get_mut(id) {
            runs.finished += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Runs>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
