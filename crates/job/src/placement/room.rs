//! What is free on the executors in a placement round.
//!
//! A round assigns tasks and ends none. An executor that has no room for a task has none later in the
//! round either, and most executors are full under load. Spare CPU only falls as well, so that it
//! bounds the score of an executor until the round ends.

use std::cell::OnceCell;
use std::sync::Arc;

use model::Mono;
use model::Size;

use super::best_effort::spare_cpu;
use super::best_effort::spare_fraction;
use crate::fleet::ExecutorKey;
use crate::fleet::Fleet;
use crate::relaxation::Wait;
use crate::short_work::is_kept;
use crate::spec::StepSpec;

/// The name of a service and what is free on its executors.
type ServiceRooms = (Arc<str>, Arc<[Room]>);

/// What is free on the executors that accept tasks, by service. It is found out when a step of the
/// round first needs it.
#[derive(Debug, Default)]
pub(crate) struct RoomIndex {
    services: OnceCell<Vec<ServiceRooms>>,
}

/// What is free on one executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    pub(super) executor: ExecutorKey,
    /// The resources that are not allocated.
    free: Size,
    /// The CPU that best-effort tasks can use without relaxed conditions, in thousandths of a core.
    spare_cpu_millis: u64,
    /// The same as a fraction of the executor's CPU.
    pub(super) spare_fraction: f64,
    /// Whether the executor is kept for short work.
    pub(super) is_kept: bool,
}

/// What a task needs to find on an executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    allocated: Size,
    spare_cpu_millis: u64,
}

impl RoomIndex {
    /// Returns the executors of a service, first those with the most spare CPU.
    pub(super) fn of_service(&self, fleet: &Fleet, service: &str, now: Mono) -> Arc<[Room]> {
        let services = self.services.get_or_init(|| rooms_by_service(fleet, now));
        let rooms = services.iter().find(|(name, _)| **name == *service);
        rooms.map(|(_, rooms)| rooms.clone()).unwrap_or_default()
    }

    /// Returns the executors of a service that had room for a task of a step which has waited that
    /// long. No other can take it in this round.
    pub(crate) fn with_room(
        &self,
        fleet: &Fleet,
        service: &str,
        (step, wait): (&StepSpec, Wait),
        now: Mono,
    ) -> Vec<ExecutorKey> {
        let need = Need::new(step, wait);
        let rooms = self.of_service(fleet, service, now);
        let rooms = rooms.iter().filter(|room| need.is_met_by(room));
        rooms.map(|room| room.executor).collect()
    }
}

impl Need {
    /// Returns what a task of a step needs which has waited that long.
    pub(super) fn new(step: &StepSpec, wait: Wait) -> Self {
        let needs_spare_cpu = step.best_effort && !wait.relaxes();
        Self {
            allocated: step.allocated_size(),
            spare_cpu_millis: if needs_spare_cpu {
                step.size.cpu_millis
            } else {
                0
            },
        }
    }

    /// Returns whether an executor had what is needed.
    pub(super) fn is_met_by(&self, room: &Room) -> bool {
        self.allocated.fits(&room.free) && self.spare_cpu_millis <= room.spare_cpu_millis
    }
}

/// Returns what is free on the executors, by service; those with the most spare CPU come first.
fn rooms_by_service(fleet: &Fleet, now: Mono) -> Vec<ServiceRooms> {
    let mut services: Vec<(Arc<str>, Vec<Room>)> = Vec::new();
    for (key, executor) in fleet.iter().filter(|(_, one)| one.accepts_tasks(now)) {
        let room = Room {
            executor: key,
            free: executor.free(),
            spare_cpu_millis: spare_cpu(executor),
            spare_fraction: spare_fraction(executor),
            is_kept: is_kept(executor),
        };
        let service = &executor.listing.service;
        match services.iter_mut().find(|(name, _)| name == service) {
            Some((_, rooms)) => rooms.push(room),
            None => services.push((service.clone(), vec![room])),
        }
    }
    let services = services.into_iter();
    services
        .map(|(service, rooms)| (service, most_spare_first(&rooms)))
        .collect()
}

/// Sorts by spare CPU and among equals by key, both descending, what is given in the order of keys.
fn most_spare_first(rooms: &[Room]) -> Arc<[Room]> {
    // The bits of fractions, which are not negative, are in the order of their values.
    let positions = rooms.iter().zip(0_u32..);
    let mut order: Vec<(u64, u32)> = positions
        .map(|(room, position)| (room.spare_fraction.to_bits(), position))
        .collect();
    order.sort_unstable();
    let order = order.into_iter().rev();
    order
        .map(|(_, position)| rooms[position as usize])
        .collect()
}
