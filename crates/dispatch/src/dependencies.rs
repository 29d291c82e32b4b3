//! External services as structs of closures, so that the protocol of the platform is translated in
//! one place and tests can inject fakes.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use futures::future::LocalBoxFuture;
use job::advice::Grant;
use job::evacuation::EvacuationUpdate;
use job::fleet::Listing;
use job::id::JobId;
use job::id::TaskId;
use job::plan::Plan;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use job::task::RunNumber;
use link::client::TimeLimits;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use crate::peers::PeerRequest;
use crate::peers::PeerResponse;

/// The future that a call returns.
pub type CallFuture<T> = LocalBoxFuture<'static, T>;
/// An asynchronous call to an external service.
pub type Call<A, T> = Box<dyn Fn(A) -> CallFuture<T>>;

/// The largest value of a row that the store accepts unless the settings say otherwise, in bytes.
pub const DEFAULT_ROW_BYTES: usize = 65_536;
/// The part of a row that is kept free is its size divided by this number.
const ROW_MARGIN_DIVISOR: usize = 16;

/// All external services that a node uses.
pub struct Dependencies {
    /// The row store.
    pub store: Store,
    /// The source of the operators' document.
    pub document: DocumentSource,
    /// The evacuations of data centres, or `None` in a deployment without evacuations.
    pub evacuations: Option<EvacuationSource>,
    /// The list of executors.
    pub executor_list: ExecutorList,
    /// Calls to executors.
    pub executors: Executors,
    /// The service that decides which executors may run steps of certain queues.
    pub advisor: AdvisorClient,
    /// Calls to the other hosts.
    pub peers: PeerClient,
    /// Connections to the relays on the other hosts.
    pub relays: RelayConnector,
    /// Returns what this process has logged so far.
    pub logs: Box<dyn Fn() -> LogCounts>,
}

/// Counters of a process's log output since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Number of lines written.
    pub lines: u64,
    /// Number of bytes written.
    pub bytes: u64,
    /// Number of lines suppressed by the limit of lines per event and second.
    pub rate_limited: u64,
    /// Number of lines dropped because the writer's queue was full.
    pub dropped: u64,
}

/// A client of the advisor.
pub struct AdvisorClient {
    /// Returns the grants for a step.
    pub request: Call<GrantRequest, Result<Vec<Grant>, AdviceError>>,
}

/// A request for the executors that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence of a repeating job.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Names of the candidate executors.
    pub executors: Vec<Arc<str>>,
    /// Time limit for the response.
    pub timeout: Duration,
}

/// Why a request to the advisor returned no grants.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum AdviceError {
    /// The settings name no advisor.
    #[display("the settings name no advisor")]
    NotConfigured,
    /// Too many requests are queued at the advisor.
    #[display("too many questions wait")]
    Busy,
    /// There was no response, or none that can be read.
    #[display("no answer")]
    Unanswered,
}

/// A client for requests to other hosts.
pub struct PeerClient {
    /// Sends a request to a host; returns `None` if there is no answer in time.
    pub call: Call<PeerCall, Option<PeerResponse>>,
}

/// A request to another host, with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCall {
    /// Address at which the host listens for its peers.
    pub address: Arc<str>,
    /// The request.
    pub request: PeerRequest,
    /// Time limits of the call.
    pub limits: TimeLimits,
}

/// Opens connections to relays.
pub struct RelayConnector {
    /// Connects to the relay at an address.
    pub connect: Call<Arc<str>, std::io::Result<Box<dyn ByteStream>>>,
}

/// A connection that carries bytes both ways.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// The store of versioned rows that holds all durable state.
pub struct Store {
    /// Applies a transaction atomically; returns a version that is not lower than that of the rows
    /// written.
    pub commit: Call<Transaction, Result<u64, StoreError>>,
    /// Reads rows of one part of a table in key order.
    pub read: Call<Range, Result<Page, StoreError>>,
    /// Waits for rows of a table that changed after a version.
    pub follow: Call<FollowRequest, Result<Page, StoreError>>,
    /// The largest value of a row that the store accepts, in bytes.
    pub row_bytes: usize,
}

