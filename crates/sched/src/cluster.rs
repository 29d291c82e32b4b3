//! The workers, tasks, classes and teams that the scheduler knows, and sums over them. All
//! resources are reserved and released in [`reservations`].

mod reservations;

use conf::doc::Document;
use conf::doc::Sharing;
use model::Map;
use model::Size;
use model::id::ClassId;
use model::id::HalfId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use model::place::Place;
use slotmap::SlotMap;

use crate::class::Class;
use crate::input::PeerSummary;
use crate::input::WorkerSpec;
use crate::key::ClassKey;
use crate::key::Index;
use crate::key::Interner;
use crate::key::TaskKey;
use crate::key::TeamKey;
use crate::key::WorkerKey;
use crate::task::Task;
use crate::team::Half;
use crate::team::Team;
use crate::worker::Worker;

/// The listed workers of one site, by whether they have accelerators.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Workers without accelerators.
    pub(crate) plain: Vec<WorkerKey>,
    /// Workers with accelerators.
    pub(crate) accelerated: Vec<WorkerKey>,
    /// The largest worker capacity in each dimension.
    largest: Size,
}

/// The workers, tasks, classes, teams and halves, with the resources in use.
#[derive(Debug, Default)]
pub(crate) struct Cluster {
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    pub(crate) classes: SlotMap<ClassKey, Class>,
    pub(crate) teams: SlotMap<TeamKey, Team>,
    pub(crate) halves: Vec<Half>,
    pub(crate) sites: Interner<Place>,
    pub(crate) racks: Interner<ShardId>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) sharing: Sharing,
    /// The capacity of all listed workers.
    pub(crate) capacity: Size,
    /// The capacity of the workers of other daemons, by their last summaries.
    pub(crate) capacity_elsewhere: Size,
    /// The resources reserved on workers that the list of hosts no longer contains. They count as
    /// capacity, so that tasks on a lost worker do not use up the share of their half.
    pub(crate) unlisted: Size,
    /// Incremented by each change that may let a waiting task start.
    pub(crate) capacity_generation: u64,
    half_names: Interner<HalfId>,
    worker_names: Map<WorkerId, WorkerKey>,
    task_names: Map<TaskId, TaskKey>,
    class_names: Map<ClassId, ClassKey>,
    team_names: Map<TeamId, TeamKey>,
}

impl Cluster {
    /// Returns the key of a task, if it is known.
    pub(crate) fn task_key(&self, id: &TaskId) -> Option<TaskKey> {
        self.task_names.get(id).copied()
    }

    /// Returns the key of a worker, if it is known.
    pub(crate) fn worker_key(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.worker_names.get(id).copied()
    }

    /// Returns the total known capacity, including other daemons and unlisted workers.
    pub(crate) fn total_capacity(&self) -> Size {
        self.capacity + self.capacity_elsewhere + self.unlisted
    }

    /// Applies the rules of a document to classes, teams and halves.
    pub(crate) fn set_document(&mut self, document: &Document) {
        self.sharing = document.sharing.clone();
        for id in document.classes.keys() {
            self.intern_class(id);
        }
        for id in document.teams.keys() {
            self.intern_team(id);
        }
        for class in self.classes.values_mut() {
            class.rules = document.classes.get(&class.id).cloned();
            class.sizes.is_service = class.is_service();
        }
        for (id, half) in &document.halves {
            let index = self.intern_half(id);
            self.halves[index.0].percent = half.share_percent;
        }
        self.set_teams(document);
        self.rebuild_pools();
    }

    fn set_teams(&mut self, document: &Document) {
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        for key in keys {
            let rules = document.teams.get(&self.teams[key].id).cloned();
            if let Some(rules) = &rules {
                self.teams[key].half = self.intern_half(&rules.half);
            }
            self.teams[key].rules = rules;
        }
        self.recompute_halves();
    }

    fn recompute_halves(&mut self) {
        for half in &mut self.halves {
            half.used = Size::ZERO;
            half.used_elsewhere = Size::ZERO;
        }
        for team in self.teams.values() {
            let half = &mut self.halves[team.half.0];
            half.used += team.used;
            half.used_elsewhere += team.used_elsewhere;
        }
    }

    fn intern_half(&mut self, id: &HalfId) -> Index {
        let index = self.half_names.intern(id);
        if self.halves.len() <= index.0 {
            self.halves.push(Half::default());
        }
        index
    }

    /// Returns the key of a class, adding it if it is unknown.
    pub(crate) fn intern_class(&mut self, id: &ClassId) -> ClassKey {
        if let Some(key) = self.class_names.get(id) {
            return *key;
        }
        let key = self.classes.insert(Class::new(id.clone()));
        self.class_names.insert(id.clone(), key);
        key
    }

