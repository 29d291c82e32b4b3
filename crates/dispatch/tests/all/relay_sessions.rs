//! A relay and what it receives from owners: the age of calls, the epochs of owners, and payloads.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::dependencies::CommandOutcome;
use dispatch::dependencies::PollRequest;
use dispatch::dependencies::RunRequest;
use dispatch::dependencies::StartRequest;
use dispatch::dependencies::Target;
use dispatch::relay::MAX_CALL_AGE;
use dispatch::relay::link::RelayLink;
use dispatch::relay::message::Answer;
use dispatch::relay::message::CallId;
use dispatch::relay::message::Frame;
use dispatch::relay::message::Payload;
use dispatch::relay::message::Request;
use dispatch::relay::message::Response;
use futures::FutureExt;
use futures::SinkExt;
use futures::StreamExt;
use futures::future::join_all;
use job::id::TaskId;
use job::scheduler::StartAnswer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::DuplexStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::store::StoreFault;
use crate::world::World;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);
/// Name of the host that relays.
const RELAY: &str = "r";
/// Epoch of the owner that connects first.
const EPOCH: u64 = 5;

/// Returns a world with an executor and a host that cannot own it, and has run for some seconds.
async fn started() -> World {
    let world = World::new(1);
    world.start(RELAY);
    let relay = world.host(RELAY);
    relay.store_fault.set(StoreFault::Refuses);
    world.advance(3 * SECOND).await;
    world.fleet.callers.recorded.set(true);
    world
}