impl Store {
    /// Returns the largest value that this program writes, in bytes. The rest is a margin.
    #[must_use]
    pub const fn max_value_bytes(&self) -> usize {
        self.row_bytes - self.row_bytes / ROW_MARGIN_DIVISOR
    }
}

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowId {
    /// Name of the table.
    pub table: &'static str,
    /// Part (partition) of the table; all rows of a transaction belong to one part.
    pub part: &'static str,
    /// Key within the part.
    pub key: String,
}

/// Writes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Expected versions of rows, 0 for an absent row. If one does not match, nothing is written.
    pub expect: Vec<(RowId, u64)>,
    /// Rows to write, with their values.
    pub puts: Vec<(RowId, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<RowId>,
}

/// A range of keys in one part of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Name of the table.
    pub table: &'static str,
    /// Part of the table.
    pub part: &'static str,
    /// First key, inclusive.
    pub from: String,
    /// End of the range, exclusive; `None` reads to the end of the part.
    pub to: Option<String>,
}

/// A request to wait for changes of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowRequest {
    /// Name of the table.
    pub table: &'static str,
    /// Returns changes after this version.
    pub after: u64,
    /// How long the store may wait for a change.
    pub wait: Duration,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows; removed rows have no value.
    pub rows: Vec<Row>,
    /// Whether the range has more rows after these.
    pub has_more: bool,
    /// Newest version of the store at the time of the read.
    pub version: u64,
}

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within the part.
    pub key: String,
    /// Value, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last write.
    pub version: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// A row has another version than expected; nothing was written.
    #[display("a row has another version")]
    Conflict {
        /// Current state of the rows whose versions were expected.
        rows: Vec<Row>,
    },
    /// Nothing was done: the store was unreachable, busy or full.
    #[display("the store turned the call away")]
    Refused,
    /// No answer; a write may have been applied, or may still be applied later.
    #[display("the store did not answer")]
    Unanswered,
    /// The store no longer retains the requested changes.
    #[display("the store no longer keeps these changes")]
    HistoryGone,
    /// Nothing was done, and the same call would be rejected again: the store considers it malformed or
    /// too large, or does not allow it. Of a read: the answer cannot be read.
    #[display("the store and this host do not understand each other")]
    Protocol,
}

/// The operators' document, if there is a new valid one, and the version of the store from which to
/// continue.
pub type DocumentUpdate = (Option<Plan>, u64);

/// Access to the operators' document.
pub struct DocumentSource {
    /// Reads the document and the version of the store at which it was read.
    pub read: Call<(), Result<DocumentUpdate, StoreError>>,
    /// Waits until the document may have changed after a version of the store. Returns the document
    /// if it has changed, and the version from which to continue.
    pub follow: Call<(u64, Duration), Result<DocumentUpdate, StoreError>>,
}

/// The names of all evacuated data centres, and the version of the store at which they were read.
pub type EvacuationRead = (Vec<Arc<str>>, u64);

/// Changes of evacuations in the order in which the store made them, and the version of the store from
/// which to continue.
pub type EvacuationChanges = (Vec<EvacuationUpdate>, u64);

/// The evacuations of data centres that operators request.
pub struct EvacuationSource {
    /// No task may start in a data centre later than this after the store has acknowledged the request.
    pub deadline: Duration,
    /// Reads all evacuations.
    pub read: Call<(), Result<EvacuationRead, StoreError>>,
    /// Waits for changes after a version of the store.
    pub follow: Call<(u64, Duration), Result<EvacuationChanges, StoreError>>,
}

/// The list of executors.
pub struct ExecutorList {
    /// Reads the whole list.
    pub read: Call<(), Result<ExecutorRead, StoreError>>,
}

/// The list of executors as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExecutorRead {
    /// The executors, each with the reading of its clock.
    pub listings: Vec<(Listing, u64)>,
    /// The entries that name no executor which could be used.
    pub rejected: Vec<RejectedEntry>,
}

