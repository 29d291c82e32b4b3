//! Descriptions of the workers, executors and daemons to start.

use model::Size;
use model::place::Place;

/// Description of a worker to start.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// Unique id.
    pub id: String,
    /// Region and data centre.
    pub place: Place,
    /// Rack within the data centre.
    pub rack: String,
    /// CPU, memory and accelerators.
    pub capacity: Size,
}

impl WorkerPlan {
    /// Describes a worker.
    #[must_use]
    pub fn new(id: &str, place: Place, rack: &str, capacity: Size) -> Self {
        Self {
            id: id.to_owned(),
            place,
            rack: rack.to_owned(),
            capacity,
        }
    }
}

/// Description of an executor to start.
#[derive(Clone, Debug)]
pub struct ExecutorPlan {
    /// Unique id.
    pub id: String,
    /// Upstream that it serves.
    pub upstream: String,
    /// Region and data centre.
    pub place: Place,
    /// Number of requests that it runs concurrently.
    pub slots: usize,
}

impl ExecutorPlan {
    /// Describes an executor with 8 slots.
    #[must_use]
    pub fn new(id: &str, upstream: &str, place: Place) -> Self {
        Self {
            id: id.to_owned(),
            upstream: upstream.to_owned(),
            place,
            slots: 8,
        }
    }
}

/// Description of a daemon to start.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Unique id.
    pub id: String,
    /// Half of the organisation that it belongs to.
    pub half: String,
    /// Region and data centre.
    pub place: Place,
}

impl DaemonPlan {
    /// Describes a daemon.
    #[must_use]
    pub fn new(id: &str, half: &str, place: Place) -> Self {
        Self {
            id: id.to_owned(),
            half: half.to_owned(),
            place,
        }
    }
}

/// Returns three daemons in two regions: two of the first half and one of the second.
#[must_use]
pub fn three_daemons(halves: [&str; 2]) -> Vec<DaemonPlan> {
    vec![
        DaemonPlan::new("limburg-1", halves[0], Place::new("vlaanderen", "limburg")),
        DaemonPlan::new(
            "antwerpen-1",
            halves[0],
            Place::new("vlaanderen", "antwerpen"),
        ),
        DaemonPlan::new("namur-1", halves[1], Place::new("wallonie", "namur")),
    ]
}

/// Returns `per_rack` workers of equal capacity in one rack of each of the three data centres.
#[must_use]
pub fn workers_in_racks(per_rack: usize, capacity: Size) -> Vec<WorkerPlan> {
    let racks = [
        ("vlaanderen", "limburg"),
        ("vlaanderen", "antwerpen"),
        ("wallonie", "namur"),
    ];
    let worker = |(region, data_centre): (&str, &str), number: usize| {
        let id = format!("{data_centre}-worker-{number}");
        let rack = format!("{data_centre}-rack-1");
        WorkerPlan::new(&id, Place::new(region, data_centre), &rack, capacity)
    };
    racks
        .into_iter()
        .flat_map(|rack| (1..=per_rack).map(move |number| worker(rack, number)))
        .collect()
}
