//! Answers submissions, cancellations and the calls that other daemons make to the owner of a
//! shard.

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
use crate::shards::input::Reply;
use crate::shards::input::Request;
use crate::shards::notifications::submit_reply;
use crate::shards::placement;
use crate::shards::placement::Candidate;

impl Driver {
    /// Handles a request. The reply is sent at once, or with the notification that reports the
    /// outcome.
    pub(super) fn handle_request(&mut self, request: Request, reply: oneshot::Sender<Reply>) {
        match request {
            Request::Submit { shard, spec } => self.submit(shard, spec, reply),
            Request::Cancel { shard, task } => {
                self.forward_to_owner(&shard, Some(task.clone()), Event::Cancel(task), reply);
            }
            Request::Rescan { shard } => {
                let owned_here = self.owned.contains_key(&shard);
                if owned_here {
                    self.read_task_rows(&shard, false);
                }
                let answer = if owned_here {
                    Reply::Done(shard)
                } else {
                    self.not_owner_reply(&shard)
                };
                let _ = reply.send(answer);
            }
            Request::WaitReasons { shard, tasks } => {
                let answer = if self.owned.contains_key(&shard) {
                    Reply::WaitReasons(self.wait_reasons(&tasks))
                } else {
                    self.not_owner_reply(&shard)
                };
                let _ = reply.send(answer);
            }
            Request::WorkerLost { shard, worker } => {
                self.forward_to_owner(&shard, None, Event::WorkerLost(worker), reply);
            }
        }
    }

    fn wait_reasons(&self, tasks: &[TaskId]) -> BTreeMap<TaskId, String> {
        let now = self.now();
        let reason = |task: &TaskId| {
            let reason = self.sched.wait_reason(task, now)?;
            Some((task.clone(), reason.to_string()))
        };
        tasks.iter().filter_map(reason).collect()
    }

    fn submit(&mut self, shard: Option<ShardId>, spec: TaskSpec, reply: oneshot::Sender<Reply>) {
        let Some(shard) = shard.or_else(|| self.choose_shard(&spec)) else {
            let _ = reply.send(Reply::Refused("no shard is known yet".into()));
            return;
        };
        let task = spec.task.clone();
        self.forward_to_owner(&shard, Some(task), Event::Submit(spec), reply);
    }

    /// Passes an event to the owner of a shard if it runs here. If `task` is given, the reply is
    /// sent with the notification that reports the outcome for that task.
    fn forward_to_owner(
        &mut self,
        shard: &ShardId,
        task: Option<TaskId>,
        event: Event,
        reply: oneshot::Sender<Reply>,
    ) {
        if !self.owned.contains_key(shard) {
            let _ = reply.send(self.not_owner_reply(shard));
            return;
        }
        let now = self.now();
        let first_new = self.notifications.len();
        self.drive(shard, event, now);
        let Some(task) = task else {
            let _ = reply.send(Reply::Done(shard.clone()));
            return;
        };
        match self.take_immediate_reply(first_new, shard, &task) {
            Some(answer) => drop(reply.send(answer)),
            None => self.pending_replies.entry(task).or_default().push(reply),
        }
    }

    /// Removes and returns the reply to the event that was just handled, if the owner has already
    /// produced it: a notification about `task` at or after index `first_new`. It is for this
    /// caller alone; others may wait for another write of the same task, and later notifications
    /// are for them.
    fn take_immediate_reply(
        &mut self,
        first_new: usize,
        shard: &ShardId,
        task: &TaskId,
    ) -> Option<Reply> {
        let answer = |notification: &Notification| match notification {
            Notification::Refused {
                task: about,
                reason,
            } if about == task => Some(Reply::Refused(reason.to_string())),
            Notification::Submitted {
                task: about,
                outcome,
            } if about == task => Some(submit_reply(shard, *outcome)),
            Notification::Cancelling { task: about } if about == task => {
                Some(Reply::Done(shard.clone()))
            }
            _ => None,
        };
        let mut new = self.notifications.iter().enumerate().skip(first_new);
        let (index, answer) =
            new.find_map(|(index, (_, notification))| Some((index, answer(notification)?)))?;
        self.notifications.remove(index);
        Some(answer)
    }

    /// Sends `answer` to every caller that waits for the outcome of a task.
    pub(super) fn reply_all(&mut self, task: &TaskId, answer: &Reply) {
        for reply in self.pending_replies.remove(task).unwrap_or_default() {
            let _ = reply.send(answer.clone());
        }
    }

    fn not_owner_reply(&self, shard: &ShardId) -> Reply {
        Reply::NotOwner {
            shard: shard.clone(),
            owner: self.owner_of(shard),
        }
    }

    fn owner_of(&self, shard: &ShardId) -> Option<DaemonId> {
        let view = self.shard_views.iter().find(|view| view.shard == *shard)?;
        let owner = view.row.as_ref()?.owner.as_ref()?;
        Some(owner.daemon.clone())
    }

    /// Picks the shard at which a new task is queued.
    fn choose_shard(&self, spec: &TaskSpec) -> Option<ShardId> {
        let doc = self.cx.doc.borrow().clone()?;
        placement::choose_shard(spec, &doc.document, &self.candidates()).cloned()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let own = self.sched.summary(&self.cx.settings.daemon);
        let local = own.shards.into_iter().map(|shard| Candidate {
            shard: shard.shard,
            place: shard.place,
            largest: shard.largest,
            free: shard.free,
            owned_here: true,
        });
        let mut candidates: Vec<Candidate> = local.collect();
        let now = self.now();
        let view = self.cx.view();
        for (_, summary) in view.gossip.summaries(&view.members, now) {
            candidates.extend(summary.shards.iter().map(|shard| Candidate {
                shard: shard.shard.clone(),
                place: shard.place.clone(),
                largest: shard.largest,
                free: shard.free,
                owned_here: false,
            }));
        }
        drop(view);
        let known: model::Set<ShardId> = candidates
            .iter()
            .map(|candidate| candidate.shard.clone())
            .collect();
        let unknown = self
            .shard_views
            .iter()
            .filter(|view| !known.contains(&view.shard));
        candidates.extend(unknown.map(|view| Candidate {
            shard: view.shard.clone(),
            place: view.place.clone(),
            largest: Size::ZERO,
            free: Size::ZERO,
            owned_here: self.owned.contains_key(&view.shard),
        }));
        candidates
    }

    /// Asks the owner of a shard on another daemon to rescan its task rows, because a row was
    /// handed to it. If the call is lost, the owner finds the row at its next periodic rescan.
    pub(super) fn notify_owner(&self, shard: &ShardId) {
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

/// Returns the address at which a daemon accepts calls of its peers; `None` until its profile is
/// known.
pub(crate) fn peer_address(member: &peer::members::Member) -> Option<std::net::SocketAddr> {
    member.profile.as_ref().map(|profile| profile.peer_address)
}
