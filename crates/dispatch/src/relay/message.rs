//! The messages between the owner and its relays.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use derive_more::Display;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

use crate::dependencies::CommandReply;
use crate::dependencies::PollError;
use crate::dependencies::PollRequest;
use crate::dependencies::RunRequest;
use crate::dependencies::StartRequest;
use crate::relay::transport::MAX_FRAME_MESSAGES;

/// Identifies a call on one connection.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallId(pub u32);

/// Messages that are sent together.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame<M> {
    /// When the frame was sent, in milliseconds on the clock of the sender.
    pub sent_ms: u64,
    /// The latest such time that the sender has received from the other side; 0 if there is none. It
    /// bounds the age of the frame on the receiver's own clock.
    pub received_ms: u64,
    /// The messages; a frame without any shows that the sender lives.
    #[serde(
        deserialize_with = "bounded_messages",
        bound(deserialize = "M: Deserialize<'de>")
    )]
    pub messages: Vec<M>,
}

/// Reads the messages of a frame. More than a sender puts into one are refused while they are read:
/// a message of two bytes takes a hundred times as much memory.
fn bounded_messages<'de, D, M>(deserializer: D) -> Result<Vec<M>, D::Error>
where
    D: Deserializer<'de>,
    M: Deserialize<'de>,
{
    deserializer.deserialize_seq(BoundedMessages(PhantomData))
}

struct BoundedMessages<M>(PhantomData<M>);

impl<'de, M: Deserialize<'de>> Visitor<'de> for BoundedMessages<M> {
    type Value = Vec<M>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_FRAME_MESSAGES} messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut messages = Vec::new();
        while let Some(message) = seq.next_element()? {
            if messages.len() == MAX_FRAME_MESSAGES {
                return Err(A::Error::invalid_length(messages.len() + 1, &self));
            }
            messages.push(message);
        }
        Ok(messages)
    }
}

/// What the owner sends to a relay.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Starts a run.
    Start {
        /// The call.
        call: CallId,
        /// The command; its payload is empty.
        request: StartRequest,
        /// The payload of the command.
        payload: Payload,
    },
    /// Stops a run.
    Stop {
        /// The call.
        call: CallId,
        /// The command.
        request: RunRequest,
    },
    /// Sets the CPU share of a run.
    SetCpuShare {
        /// The call.
        call: CallId,
        /// The command.
        request: RunRequest,
        /// The share, in percent.
        cpu_percent: u32,
    },
    /// Polls an executor.
    Poll {
        /// The call.
        call: CallId,
        /// The poll.
        request: PollRequest,
    },
    /// Opens a session. Calls of owners with a lower epoch are not carried out any more. A release whose
    /// targets name no incarnation expects it in another position, so that no session with one opens.
    Hello {
        /// Epoch of the owner.
        epoch: u64,
    },
}

/// The payload of a start command. All tasks of a job have the same one, which is sent once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A payload that was not sent before, or not recently.
    New(Arc<str>),
    /// The position of a payload among the recent ones.
    Recent(u16),
}

/// The answer of a relay to a call.
#[derive(Debug, Serialize, Deserialize)]
pub struct Response {
    /// The call.
    pub call: CallId,
    /// The answer of the executor.
    pub answer: Answer,
}

/// What an executor answered to a call.
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// To a command to start a run.
    Start(CommandReply<StartAnswer>),
    /// To a command to stop a run or to set its CPU share.
    Command(CommandReply<bool>),
    /// To a poll.
    Poll(Result<Report, PollError>),
}
