//! What is done for a task that finds no room: make room, keep a worker for it, or move it.

use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::ShardId;

use crate::decision::Decision;
use crate::decision::Unrunnable;
use crate::decision::Why;
use crate::facts::PeerShard;
use crate::key::LaneKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::room;
use crate::sched::Sched;
use crate::sched::waits_in;
use crate::start;
use crate::start::Attempt;
use crate::start::Round;
use crate::task::Phase;
use crate::team;
use crate::worker::Hold;

/// How long a worker is kept for a task for which others are being evicted.
const EVICTION_HOLD: Duration = Duration::from_secs(10);
/// How much longer than expected a worker is kept for a large task.
const HOLD_GRACE: Duration = Duration::from_secs(60);
/// The part of the largest worker above which a task is large; room for smaller ones comes by itself
/// as others end.
const LARGE: f64 = 0.25;
/// How many workers of a hundred may be kept for large tasks at the same time.
const HOLD_PERCENT: usize = 5;
/// How many tasks of a blocked urgent lane are looked at in one round.
const URGENT_LOOKAHEAD: usize = 16;

impl Sched {
    /// Sees to a lane whose oldest task cannot start.
    pub(crate) fn blocked(&mut self, lane: LaneKey, attempt: Attempt, round: &mut Round) {
        let Some(head) = self.head(lane) else {
            return;
        };
        let task = &self.book.tasks[head];
        let is_urgent = task.is_urgent();
        let preempts = is_urgent || self.book.classes[task.class].is_service();
        if !is_urgent {
            self.rest(lane, round.now);
        }
        match attempt {
            Attempt::NoRoom if preempts => self.make_room(lane, false, round),
            Attempt::Share if preempts => self.make_room(lane, true, round),
            Attempt::NoRoom => self.wait_for_room(head, round),
            Attempt::Share => self.wait_for_share(head, round.now),
            Attempt::Started | Attempt::Refused | Attempt::Quota => {}
        }
    }

    /// Evicts batch tasks for the oldest tasks of a lane, or moves those that no eviction helps.
    fn make_room(&mut self, lane: LaneKey, in_half: bool, round: &mut Round) {
        let tasks = &self.book.tasks;
        let waiting: Vec<TaskKey> = self
            .queue
            .keys(lane)
            .filter(|key| waits_in(tasks.get(*key), lane))
            .take(URGENT_LOOKAHEAD)
            .collect();
        for key in waiting {
            if self.book.tasks[key].held.is_some() {
                continue;
            }
            if self.preempt(key, in_half, round) {
                continue;
            }
            if in_half || !self.hand_off(key, round) {
                // Nothing helps this one, so nothing helps its like.
                self.rest(lane, round.now);
                return;
            }
        }
    }

    fn preempt(&mut self, key: TaskKey, in_half: bool, round: &mut Round) -> bool {
        let reservation = self.book.reservation(key);
        let ask = start::ask(&self.book, &self.jobs, key, reservation);
        let team = self.book.tasks[key].team;
        let half = in_half.then(|| self.book.teams[team].half);
        let Some(victims) = room::victims(&self.book, &ask, half, round.now) else {
            return false;
        };
        let evicting = |key: TaskKey| self.book.tasks[key].run().is_some_and(|run| run.evicting);
        let count = victims
            .tasks
            .iter()
            .filter(|(key, _)| !evicting(*key))
            .count();
        if count > round.evictions {
            return true;
        }
        round.evictions -= count;
        for (victim, lost_ms) in &victims.tasks {
            let why = Why::MakesRoom { lost_ms: *lost_ms };
            self.evict(*victim, why, &mut round.out);
        }
        let expected = round.now.after(EVICTION_HOLD);
        self.hold(
            victims.worker,
            Hold {
                task: key,
                evicting: true,
                expected,
                expires: expected,
            },
        );
        true
    }

    /// Moves a task that has waited to another daemon's shard with room, or keeps a worker for it.
    fn wait_for_room(&mut self, key: TaskKey, round: &mut Round) {
        let task = &self.book.tasks[key];
        let waited = round.now.since(task.submitted_at);
        if task.held.is_some() {
            return;
        }
        if waited >= self.cfg.hand_off_after && self.hand_off(key, round) {
            return;
        }
        let most = (self.book.workers.len() * HOLD_PERCENT / 100).max(1);
        if waited < self.cfg.hold_after || self.holds.len() >= most {
            return;
        }
        let reservation = self.book.reservation(key);
        let largest = self.book.classes[self.book.tasks[key].class].largest;
        if reservation.dominant_share(&largest) <= LARGE {
            return;
        }
        let ask = start::ask(&self.book, &self.jobs, key, reservation);
        if let Some((worker, expected)) = room::soonest(&self.book, &ask, round.now) {
            let wait = expected.since(round.now);
            let expires = expected.after(wait + HOLD_GRACE);
            self.hold(
                worker,
                Hold {
                    task: key,
                    evicting: false,
                    expected,
                    expires,
                },
            );
        }
    }

    /// Keeps a part of its half's share free for a task that has waited, so that smaller ones of the
    /// same half do not take it up for ever.
    fn wait_for_share(&mut self, key: TaskKey, now: Mono) {
        let task = &self.book.tasks[key];
        if now.since(task.submitted_at) < self.cfg.hold_after {
            return;
        }
        let reservation = self.book.reservation(key);
        let half = self.book.teams[task.team].half;
        let kept = &mut self.book.halves[usize::from(half.0)].kept;
        if kept.is_none() {
            *kept = Some((key, reservation));
        }
    }

