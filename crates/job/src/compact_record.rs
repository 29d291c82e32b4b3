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
    let mut executors = Vec::new();
    let mut positions: Map<(&Arc<str>, Option<u64>), u32> = Map::default();
    let mut tasks = Vec::with_capacity(record.tasks.len());
    for task in &record.tasks {
        let executor = task.executor.as_ref().map(|id| {
            let name = (id, task.executor_started_unix_ms);
            *positions.entry(name).or_insert_with(|| {
                executors.push((id.clone(), name.1));
                u32::try_from(executors.len() - 1).unwrap_or(u32::MAX)
            })
        });
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
    let compact = CompactRecord {
        state: record.state,
        row_version: record.row_version,
        done: record.done.clone(),
        executors,
        tasks,
        abandoned: record
            .abandoned
            .iter()
            .map(|run| (run.slot, run.run))
            .collect(),
    };
    postcard::to_extend(&compact, vec![VERSION]).expect("a record can always be serialised")
}

/// Deserialises a record without its first byte.
///
/// # Errors
///
/// Returns why the bytes are no record.
pub(crate) fn decode(bytes: &[u8]) -> Result<JobRecord, String> {
    let compact: CompactRecord = postcard::from_bytes(bytes).map_err(|error| error.to_string())?;
    let mut tasks = Vec::with_capacity(compact.tasks.len());
    for task in compact.tasks {
        let executor = match task.executor {
            Some(index) => {
                let known = compact.executors.get(index as usize);
                Some(known.ok_or_else(|| format!("no executor {index}"))?.clone())
            }
            None => None,
        };
        let (executor, executor_started_unix_ms) =
            executor.map_or((None, None), |(id, started)| (Some(id), started));
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
    Ok(JobRecord {
        state: compact.state,
        done: compact.done,
        tasks,
        abandoned: compact
            .abandoned
            .into_iter()
            .map(|(slot, run)| AbandonedRun { slot, run })
            .collect(),
        row_version: compact.row_version,
    })
}
