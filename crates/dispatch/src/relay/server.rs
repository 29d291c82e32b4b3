//! The relay's side: carries out the calls that the owner sends.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::MAX_CALL_AGE;
use super::message::Answer;
use super::message::CallId;
use super::message::Frame;
use super::message::Request;
use super::message::Response;
use super::payloads::ReceivedPayloads;
use super::transport;
use super::transport::Outbox;
use crate::dependencies::ByteStream;
use crate::dependencies::CommandOutcome;
use crate::dependencies::CommandReply;
use crate::events;
use crate::node::Node;

/// Time for the owner to open a session with [`Request::Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// The session of the owner with the highest epoch. It ends when an owner opens another one, so that
/// nothing is carried out for an earlier owner beside its successor.
#[derive(Default)]
pub struct CurrentSession {
    epoch: Cell<u64>,
    end: RefCell<CancellationToken>,
}

impl CurrentSession {
    /// Returns the epoch of the owner of the latest session; 0 if there was none.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Begins a session and ends the one before. Returns `None` if the epoch is lower, or lower than
    /// `known`.
    fn begin(&self, epoch: u64, known: u64) -> Option<CancellationToken> {
        if epoch < self.epoch.get().max(known) {
            return None;
        }
        self.epoch.set(epoch);
        let end = CancellationToken::new();
        self.end.replace(end.clone()).cancel();
        Some(end)
    }
}

/// Serves a connection of an owner until it fails or another owner takes over. Calls that are in
/// progress then are abandoned.
pub async fn serve(node: Rc<Node>, stream: Box<dyn ByteStream>) {
    let (reader, writer) = tokio::io::split(stream);
    let outbox = Rc::new(Outbox::default());
    let end = CancellationToken::new();
    let opened = CancellationToken::new();
    let mut session = Session {
        node: node.clone(),
        outbox: outbox.clone(),
        epoch: 0,
        end: None,
        ended: end.clone(),
        opened: opened.clone(),
        payloads: ReceivedPayloads::default(),
        calls: JoinSet::new(),
    };
    let receive = transport::receive(reader, node.max_relay_frame_bytes.get(), |frame| {
        session.process(frame)
    });
    let result = tokio::select! {
        result = receive => result,
        result = transport::send(&outbox, || node.uptime_ms(), writer) => result,
        () = end.cancelled() => Ok(()),
        () = wait_for_hello_timeout(opened) => Err(io::ErrorKind::TimedOut.into()),
    };
    events::relay_session_ended(node.relay_session.epoch.get(), result.as_ref().err());
}

/// Completes when no session has been opened in time. A connection without one would otherwise stay open
/// for as long as it sends empty frames, and the number of connections is limited.
async fn wait_for_hello_timeout(opened: CancellationToken) {
    if tokio::time::timeout(HELLO_TIMEOUT, opened.cancelled())
        .await
        .is_ok()
    {
        std::future::pending::<()>().await;
    }
}

/// A session with an owner.
struct Session {
    node: Rc<Node>,
    outbox: Rc<Outbox<Response>>,
    /// Epoch of the owner.
    epoch: u64,
    /// Cancelled when another owner opens a session; `None` before this one is opened.
    end: Option<CancellationToken>,
    /// Cancelled when this session ends.
    ended: CancellationToken,
    /// Cancelled when the owner has opened the session.
    opened: CancellationToken,
    payloads: ReceivedPayloads,
    /// The calls in progress.
    calls: JoinSet<()>,
}

impl Session {
    /// Processes a frame. Returns false if the session ends.
    fn process(&mut self, frame: Frame<Request>) -> bool {
        self.outbox.acknowledge(frame.sent_ms);
        // The owner had received this time of the relay before it sent the frame.
        let age_ms = self.node.uptime_ms().saturating_sub(frame.received_ms);
        let is_late = u128::from(age_ms) > MAX_CALL_AGE.as_millis();
        while self.calls.try_join_next().is_some() {}
        for request in frame.messages {
            if !self.process_request(request, is_late) {
                return false;
            }
        }
        true
    }

    fn process_request(&mut self, request: Request, is_late: bool) -> bool {
        if let Request::Hello { epoch } = request {
            let known = self.node.highest_epoch.get();
            self.epoch = epoch;
            self.end = self.node.relay_session.begin(epoch, known);
            let Some(end) = self.end.clone() else {
                return false;
            };
            self.opened.cancel();
            let ended = self.ended.clone();
            self.calls.spawn_local(async move {
                end.cancelled().await;
                ended.cancel();
            });
            return true;
        }
        if self.end.is_none() || self.epoch < self.node.highest_epoch.get() {
            return false;
        }
        match request {
            Request::Hello { .. } => {}
            Request::Start {
                call,
                mut request,
                payload,
            } => {
                let Some(payload) = self.payloads.decode(payload) else {
                    return false;
                };
                request.payload = payload;
                if is_late {
                    self.answer(call, Answer::Start(not_sent()));
                } else {
                    let reply = (self.node.dependencies.executors.start)(request);
                    self.spawn(call, async { Answer::Start(reply.await) });
                }
            }
            Request::Stop { call, request } => {
                let reply = (self.node.dependencies.executors.stop)(request);
                self.spawn(call, async { Answer::Command(reply.await) });
            }
            Request::SetCpuShare { call, .. } if is_late => {
                self.answer(call, Answer::Command(not_sent()));
            }
            Request::SetCpuShare {
                call,
                request,
                cpu_percent,
            } => {
                let reply =
                    (self.node.dependencies.executors.set_cpu_share)((request, cpu_percent));
                self.spawn(call, async { Answer::Command(reply.await) });
            }
            Request::Poll { call, mut request } => {
                if is_late {
                    // The executor may have started anew, with other ends under the same numbers.
                    request.acknowledged = 0;
                }
                let report = (self.node.dependencies.executors.poll)(request);
                self.spawn(call, async { Answer::Poll(report.await) });
            }
        }
        true
    }

    fn answer(&self, call: CallId, answer: Answer) {
        self.outbox.push(Response { call, answer });
    }

    fn spawn(&mut self, call: CallId, answer: impl Future<Output = Answer> + 'static) {
        let outbox = self.outbox.clone();
        self.calls.spawn_local(async move {
            let answer = answer.await;
            outbox.push(Response { call, answer });
        });
    }
}

const fn not_sent<T>() -> CommandReply<T> {
    CommandReply {
        outcome: CommandOutcome::NotSent,
        clock_ms: None,
    }
}