fn target(epoch: u64) -> Target {
    Target {
        address: "e1".into(),
        id: "e1".into(),
        incarnation: None,
        epoch,
    }
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: job_id(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn start_request(epoch: u64, task: TaskId, payload: Arc<str>) -> StartRequest {
    StartRequest {
        target: target(epoch),
        task,
        run: 1,
        payload,
        lease_deadline_ms: 1_000_000,
        checkpoint: None,
        ticket: None,
        timeout: Duration::from_millis(700),
    }
}

/// The owner's end of a connection.
struct Owner {
    frames: Framed<DuplexStream, LengthDelimitedCodec>,
    epoch: u64,
    /// The time of the relay that came last.
    relay_ms: u64,
    answers: BTreeMap<u32, Answer>,
    is_closed: bool,
}

impl Owner {
    /// Connects to the relay and opens a session.
    async fn connect(world: &World, epoch: u64) -> Self {
        let stream = world.host(RELAY).accept_relay();
        let mut owner = Self {
            frames: Framed::new(stream, LengthDelimitedCodec::new()),
            epoch,
            relay_ms: 0,
            answers: BTreeMap::new(),
            is_closed: false,
        };
        owner.send(0, vec![Request::Hello { epoch }]).await;
        owner.receive(world, SECOND / 5).await;
        owner
    }

    /// Sends a frame that claims to know of the relay what it sent at `relay_ms`. The relay may have closed
    /// the connection.
    async fn send(&mut self, relay_ms: u64, messages: Vec<Request>) {
        let frame = Frame {
            sent_ms: 1,
            received_ms: relay_ms,
            messages,
        };
        let bytes = postcard::to_stdvec(&frame).expect("a frame");
        if self.frames.send(Bytes::from(bytes)).await.is_err() {
            self.is_closed = true;
        }
    }

    /// Receives what the relay sends within this time.
    async fn receive(&mut self, world: &World, time: Duration) {
        world.advance(time).await;
        while let Some(next) = self.frames.next().now_or_never() {
            let Some(Ok(bytes)) = next else {
                self.is_closed = true;
                return;
            };
            let frame: Frame<Response> = postcard::from_bytes(&bytes).expect("a frame");
            self.relay_ms = frame.sent_ms;
            for Response { call, answer } in frame.messages {
                assert!(self.answers.insert(call.0, answer).is_none(), "{call}");
            }
        }
    }

    fn start(&self, call: u32, index: u32) -> Request {
        Request::Start {
            call: CallId(call),
            request: start_request(self.epoch, task(1, index), Arc::default()),
            payload: Payload::New("payload".into()),
        }
    }

    fn stop(&self, call: u32, index: u32) -> Request {
        Request::Stop {
            call: CallId(call),
            request: RunRequest {
                target: target(self.epoch),
                task: task(1, index),
                run: 1,
                timeout: SECOND,
            },
        }
    }

    fn poll(&self, call: u32, acknowledged: u64) -> Request {
        Request::Poll {
            call: CallId(call),
            request: PollRequest {
                target: target(self.epoch),
                lease_deadline_ms: Some(1_000_000),
                acknowledged,
                wait: Duration::ZERO,
                timeout: SECOND,
            },
        }
    }

    fn start_outcome(&self, call: u32) -> Option<CommandOutcome<StartAnswer>> {
        match self.answers.get(&call)? {
            Answer::Start(reply) => Some(reply.outcome),
            other => panic!("{other:?} to a start"),
        }
    }
}

const STARTED: Option<CommandOutcome<StartAnswer>> =
    Some(CommandOutcome::Answered(StartAnswer::Started));

#[tokio::test(start_paused = true)]
async fn a_call_that_may_be_too_old_starts_nothing_and_acknowledges_nothing() {
    let age_ms = u64::try_from(MAX_CALL_AGE.as_millis()).expect("a short time");
    for (older_ms, is_late) in [(0, false), (age_ms - 20, false), (age_ms + 20, true)] {
        let world = started().await;
        let mut owner = Owner::connect(&world, EPOCH).await;
        let start = owner.start(1, 1);
        owner.send(owner.relay_ms, vec![start]).await;
        owner.receive(&world, SECOND / 10).await;
        assert_eq!(owner.start_outcome(1), STARTED);
        let now_ms = world.host(RELAY).node.uptime_ms();
        let calls = vec![owner.start(2, 2), owner.stop(3, 1), owner.poll(4, 7)];
        owner.send(now_ms - older_ms, calls).await;
        owner.receive(&world, SECOND / 10).await;
        let expected = if is_late {
            Some(CommandOutcome::NotSent)
        } else {
            STARTED
        };
        assert_eq!(owner.start_outcome(2), expected, "{older_ms} ms");
        let executor = world.fleet.executor(1);
        assert_eq!(executor.runs(task(1, 2)), !is_late);
        assert!(!executor.runs(task(1, 1)), "the stop is carried out");
        let Some(Answer::Command(reply)) = owner.answers.get(&3) else {
            panic!("no answer to the stop");
        };
        assert_eq!(reply.outcome, CommandOutcome::Answered(true));
        assert!(matches!(owner.answers.get(&4), Some(Answer::Poll(Ok(_)))));
        let polls = world.fleet.callers.polls.borrow();
        assert_eq!(polls.len(), 1);
        assert_eq!(polls[0].acknowledged, if is_late { 0 } else { 7 });
        assert_eq!(polls[0].lease_deadline_ms, Some(1_000_000));
    }
}

#[tokio::test(start_paused = true)]
async fn a_start_that_lay_before_a_frozen_relay_is_not_carried_out() {
    for (frozen_ms, is_late) in [(300, false), (1_000, true), (3_000, true)] {
        let world = started().await;
        let mut owner = Owner::connect(&world, EPOCH).await;
        world.host(RELAY).frozen.set(true);
        let start = owner.start(1, 1);
        owner.send(owner.relay_ms, vec![start]).await;
        world.advance(Duration::from_millis(frozen_ms)).await;
        world.host(RELAY).frozen.set(false);
        owner.receive(&world, SECOND / 10).await;
        assert_eq!(world.fleet.starts.get(), u64::from(!is_late), "{frozen_ms}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_later_of_two_connections_of_an_owner_ends_the_earlier() {
    for later_epoch in [EPOCH, EPOCH + 1] {
        let world = started().await;
        let mut earlier = Owner::connect(&world, EPOCH).await;
        let mut later = Owner::connect(&world, later_epoch).await;
        let (first, second) = (earlier.start(1, 1), later.start(1, 2));
        earlier.send(later.relay_ms, vec![first]).await;
        later.send(later.relay_ms, vec![second]).await;
        earlier.receive(&world, SECOND / 10).await;
        later.receive(&world, Duration::from_millis(1)).await;
        assert!(earlier.is_closed);
        assert!(!later.is_closed);
        assert_eq!(later.start_outcome(1), STARTED);
        assert_eq!(world.fleet.starts.get(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_of_a_lower_epoch_gets_no_session_and_ends_none() {
    let world = started().await;
    let mut owner = Owner::connect(&world, EPOCH).await;
    let mut superseded = Owner::connect(&world, EPOCH - 1).await;
    let (own, lower) = (owner.start(1, 1), superseded.start(1, 2));
    superseded.send(owner.relay_ms, vec![lower]).await;
    owner.send(owner.relay_ms, vec![own]).await;
    superseded.receive(&world, SECOND / 10).await;
    owner.receive(&world, Duration::from_millis(1)).await;
    assert!(superseded.is_closed);
    assert_eq!(owner.start_outcome(1), STARTED);
    assert_eq!(world.fleet.starts.get(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_relay_that_has_read_a_higher_epoch_carries_out_nothing_for_a_lower() {
    let world = started().await;
    world.host(RELAY).node.highest_epoch.set(EPOCH + 1);
    let mut owner = Owner::connect(&world, EPOCH).await;
    let start = owner.start(1, 1);
    let now_ms = world.host(RELAY).node.uptime_ms();
    owner.send(now_ms, vec![start]).await;
    owner.receive(&world, SECOND / 10).await;
    assert!(owner.is_closed);
    assert_eq!(world.fleet.starts.get(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_session_ends_when_the_relay_reads_a_higher_epoch() {
    let world = started().await;
    let mut owner = Owner::connect(&world, EPOCH).await;
    world.host(RELAY).node.highest_epoch.set(EPOCH + 1);
    let start = owner.start(1, 1);
    owner.send(owner.relay_ms, vec![start]).await;
    owner.receive(&world, SECOND / 10).await;
    assert_eq!(world.fleet.starts.get(), 0);
    assert!(owner.is_closed);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_carried_out_before_a_session_is_open() {
    let world = started().await;
    let mut owner = Owner::connect(&world, EPOCH).await;
    let stream = world.host(RELAY).accept_relay();
    let mut silent = Owner {
        frames: Framed::new(stream, LengthDelimitedCodec::new()),
        epoch: EPOCH,
        relay_ms: 0,
        answers: BTreeMap::new(),
        is_closed: false,
    };
    let start = silent.start(1, 1);
    silent.send(owner.relay_ms, vec![start]).await;
    silent.receive(&world, SECOND / 10).await;
    assert!(silent.is_closed);
    assert_eq!(world.fleet.starts.get(), 0);
    owner.receive(&world, Duration::from_millis(1)).await;
    assert!(!owner.is_closed);
}

/// Jobs come in random order, more of them than the connection remembers, and some under a used name
/// with another payload.
#[tokio::test(start_paused = true)]
async fn each_start_by_way_of_a_relay_has_the_payload_of_its_job() {
    const JOBS: u64 = 1_500;
    const STARTS: u32 = 6_000;
    let world = started().await;
    let link = Rc::new(RelayLink::default());
    let mut random = SmallRng::seed_from_u64(20_261_204);
    let mut expected: BTreeMap<TaskId, Arc<str>> = BTreeMap::new();
    let mut versions: BTreeMap<u64, u32> = BTreeMap::new();
    let calls: Vec<StartRequest> = (0..STARTS)
        .map(|index| {
            let number = if random.random_bool(0.3) {
                random.random_range(0..20)
            } else {
                random.random_range(0..JOBS)
            };
            let version = versions.entry(number).or_default();
            if random.random_bool(0.1) {
                *version += 1;
            }
            let payload: Arc<str> = format!("payload {version} of {number}").into();
            let task = task(number, index);
            expected.insert(task, payload.clone());
            start_request(EPOCH, task, payload)
        })
        .collect();
    assert!(versions.len() > 1_024, "more payloads than are kept");
    start_all(&world, &link, calls).await;
    let starts = world.fleet.callers.starts.borrow();
    assert_eq!(starts.len(), expected.len());
    for start in starts.iter() {
        assert_eq!(start.payload, expected[&start.task], "{:?}", start.task);
    }
}

/// Sends start commands over a link at once, and checks that all runs have started.
async fn start_all(world: &World, link: &Rc<RelayLink>, calls: Vec<StartRequest>) {
    let node = world.host(RELAY).node.clone();
    let all = async {
        // The first answer shows that the connection is open.
        tokio::time::sleep(SECOND).await;
        join_all(calls.into_iter().map(|call| link.start(call))).await
    };
    let replies = world
        .run_on(RELAY, async {
            tokio::select! {
                result = link.run(&node, RELAY.into(), EPOCH) => panic!("{result:?}"),
                replies = all => replies,
            }
        })
        .await;
    for reply in replies {
        assert_eq!(Some(reply.outcome), STARTED);
    }
}

/// Guards against a burst of starts with long payloads that exceeds the largest frame which a small host
/// reads: the session would end, and the repeated starts would end the next one.
#[tokio::test(start_paused = true)]
async fn a_burst_of_starts_is_sent_in_frames_that_a_small_host_reads() {
    const STARTS: u32 = 900;
    let world = started().await;
    let node = world.host(RELAY).node.clone();
    node.max_relay_frame_bytes.set(1 << 20);
    let link = Rc::new(RelayLink::default());
    let starts = (0..STARTS).map(|index| {
        let payload: Arc<str> = format!("{index}{}", "x".repeat(4_000)).into();
        start_request(EPOCH, task(u64::from(index), 0), payload)
    });
    start_all(&world, &link, starts.collect()).await;
}

/// Guards against frames that take far more memory than their bytes: 16 MB of messages of two bytes each
/// would be built into more than a gigabyte.
#[tokio::test(start_paused = true)]
async fn a_frame_of_too_many_messages_or_bytes_ends_the_session() {
    let world = started().await;
    let mut owner = Owner::connect(&world, EPOCH).await;
    let stops = |owner: &Owner, calls: std::ops::Range<u32>| -> Vec<Request> {
        calls.map(|call| owner.stop(call, call)).collect()
    };
    owner.send(owner.relay_ms, stops(&owner, 0..1_000)).await;
    owner.receive(&world, SECOND / 5).await;
    assert!(!owner.is_closed, "as many as an owner sends");
    owner
        .send(owner.relay_ms, stops(&owner, 1_000..2_001))
        .await;
    owner.receive(&world, SECOND / 5).await;
    assert!(owner.is_closed);
    world.host(RELAY).node.max_relay_frame_bytes.set(1_000);
    let mut owner = Owner::connect(&world, EPOCH).await;
    assert!(!owner.is_closed);
    owner.send(owner.relay_ms, stops(&owner, 0..900)).await;
    owner.receive(&world, SECOND / 5).await;
    assert!(owner.is_closed);
}

/// Guards against connections that keep the few places for owners with empty frames.
#[tokio::test(start_paused = true)]
async fn a_connection_that_opens_no_session_within_a_second_ends() {
    let world = started().await;
    let mut idle = Owner {
        frames: Framed::new(
            world.host(RELAY).accept_relay(),
            LengthDelimitedCodec::new(),
        ),
        epoch: EPOCH,
        relay_ms: 0,
        answers: BTreeMap::new(),
        is_closed: false,
    };
    let mut owner = Owner::connect(&world, EPOCH).await;
    for _ in 0..20 {
        idle.send(0, Vec::new()).await;
        owner.send(owner.relay_ms, Vec::new()).await;
        idle.receive(&world, SECOND / 10).await;
        owner.receive(&world, Duration::from_millis(1)).await;
    }
    assert!(idle.is_closed);
    assert!(!owner.is_closed);
}
