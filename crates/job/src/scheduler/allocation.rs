//! The resources that tasks take on their executors.

use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::task::Task;

impl Scheduler {
    /// Allocates the resources of a task on an executor.
    pub(crate) fn allocate(&mut self, key: TaskKey, executor: ExecutorKey) {
        let Some(step) = self.step(key) else {
            return;
        };
        let allocated_size = step.allocated_size();
        let cpu = step.size.cpu_millis;
        let (long_running, best_effort) = (step.long_running, step.best_effort);
        let service_image = step.image.clone().filter(|_| step.is_service());
        let is_suspected = self.task(key).is_some_and(|task| task.crashes > 0);
        let service_image = service_image.map(|image| {
            let key = self.interference.intern_image(&image);
            (image, key)
        });
        self.poll_candidates.push(executor);
        if let Some(executor) = self.fleet.get_mut(executor) {
            executor.tasks.insert(key);
            executor.used += allocated_size;
            executor.suspected_tasks += u32::from(is_suspected);
            if let Some((image, key)) = &service_image {
                executor.add_service(image, *key, cpu);
            }
            let allocated = if best_effort {
                &mut executor.best_effort_cpu_millis
            } else if long_running {
                &mut executor.long_running_cpu_millis
            } else {
                &mut executor.batch_cpu_millis
            };
            *allocated = allocated.saturating_add(cpu);
        }
    }

    /// Frees the resources of a task on an executor.
    pub(crate) fn deallocate(&mut self, key: TaskKey, executor: ExecutorKey) {
        let Some(step) = self.step(key) else {
            return;
        };
        let allocated_size = step.allocated_size();
        let cpu = step.size.cpu_millis;
        let (long_running, best_effort) = (step.long_running, step.best_effort);
        let service_image = step.image.clone().filter(|_| step.is_service());
        let assignment = self.task(key).and_then(Task::assignment);
        let relaxed = assignment.is_some_and(|assignment| assignment.relaxed);
        let is_suspected = self.task(key).is_some_and(|task| task.crashes > 0);
        if let Some(executor) = self.fleet.get_mut(executor)
            && executor.tasks.remove(&key)
        {
            if let Some(image) = &service_image {
                executor.remove_service(image, cpu);
            }
            if executor.tasks.is_empty()
                && let Some(recovery) = &mut executor.recovery
            {
                recovery.probing = false;
            }
            executor.used = executor.used.saturating_sub(&allocated_size);
            executor.suspected_tasks -= u32::from(is_suspected);
            if relaxed {
                executor.relaxed_tasks -= 1;
            } else if best_effort {
                executor.best_effort_cpu_millis =
                    executor.best_effort_cpu_millis.saturating_sub(cpu);
            } else if long_running {
                executor.long_running_cpu_millis =
                    executor.long_running_cpu_millis.saturating_sub(cpu);
            } else {
                executor.batch_cpu_millis = executor.batch_cpu_millis.saturating_sub(cpu);
            }
        }
    }
}