    /// Keeps a worker for a task, and no longer for the one that it was kept for before.
    fn hold(&mut self, worker: WorkerKey, hold: Hold) {
        if let Some(former) = self.book.workers[worker].hold {
            self.drop_hold(former.task);
        }
        self.book.tasks[hold.task].held = Some(worker);
        self.book.workers[worker].hold = Some(hold);
        self.holds.push(worker);
    }

    /// Keeps no worker for a task any longer.
    pub(crate) fn drop_hold(&mut self, key: TaskKey) {
        for half in &mut self.book.halves {
            if half.kept.is_some_and(|(task, _)| task == key) {
                half.kept = None;
                self.book.room += 1;
            }
        }
        let Some(worker) = self.book.tasks[key].held.take() else {
            return;
        };
        self.holds.retain(|held| *held != worker);
        if let Some(worker) = self.book.workers.get_mut(worker) {
            worker.hold = None;
            self.book.room += 1;
        }
    }

    /// Gives up holds that have lasted too long or whose worker takes no more work.
    pub(crate) fn expire_holds(&mut self, now: Mono) {
        for key in self.holds.clone() {
            let Some(worker) = self.book.workers.get(key) else {
                self.holds.retain(|held| *held != key);
                self.drop_holds_on(key);
                continue;
            };
            let hold = worker.hold;
            if let Some(hold) = hold
                && (now >= hold.expires || !worker.is_open())
            {
                self.drop_hold(hold.task);
            }
        }
    }

    fn drop_holds_on(&mut self, worker: WorkerKey) {
        for task in self.book.tasks.values_mut() {
            if task.held == Some(worker) {
                task.held = None;
            }
        }
    }

    /// Moves a task to the shard of another daemon that has the most room for it.
    fn hand_off(&mut self, key: TaskKey, round: &mut Round) -> bool {
        let reservation = self.book.reservation(key);
        let Some(to_shard) = self.take_room_elsewhere(key, &reservation) else {
            return false;
        };
        self.detach(key);
        let task = &mut self.book.tasks[key];
        task.phase = Phase::Moving;
        round.out.push(Decision::HandOff {
            task: task.id.clone(),
            to_shard,
            why: Why::RoomElsewhere,
        });
        true
    }

    /// Takes the room off the other daemon's summary, so that not all of a queue goes there before
    /// the next summary comes.
    fn take_room_elsewhere(&mut self, key: TaskKey, reservation: &Size) -> Option<ShardId> {
        let class = &self.book.classes[self.book.tasks[key].class];
        let own = self.could_hold(key, reservation);
        let shards = self.peers.values_mut().flat_map(|peer| &mut peer.shards);
        let with_room = shards.filter(|shard| {
            let has_room = reservation.fits(&shard.free);
            let only_there = !own && reservation.fits(&shard.largest);
            class.allows(&shard.place) && (has_room || only_there)
        });
        let roomiest = with_room.max_by(|left, right| room_order(left, right))?;
        roomiest.free = roomiest.free.saturating_sub(reservation);
        Some(roomiest.shard.clone())
    }

    /// Returns whether any of this daemon's workers could hold a task if it were empty.
    fn could_hold(&self, key: TaskKey, reservation: &Size) -> bool {
        let class = &self.book.classes[self.book.tasks[key].class];
        let pools = class
            .sites
            .iter()
            .map(|site| &self.book.pools[usize::from(site.0)]);
        let mut keys = pools.flat_map(|pool| pool.plain.iter().chain(&pool.accelerated));
        keys.any(|key| reservation.fits(&self.book.workers[*key].capacity))
    }

    /// Returns whether a task could ever run, as far as is known now, and why not.
    pub(crate) fn verdict(&self, key: TaskKey, reservation: &Size) -> Result<(), Unrunnable> {
        let task = &self.book.tasks[key];
        let class = &self.book.classes[task.class];
        if class.rules.is_none() {
            return Err(Unrunnable::UnknownClass);
        }
        let team = &self.book.teams[task.team];
        let Some(rules) = &team.rules else {
            return Err(Unrunnable::UnknownTeam);
        };
        if !reservation.fits(&rules.quota) {
            return Err(Unrunnable::OverQuota {
                needed: *reservation,
                quota: rules.quota,
            });
        }
        let half = &self.book.halves[usize::from(team.half.0)];
        let share = team::percent(&self.book.whole(), half.percent);
        let peers = self.peers.values().flat_map(|peer| &peer.shards);
        let mut shards = peers.filter(|shard| class.allows(&shard.place));
        if self.could_hold(key, reservation)
            || shards.clone().any(|shard| reservation.fits(&shard.largest))
        {
            if reservation.fits(&share) {
                return Ok(());
            }
            return Err(Unrunnable::OverShare {
                needed: *reservation,
                share,
            });
        }
        let largest = shards
            .clone()
            .fold(class.largest, |size, shard| size.max(&shard.largest));
        if largest == Size::ZERO && shards.next().is_none() {
            return Err(Unrunnable::NoPlace);
        }
        Err(Unrunnable::TooLarge {
            needed: *reservation,
            largest,
        })
    }
}

fn room_order(left: &PeerShard, right: &PeerShard) -> std::cmp::Ordering {
    let free = |shard: &PeerShard| (shard.free.cpu_millis, shard.free.memory_mib);
    free(left).cmp(&free(right))
}
