//! The compact encoding of a job's record, for records whose JSON exceeds a row of the store.
//!
//! Executors are named once instead of once a task. Records that fit as JSON stay JSON, because hosts
//! of earlier releases read nothing else. See "The record of a job" in `docs/design/bounded-rows.md`.

use std::sync::Arc;

use model::Map;
use serde::Deserialize;
use serde::Serialize;

use crate::record::JobRecord;
use crate::record::TaskRecord;
use crate::scheduler::AbandonedRun;
use crate::task::RunNumber;

/// First byte of a compact record. JSON begins with `{`.
pub(crate) const VERSION: u8 = 1;

/// A record with the executors apart from the tasks.
#[derive(Serialize, Deserialize)]
struct CompactRecord {
    state: char,
    row_version: Option<u64>,
    done: Vec<u32>,
    /// The names of executors and the start times of their incarnations.
    executors: Vec<(Arc<str>, Option<u64>)>,
    tasks: Vec<CompactTask>,
    /// The slots and runs of abandoned runs.
    abandoned: Vec<(u32, u64)>,
}

/// Follows a record whose last executor is [`HAS_LOCATIONS`]: the executors of the abandoned runs, as
/// indices into those of the record. Hosts of earlier releases ignore what follows the record.
type Locations = Vec<Option<u32>>;

/// In the place of an executor's name, which is never empty.
const HAS_LOCATIONS: &str = "";

/// Numbers the executors that a record names.
#[derive(Default)]
struct Executors<'r> {
    names: Vec<(Arc<str>, Option<u64>)>,
    positions: Map<(&'r str, Option<u64>), u32>,
}

impl<'r> Executors<'r> {
    /// Returns the index of an executor, if there is one.
    fn index(&mut self, id: Option<&'r Arc<str>>, started_unix_ms: Option<u64>) -> Option<u32> {
        let id = id?;
        let names = &mut self.names;
        let index = self
            .positions
            .entry((id, started_unix_ms))
            .or_insert_with(|| {
                names.push((id.clone(), started_unix_ms));
                u32::try_from(names.len() - 1).unwrap_or(u32::MAX)
            });
        Some(*index)
    }
}

#[derive(Serialize, Deserialize)]
struct CompactTask {
    slot: u32,
    run: u64,
    failures: u32,
    failed_gang_runs: Vec<RunNumber>,
    stalls: u32,
    crashes: u32,
    /// Index into the executors.
    executor: Option<u32>,
    address: Option<Arc<str>>,
    checkpoint: Option<Arc<str>>,
}

/// Serialises a record.
///
/// # Panics
///
/// Never: the record contains nothing that the encoding cannot represent.
pub(crate) fn encode(record: &JobRecord) -> Vec<u8> {
    let mut executors = Executors::default();
    let mut tasks = Vec::with_capacity(record.tasks.len());
    for task in &record.tasks {
        let executor = executors.index(task.executor.as_ref(), task.executor_started_unix_ms);
        tasks.push(CompactTask {
            slot: task.slot,
            run: task.run,
            failures: task.failures,
            failed_gang_runs: task.failed_gang_runs.clone(),
            stalls: task.stalls,
            crashes: task.crashes,
            executor,
            address: task.address.clone(),
            checkpoint: task.checkpoint.clone(),
        });
    }
    let locations: Locations = record
        .abandoned
        .iter()
        .map(|run| executors.index(run.executor.as_ref(), run.executor_started_unix_ms))
        .collect();
    let has_locations = locations.iter().any(Option::is_some);
    if has_locations {
        executors.names.push((HAS_LOCATIONS.into(), None));
    }
    let compact = CompactRecord {
        state: record.state,
        row_version: record.row_version,
        done: record.done.clone(),
        executors: executors.names,
        tasks,
        abandoned: record
            .abandoned
            .iter()
            .map(|run| (run.slot, run.run))
            .collect(),
    };
    let mut bytes = postcard::to_extend(&compact, vec![VERSION]);
    if has_locations {
        bytes = bytes.and_then(|bytes| postcard::to_extend(&locations, bytes));
    }
    bytes.expect("a record can always be serialised")
}

/// Deserialises a record without its first byte.
///
/// # Errors
///
/// Returns why the bytes are no record.
pub(crate) fn decode(bytes: &[u8]) -> Result<JobRecord, String> {
    let (compact, rest): (CompactRecord, _) =
        postcard::take_from_bytes(bytes).map_err(|error| error.to_string())?;
    let last = compact.executors.last();
    let locations: Locations = if last.is_some_and(|(id, _)| &**id == HAS_LOCATIONS) {
        postcard::from_bytes(rest).map_err(|error| error.to_string())?
    } else {
        Vec::new()
    };
    let executor = |index: Option<u32>| match index {
        Some(index) => {
            let known = compact.executors.get(index as usize);
            let (id, started) = known.ok_or_else(|| format!("no executor {index}"))?.clone();
            Ok::<_, String>((Some(id), started))
        }
        None => Ok((None, None)),
    };
    let mut tasks = Vec::with_capacity(compact.tasks.len());
    for task in compact.tasks {
        let (executor, executor_started_unix_ms) = executor(task.executor)?;
        tasks.push(TaskRecord {
            slot: task.slot,
            run: task.run,
            failures: task.failures,
            failed_gang_runs: task.failed_gang_runs,
            stalls: task.stalls,
            crashes: task.crashes,
            executor,
            executor_started_unix_ms,
            address: task.address,
            checkpoint: task.checkpoint,
        });
    }
    let mut abandoned = Vec::with_capacity(compact.abandoned.len());
    for (position, (slot, run)) in compact.abandoned.into_iter().enumerate() {
        let (executor, executor_started_unix_ms) =
            executor(locations.get(position).copied().flatten())?;
        abandoned.push(AbandonedRun {
            slot,
            run,
            executor,
            executor_started_unix_ms,
        });
    }
    Ok(JobRecord {
        state: compact.state,
        done: compact.done,
        tasks,
        abandoned,
        row_version: compact.row_version,
    })
}
