//! The recent payloads of a connection, so that each is sent once.
//!
//! Both sides add the same payloads in the same order, so that a position means the same payload.

use std::sync::Arc;

use job::id::JobId;
use model::Map;

use super::message::Payload;

/// Number of payloads that both sides keep.
const CAPACITY: usize = 1_024;

/// The payloads that the sender has sent, by job.
#[derive(Debug, Default)]
pub(super) struct SentPayloads {
    positions: Map<JobId, u16>,
    sent: Vec<(JobId, Arc<str>)>,
    next: usize,
}

/// The payloads that the receiver has received.
#[derive(Debug, Default)]
pub(super) struct ReceivedPayloads {
    payloads: Vec<Arc<str>>,
    next: usize,
}

impl SentPayloads {
    /// Returns how the payload of a job is sent.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "positions are below CAPACITY"
    )]
    pub(super) fn encode(&mut self, job: JobId, payload: Arc<str>) -> Payload {
        if let Some(position) = self.positions.get(&job)
            && self.is_sent(*position, &payload)
        {
            return Payload::Recent(*position);
        }
        let sent = (job, payload.clone());
        match self.sent.get_mut(self.next) {
            Some(replaced) => {
                let (replaced_job, _) = std::mem::replace(replaced, sent);
                if self.positions.get(&replaced_job) == Some(&(self.next as u16)) {
                    self.positions.remove(&replaced_job);
                }
            }
            None => self.sent.push(sent),
        }
        self.positions.insert(job, self.next as u16);
        self.next = (self.next + 1) % CAPACITY;
        Payload::New(payload)
    }
}

impl SentPayloads {
    /// Returns whether this payload is the one at a position. A job under a used name has another.
    fn is_sent(&self, position: u16, payload: &str) -> bool {
        let sent = self.sent.get(usize::from(position));
        sent.is_some_and(|(_, sent)| **sent == *payload)
    }
}

impl ReceivedPayloads {
    /// Returns a payload, or `None` if the sender refers to one that was never sent.
    pub(super) fn decode(&mut self, payload: Payload) -> Option<Arc<str>> {
        match payload {
            Payload::Recent(position) => self.payloads.get(usize::from(position)).cloned(),
            Payload::New(payload) => {
                match self.payloads.get_mut(self.next) {
                    Some(replaced) => *replaced = payload.clone(),
                    None => self.payloads.push(payload.clone()),
                }
                self.next = (self.next + 1) % CAPACITY;
                Some(payload)
            }
        }
    }
}
