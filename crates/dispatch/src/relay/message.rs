//! The messages between the owner and its relays.

use std::sync::Arc;

use derive_more::Display;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use serde::Deserialize;
use serde::Serialize;

use crate::dependencies::CommandReply;
use crate::dependencies::PollError;
use crate::dependencies::PollRequest;
use crate::dependencies::RunRequest;
use crate::dependencies::StartRequest;

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
    pub messages: Vec<M>,
}

/// What the owner sends to a relay.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Opens a session. Calls of owners with a lower epoch are not carried out any more.
    Hello {
        /// Epoch of the owner.
        epoch: u64,
    },
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
