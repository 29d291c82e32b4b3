//! The evacuations in the simulated store.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::dependencies::EvacuationSource;
use dispatch::dependencies::FollowRequest;
use dispatch::dependencies::Range;
use dispatch::dependencies::RowId;
use dispatch::dependencies::StoreError;
use futures::FutureExt;
use job::evacuation::EvacuationUpdate;

use crate::store::MemoryStore;
use crate::store::StoreFault;
use crate::store::reachable;
use crate::store::store;
use crate::world::World;

const TABLE: &str = "op";
const PREFIX: &str = "evacuate/";

fn row_id(data_centre: &str) -> RowId {
    RowId {
        table: TABLE,
        part: "",
        key: format!("{PREFIX}{data_centre}"),
    }
}

impl World {
    /// Writes the row of an evacuation. A later start there than the deadline allows is a violation.
    pub fn evacuate(&self, data_centre: &str) {
        self.store.set(row_id(data_centre), Some(b"{}".to_vec()));
        if let Some(deadline) = self.evacuation_deadline.get() {
            let from = tokio::time::Instant::now() + deadline;
            let mut limits = self.fleet.no_starts_from.borrow_mut();
            limits.insert(data_centre.into(), from);
        }
    }

    /// Removes the row of an evacuation.
    pub fn end_evacuation(&self, data_centre: &str) {
        self.store.set(row_id(data_centre), None);
        self.fleet.no_starts_from.borrow_mut().remove(data_centre);
    }
}

/// Returns the evacuations for a host with these faults.
pub fn evacuation_source(
    memory: &Rc<MemoryStore>,
    faults: [Rc<Cell<StoreFault>>; 2],
    distance: Duration,
    deadline: Duration,
) -> EvacuationSource {
    let rows = Rc::new(store(memory, &Rc::default(), distance));
    let (read_rows, read_faults) = (rows.clone(), faults.clone());
    EvacuationSource {
        deadline,
        read: Box::new(move |()| {
            let (rows, faults) = (read_rows.clone(), read_faults.clone());
            async move {
                let range = Range {
                    table: TABLE,
                    part: "",
                    from: PREFIX.to_owned(),
                    to: Some("evacuate0".to_owned()),
                };
                let page = (rows.read)(range).await?;
                answer(&faults).await?;
                let names = page.rows.iter().filter_map(|row| name(&row.key));
                Ok((names.collect(), page.version))
            }
            .boxed_local()
        }),
        follow: Box::new(move |(after, wait)| {
            let (rows, faults) = (rows.clone(), faults.clone());
            async move {
                let request = FollowRequest {
                    table: TABLE,
                    after,
                    wait,
                };
                let page = (rows.follow)(request).await?;
                answer(&faults).await?;
                let updates = page.rows.iter().filter_map(|row| {
                    Some(EvacuationUpdate {
                        data_centre: name(&row.key)?,
                        is_evacuated: row.value.is_some(),
                    })
                });
                Ok((updates.collect(), page.version))
            }
            .boxed_local()
        }),
    }
}

/// Applies the faults when the answer is on its way: a call that waits for changes when a partition
/// begins is not answered either.
async fn answer(faults: &[Rc<Cell<StoreFault>>; 2]) -> Result<(), StoreError> {
    for fault in faults {
        reachable(fault.get()).await?;
    }
    Ok(())
}

fn name(key: &str) -> Option<Arc<str>> {
    key.strip_prefix(PREFIX).map(Arc::from)
}
