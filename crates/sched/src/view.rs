//! What is known of the load on one worker: its services, and the batch beside them.

use std::time::Duration;

use model::Mono;
use model::Size;

use crate::book::Book;
use crate::interfere::Pressure;
use crate::interfere::Seat;
use crate::key::ClassKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;

/// The load that a service is taken to have before it is reported.
pub(crate) const UNREPORTED_LOAD: f64 = 0.6;
/// The load that a service is taken to have at least when its reports are missing.
const SILENT_LOAD: f64 = 0.8;
/// How old figures may be before they count as missing.
const SILENCE: Duration = Duration::from_secs(60);

/// Returns the services on a worker that have a target, with loads taken so far for their recent
/// peak as `foresight` says.
pub(crate) fn seats(
    book: &Book,
    key: WorkerKey,
    foresight: f64,
    now: Mono,
) -> Vec<(TaskKey, Seat)> {
    let worker = &book.workers[key];
    if worker.services == 0 {
        return Vec::new();
    }
    let figures_at = worker.meter.figures_at;
    let silent = figures_at.is_some_and(|at| now.since(at) > SILENCE);
    let seat = |task_key: &TaskKey| {
        let task = book.tasks.get(*task_key)?;
        let run = task.run()?;
        let target_us = book.classes[task.class].target_us()?;
        let load = run.load().unwrap_or(UNREPORTED_LOAD);
        let foreseen = load + (run.peak_load - load).max(0.0) * foresight;
        let load = if silent {
            foreseen.max(SILENT_LOAD)
        } else {
            foreseen
        };
        let class = task.class;
        Some((
            *task_key,
            Seat {
                class,
                load,
                target_us,
            },
        ))
    };
    worker.tasks.iter().filter_map(seat).collect()
}

/// Returns the batch on a worker by class, with what each takes of the processor time now.
pub(crate) fn pressures(book: &Book, key: WorkerKey) -> Vec<Pressure> {
    let worker = &book.workers[key];
    let mut pressures = Vec::new();
    for task in &worker.tasks {
        let task = &book.tasks[*task];
        let Some(run) = task.run() else { continue };
        if !book.classes[task.class].is_service() {
            add(
                &mut pressures,
                task.class,
                part(run.cpu(), &worker.capacity),
            );
        }
    }
    pressures
}

/// Adds processor time to a class's pressure.
pub(crate) fn add(pressures: &mut Vec<Pressure>, class: ClassKey, cpu: f64) {
    match pressures.iter_mut().find(|known| known.class == class) {
        Some(known) => known.cpu += cpu,
        None => pressures.push(Pressure { class, cpu }),
    }
}

/// Returns the part of a worker's processor time.
pub(crate) fn part(cpu_millis: f64, capacity: &Size) -> f64 {
    cpu_millis / capacity.cpu_millis.max(1) as f64
}
