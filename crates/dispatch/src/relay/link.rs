//! The owner's side of the connection to one relay.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::scheduler::Report;
use job::scheduler::StartAnswer;
use model::Map;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::message::Answer;
use super::message::CallId;
use super::message::Frame;
use super::message::Request;
use super::message::Response;
use super::payloads::SentPayloads;
use super::transport;
use super::transport::Outbox;
use crate::dependencies::CommandOutcome;
use crate::dependencies::CommandReply;
use crate::dependencies::PollError;
use crate::dependencies::PollRequest;
use crate::dependencies::RunRequest;
use crate::dependencies::StartRequest;
use crate::node::Node;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The connection to a relay.
#[derive(Default)]
pub struct RelayLink {
    outbox: Outbox<Request>,
    pending: RefCell<Map<CallId, Pending>>,
    last_call: Cell<u32>,
    payloads: RefCell<SentPayloads>,
    state: Cell<LinkState>,
    /// Cancelled to close the connection.
    closed: CancellationToken,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// The relay has not answered yet.
    #[default]
    Opening,
    /// The relay takes calls.
    Ready,
    /// The connection is closed or the relay is silent.
    Failed,
}

/// A call whose answer is awaited.
enum Pending {
    Start(oneshot::Sender<CommandReply<StartAnswer>>),
    Command(oneshot::Sender<CommandReply<bool>>),
    Poll(oneshot::Sender<Result<Report, PollError>>),
}

impl RelayLink {
    /// Returns the state of the connection.
    pub fn state(&self) -> LinkState {
        self.state.get()
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Connects to a relay and exchanges messages until the connection fails or is closed.
    ///
    /// # Errors
    ///
    /// Returns why it failed.
    pub async fn run(
        self: &Rc<Self>,
        node: &Node,
        address: Arc<str>,
        epoch: u64,
    ) -> io::Result<()> {
        let result = tokio::select! {
            result = self.exchange(node, address, epoch) => result,
            () = self.closed.cancelled() => Ok(()),
        };
        self.fail();
        result
    }

    async fn exchange(&self, node: &Node, address: Arc<str>, epoch: u64) -> io::Result<()> {
        let connect = (node.dependencies.relays.connect)(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
        let (reader, writer) = tokio::io::split(stream);
        self.outbox.push(Request::Hello { epoch });
        let receive = transport::receive(
            reader,
            transport::MAX_FRAME_BYTES,
            |frame: Frame<Response>| {
                self.state.set(LinkState::Ready);
                self.outbox.acknowledge(frame.sent_ms);
                for response in frame.messages {
                    self.answered(response);
                }
                true
            },
        );
        tokio::select! {
            result = receive => result,
            result = transport::send(&self.outbox, || node.uptime_ms(), writer) => result,
        }
    }

    /// Starts a run by way of the relay.
    pub async fn start(&self, request: StartRequest) -> CommandReply<StartAnswer> {
        let payload = request.payload.clone();
        let payload = self.payloads.borrow_mut().encode(request.task.job, payload);
        let request = StartRequest {
            payload: Arc::default(),
            ..request
        };
        let (tx, rx) = oneshot::channel();
        self.call(Pending::Start(tx), |call| Request::Start {
            call,
            request,
            payload,
        });
        rx.await.unwrap_or(START_FAILED)
    }

    /// Stops a run by way of the relay.
    pub async fn stop(&self, request: RunRequest) -> CommandReply<bool> {
        let (tx, rx) = oneshot::channel();
        self.call(Pending::Command(tx), |call| Request::Stop { call, request });
        rx.await.unwrap_or(COMMAND_FAILED)
    }

    /// Sets the CPU share of a run by way of the relay.
    pub async fn set_cpu_share(&self, request: RunRequest, cpu_percent: u32) -> CommandReply<bool> {
        let (tx, rx) = oneshot::channel();
        self.call(Pending::Command(tx), |call| Request::SetCpuShare {
            call,
            request,
            cpu_percent,
        });
        rx.await.unwrap_or(COMMAND_FAILED)
    }

    /// Polls an executor by way of the relay.
    ///
    /// # Errors
    ///
    /// Returns the error of the call, or [`PollError::RelayFailed`].
    pub async fn poll(&self, request: PollRequest) -> Result<Report, PollError> {
        let (tx, rx) = oneshot::channel();
        self.call(Pending::Poll(tx), |call| Request::Poll { call, request });
        rx.await.unwrap_or(Err(PollError::RelayFailed))
    }

    fn call(&self, pending: Pending, request: impl FnOnce(CallId) -> Request) {
        if self.state.get() == LinkState::Failed {
            // Dropping the sender ends the call.
            return;
        }
        let call = CallId(self.last_call.get().wrapping_add(1));
        self.last_call.set(call.0);
        self.pending.borrow_mut().insert(call, pending);
        self.outbox.push(request(call));
    }

    /// Passes an answer on. Whoever awaited it may have given up.
    fn answered(&self, response: Response) {
        let pending = self.pending.borrow_mut().remove(&response.call);
        match (pending, response.answer) {
            (Some(Pending::Start(tx)), Answer::Start(reply)) => {
                let _ = tx.send(reply);
            }
            (Some(Pending::Command(tx)), Answer::Command(reply)) => {
                let _ = tx.send(reply);
            }
            (Some(Pending::Poll(tx)), Answer::Poll(result)) => {
                let _ = tx.send(result);
            }
            _ => {}
        }
    }

    /// Ends all calls that are awaited. Commands may have been carried out.
    fn fail(&self) {
        self.state.set(LinkState::Failed);
        self.pending.borrow_mut().clear();
    }
}

const START_FAILED: CommandReply<StartAnswer> = CommandReply {
    outcome: CommandOutcome::RelayFailed,
    clock_ms: None,
};

const COMMAND_FAILED: CommandReply<bool> = CommandReply {
    outcome: CommandOutcome::RelayFailed,
    clock_ms: None,
};