/// An entry in the list of executors that names none, because another program or a faulty executor
/// has written it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RejectedEntry {
    /// The key of the entry.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Calls to executors.
pub struct Executors {
    /// Starts a run.
    pub start: Call<StartRequest, CommandReply<StartAnswer>>,
    /// Stops a run.
    pub stop: Call<RunRequest, CommandReply<bool>>,
    /// Sets the share of its processor time that a run may use, in percent.
    pub set_cpu_share: Call<(RunRequest, u32), CommandReply<bool>>,
    /// Extends the leases of all runs and returns the running and the ended runs.
    pub poll: Call<PollRequest, Result<Report, PollError>>,
}

/// The executor that a call is addressed to, and the epoch that authorizes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Network address.
    pub address: Arc<str>,
    /// Name of the executor; an executor with another name rejects the call.
    pub id: Arc<str>,
    /// When the intended incarnation of the executor started, in milliseconds since 1970. A later one
    /// never receives the call. `None` if any may receive it.
    pub incarnation: Option<u64>,
    /// Epoch of the owner; an executor that has seen a higher one rejects the call.
    pub epoch: u64,
}

/// A command to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The executor to call, and the epoch of the owner.
    pub target: Target,
    /// Id of the task.
    pub task: TaskId,
    /// Number of the run; it increases with each start of the task.
    pub run: RunNumber,
    /// The caller's description of the work, passed on unchanged.
    pub payload: Arc<str>,
    /// End of the lease in milliseconds on the executor's clock.
    pub lease_deadline_ms: u64,
    /// Checkpoint from which to resume.
    pub checkpoint: Option<Arc<str>>,
    /// The advisor's ticket for this executor, if the queue has an advisor.
    pub ticket: Option<Arc<str>>,
    /// Time limit for the answer.
    pub timeout: Duration,
}

/// A call that refers to one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The executor to call, and the epoch of the owner.
    pub target: Target,
    /// Id of the task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Time limit for the answer.
    pub timeout: Duration,
}

/// A poll of all runs of an executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The executor to call, and the epoch of the owner.
    pub target: Target,
    /// New end of the leases in milliseconds on the executor's clock; `None` does not extend them.
    pub lease_deadline_ms: Option<u64>,
    /// Ended runs up to this sequence number are stored and the executor may forget them.
    pub acknowledged: u64,
    /// How long the executor may wait for a run to end before it answers.
    pub wait: Duration,
    /// Time limit for the answer.
    pub timeout: Duration,
}

/// The reply of an executor to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandReply<T> {
    /// The outcome of the command.
    pub outcome: CommandOutcome<T>,
    /// Reading of the executor's clock in milliseconds. If the command was meant for any incarnation, a
    /// clock that went backwards means a restart.
    pub clock_ms: Option<u64>,
}

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome<T> {
    /// The executor processed the command.
    Answered(T),
    /// The executor has seen a higher epoch; nothing was done.
    Fenced,
    /// Another executor answers at the address; nothing was done.
    WrongExecutor,
    /// Another incarnation of the executor answers than the intended one; the command was not sent.
    OtherIncarnation,
    /// The command was not sent.
    NotSent,
    /// No answer; the command may have been executed, or may still be executed later.
    Unanswered,
    /// The relay that carried the command was lost. The command may have been executed, and nothing is
    /// known about the executor.
    RelayFailed,
}

/// Why a poll returned no report.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollError {
    /// The executor has seen a higher epoch.
    #[display("the executor obeys a higher epoch")]
    Fenced,
    /// Another executor answers at the address.
    #[display("another executor answers there")]
    WrongExecutor,
    /// Another incarnation of the executor answers than the intended one; the poll was not sent.
    #[display("another incarnation of the executor answers")]
    OtherIncarnation,
    /// There was no usable answer.
    #[display("the executor did not answer")]
    Failed,
    /// The relay that carries the poll was lost or received it too late. Nothing is known about the
    /// executor.
    #[display("the relay failed")]
    RelayFailed,
}
