//! Answers submissions, cancellations and what other daemons ask of a shard's owner.

use std::collections::BTreeMap;

use lease::owner::Event;
use lease::owner::Notification;
use lease::record::TaskSpec;
use model::Size;
use model::id::DaemonId;
use model::id::ShardId;
use model::id::TaskId;
use peer::rpc::ShardRequest;
use tokio::sync::oneshot;

use crate::shards::driver::Driver;
use crate::shards::facts::submitted;
use crate::shards::home;
use crate::shards::home::Candidate;
use crate::shards::input::Reply;
use crate::shards::input::Request;

impl Driver {
    /// Takes in a request; the answer comes at once or with the fact that tells what became of it.
    pub(super) fn asked(&mut self, request: Request, reply: oneshot::Sender<Reply>) {
        match request {
            Request::Submit { shard, spec } => self.submit(shard, spec, reply),
            Request::Cancel { shard, task } => {
                self.for_owner(&shard, Some(task.clone()), Event::Cancel(task), reply);
            }
            Request::Rescan { shard } => {
                let here = self.running.contains_key(&shard);
                if here {
                    self.read_tasks(&shard, false);
                }
                let answer = if here {
                    Reply::Done(shard)
                } else {
                    self.elsewhere(&shard)
                };
                let _ = reply.send(answer);
            }
            Request::Held { shard, tasks } => {
                let answer = if self.running.contains_key(&shard) {
                    Reply::Held(self.held(&tasks))
                } else {
                    self.elsewhere(&shard)
                };
                let _ = reply.send(answer);
            }
            Request::WorkerLost { shard, worker } => {
                self.for_owner(&shard, None, Event::WorkerLost(worker), reply);
            }
        }
    }

    fn held(&self, tasks: &[TaskId]) -> BTreeMap<TaskId, String> {
        let now = self.now();
        let held = |task: &TaskId| {
            let held = self.sched.wait_reason(task, now)?;
            Some((task.clone(), held.to_string()))
        };
        tasks.iter().filter_map(held).collect()
    }

    fn submit(&mut self, shard: Option<ShardId>, spec: TaskSpec, reply: oneshot::Sender<Reply>) {
        let Some(shard) = shard.or_else(|| self.home(&spec)) else {
            let _ = reply.send(Reply::Refused("no shard is known yet".into()));
            return;
        };
        let task = spec.task.clone();
        self.for_owner(&shard, Some(task), Event::Submit(spec), reply);
    }

    /// Gives an event to the owner of a shard if it runs here. With a task, the answer comes with
    /// the fact that tells what became of it.
    fn for_owner(
        &mut self,
        shard: &ShardId,
        task: Option<TaskId>,
        event: Event,
        reply: oneshot::Sender<Reply>,
    ) {
        if !self.running.contains_key(shard) {
            let _ = reply.send(self.elsewhere(shard));
            return;
        }
        let now = self.now();
        let told = self.facts.len();
        self.drive(shard, event, now);
        let Some(task) = task else {
            let _ = reply.send(Reply::Done(shard.clone()));
            return;
        };
        match self.told_since(told, shard, &task) {
            Some(answer) => drop(reply.send(answer)),
            None => self.asked.entry(task).or_default().push(reply),
        }
    }

    /// Takes out what an owner told at once of what was just asked of it. It is for the asker alone:
    /// others may wait for another write of the same task, and what is told later is for them.
    fn told_since(&mut self, told: usize, shard: &ShardId, task: &TaskId) -> Option<Reply> {
        let answer = |fact: &Notification| match fact {
            Notification::Refused {
                task: about,
                reason,
            } if about == task => Some(Reply::Refused(reason.to_string())),
            Notification::Submitted {
                task: about,
                outcome,
            } if about == task => Some(submitted(shard, *outcome)),
            Notification::Cancelling { task: about } if about == task => {
                Some(Reply::Done(shard.clone()))
            }
            _ => None,
        };
        let mut since = self.facts.iter().enumerate().skip(told);
        let (at, answer) = since.find_map(|(at, (_, fact))| Some((at, answer(fact)?)))?;
        self.facts.remove(at);
        Some(answer)
    }

    /// Answers all who wait to hear of a task.
    pub(super) fn answer(&mut self, task: &TaskId, answer: &Reply) {
        for reply in self.asked.remove(task).unwrap_or_default() {
            let _ = reply.send(answer.clone());
        }
    }

    fn elsewhere(&self, shard: &ShardId) -> Reply {
        Reply::Elsewhere {
            shard: shard.clone(),
            owner: self.owner_of(shard),
        }
    }

    fn owner_of(&self, shard: &ShardId) -> Option<DaemonId> {
        let view = self.views.iter().find(|view| view.shard == *shard)?;
        let owner = view.row.as_ref()?.owner.as_ref()?;
        Some(owner.daemon.clone())
    }

    /// Picks the shard that a new task is queued at.
    fn home(&self, spec: &TaskSpec) -> Option<ShardId> {
        let doc = self.cx.doc.borrow().clone()?;
        home::pick(spec, &doc.document, &self.candidates()).cloned()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let own = self.sched.summary(&self.cx.settings.daemon);
        let here = own.shards.into_iter().map(|room| Candidate {
            shard: room.shard,
            place: room.place,
            largest: room.largest,
            free: room.free,
            here: true,
        });
        let mut candidates: Vec<Candidate> = here.collect();
        let now = self.now();
        let view = self.cx.view();
        for (_, told) in view.gossip.summaries(&view.members, now) {
            candidates.extend(told.shards.iter().map(|room| Candidate {
                shard: room.shard.clone(),
                place: room.place.clone(),
                largest: room.largest,
                free: room.free,
                here: false,
            }));
        }
        drop(view);
        let known: model::Set<ShardId> = candidates
            .iter()
            .map(|candidate| candidate.shard.clone())
            .collect();
        let unseen = self
            .views
            .iter()
            .filter(|view| !known.contains(&view.shard));
        candidates.extend(unseen.map(|view| Candidate {
            shard: view.shard.clone(),
            place: view.place.clone(),
            largest: Size::ZERO,
            free: Size::ZERO,
            here: self.running.contains_key(&view.shard),
        }));
        candidates
    }

    /// Tells the owner of a shard elsewhere that a row was handed to it; it finds the row by itself
    /// later if this does not reach it.
    pub(super) fn tell_owner(&self, shard: &ShardId) {
        let Some(owner) = self.owner_of(shard) else {
            return;
        };
        let address = self.cx.view().members.get(&owner).and_then(peer_address);
        let Some(address) = address else {
            return;
        };
        let links = self.cx.links.clone();
        let call = ShardRequest::Rescan {
            shard: shard.clone(),
        };
        tokio::spawn(async move {
            let _ = links.shard(address, call).await;
        });
    }
}

/// Where a daemon takes messages of other daemons, once that is known.
pub(crate) fn peer_address(member: &peer::members::Member) -> Option<std::net::SocketAddr> {
    member.profile.as_ref().map(|profile| profile.peer_address)
}