    /// Returns the key of a team, adding it if it is unknown.
    pub(crate) fn intern_team(&mut self, id: &TeamId) -> TeamKey {
        if let Some(key) = self.team_names.get(id) {
            return *key;
        }
        let half = self.intern_half(&HalfId::new(""));
        let key = self.teams.insert(Team::new(id.clone(), half));
        self.team_names.insert(id.clone(), key);
        key
    }

    /// Returns the key of a worker, adding it as an unlisted one if it is unknown.
    pub(crate) fn intern_worker(&mut self, id: &WorkerId) -> WorkerKey {
        if let Some(key) = self.worker_names.get(id) {
            return *key;
        }
        let site = self.sites.intern(&Place::new("", ""));
        let rack = self.racks.intern(&ShardId::new(""));
        let worker = Worker::unlisted(id.clone(), site, rack);
        let key = self.workers.insert(worker);
        self.worker_names.insert(id.clone(), key);
        key
    }

    /// Adds a worker or updates its place, capacity and state.
    pub(crate) fn upsert_worker(&mut self, spec: &WorkerSpec) {
        let key = self.intern_worker(&spec.id);
        let site = self.sites.intern(&spec.place);
        let rack = self.racks.intern(&spec.rack);
        let worker = &mut self.workers[key];
        let is_unchanged = worker.listed
            && worker.leaving == spec.leaving
            && worker.capacity == spec.capacity
            && (worker.site, worker.rack) == (site, rack);
        if is_unchanged {
            return;
        }
        worker.listed = true;
        worker.leaving = spec.leaving;
        worker.capacity = spec.capacity;
        worker.site = site;
        let previous = std::mem::replace(&mut worker.rack, rack);
        if previous != rack {
            self.move_rack(key, previous, rack);
        }
        self.rebuild_pools();
    }

    fn move_rack(&mut self, key: WorkerKey, from: Index, to: Index) {
        for task in &self.workers[key].tasks {
            let class = &mut self.classes[self.tasks[*task].class];
            if let Some(count) = class.tasks_per_rack.get_mut(&from) {
                *count = count.saturating_sub(1);
            }
            *class.tasks_per_rack.entry(to).or_default() += 1;
        }
    }

    /// Removes a worker, or marks it as unlisted while tasks are assigned to it.
    pub(crate) fn remove_worker(&mut self, id: &WorkerId) {
        let Some(key) = self.worker_key(id) else {
            return;
        };
        self.workers[key].listed = false;
        self.remove_if_idle(key);
        self.rebuild_pools();
    }

    fn remove_if_idle(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        if worker.listed || !worker.tasks.is_empty() {
            return;
        }
        self.worker_names.remove(&worker.id);
        self.workers.remove(key);
    }

    /// Rebuilds the pools, the capacity sums and the sites that each class may use.
    fn rebuild_pools(&mut self) {
        self.pools.clear();
        self.pools
            .resize_with(self.sites.iter().count(), Pool::default);
        self.capacity = Size::ZERO;
        self.unlisted = Size::ZERO;
        for (key, worker) in &self.workers {
            if !worker.listed {
                self.unlisted += worker.reserved;
                continue;
            }
            let pool = &mut self.pools[worker.site.0];
            pool.largest = pool.largest.max(&worker.capacity);
            self.capacity += worker.capacity;
            match worker.capacity.accelerators {
                0 => pool.plain.push(key),
                _ => pool.accelerated.push(key),
            }
        }
        for class in self.classes.values_mut() {
            let allowed = self.sites.iter().filter(|(_, place)| class.allows(place));
            let sites: Vec<Index> = allowed.map(|(site, _)| site).collect();
            let largest = |size: Size, site: &Index| size.max(&self.pools[site.0].largest);
            class.max_capacity = sites.iter().fold(Size::ZERO, largest);
            class.sites = sites;
        }
        self.capacity_generation += 1;
    }

    /// Updates the usage and the capacity of other daemons from their summaries.
    pub(crate) fn set_peers<'a>(&mut self, peers: impl Iterator<Item = &'a PeerSummary>) {
        for team in self.teams.values_mut() {
            team.used_elsewhere = Size::ZERO;
        }
        self.capacity_elsewhere = Size::ZERO;
        for peer in peers {
            self.capacity_elsewhere += peer.capacity;
            for (team, used) in &peer.teams {
                let key = self.intern_team(team);
                self.teams[key].used_elsewhere += *used;
            }
        }
        self.recompute_halves();
        self.capacity_generation += 1;
    }

    /// Adds a task under its name.
    pub(crate) fn add_task(&mut self, task: Task) -> TaskKey {
        let id = task.id.clone();
        let key = self.tasks.insert(task);
        self.task_names.insert(id, key);
        key
    }

    /// Removes a task that neither waits nor runs.
    pub(crate) fn remove_task(&mut self, key: TaskKey) {
        if let Some(task) = self.tasks.remove(key) {
            self.task_names.remove(&task.id);
        }
    }
}
