//! What lies outside, as structs of closures, so that whatever the platform speaks is translated in
//! one place and tests put fakes here.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use futures::future::LocalBoxFuture;
use job::advice::Grant;
use job::book::Report;
use job::book::StartAnswer;
use job::fleet::Listing;
use job::id::JobId;
use job::id::TaskId;
use job::plan::Plan;
use job::task::Run;

use crate::peers::PeerRequest;
use crate::peers::PeerResponse;

/// What a call returns.
pub type CallFuture<T> = LocalBoxFuture<'static, T>;
/// A call.
pub type Call<A, T> = Box<dyn Fn(A) -> CallFuture<T>>;

/// Everything that lies outside.
pub struct Dependencies {
    /// The store.
    pub store: Store,
    /// The operators' document.
    pub document: DocumentSource,
    /// The list of executors.
    pub executor_list: ExecutorList,
    /// The executors.
    pub executors: Executors,
    /// Who knows which executors may run steps of some queues.
    pub advisor: AdvisorClient,
    /// The other hosts.
    pub peers: PeerClient,
    /// What this process has logged so far.
    pub logs: Box<dyn Fn() -> LogCounts>,
}

/// What a process has logged since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Lines written.
    pub lines: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Lines left out because too many of their event came in one second.
    pub rate_limited: u64,
    /// Lines dropped because the queue of the writer was full.
    pub dropped: u64,
}

/// Asks the advisor.
pub struct AdvisorClient {
    /// Returns what it grants.
    pub request: Call<AdviceRequest, Result<Vec<Grant>, AdviceError>>,
}

/// A question to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The executors, by name.
    pub executors: Vec<Arc<str>>,
    /// How long it may take.
    pub timeout: Duration,
}

/// Why there is no advice.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum AdviceError {
    /// The settings name no advisor.
    #[display("the settings name no advisor")]
    NotConfigured,
    /// Too many questions wait.
    #[display("too many questions wait")]
    Busy,
    /// No answer, or none that can be read.
    #[display("no answer")]
    Unanswered,
}

/// The other hosts.
pub struct PeerClient {
    /// Asks one of them; no answer in time is none.
    pub call: Call<PeerCall, Option<PeerResponse>>,
}

/// A question to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCall {
    /// Where it listens for other hosts.
    pub address: Arc<str>,
    /// The question.
    pub request: PeerRequest,
    /// How long it may take to answer.
    pub timeout: Duration,
}

/// The store of rows, in which all that has to last is kept.
pub struct Store {
    /// Carries out a transaction whole or not at all; returns a version that is at least that of
    /// the rows written.
    pub commit: Call<Transaction, Result<u64, StoreError>>,
    /// Reads rows of one part of a table in the order of their keys.
    pub read: Call<Range, Result<Page, StoreError>>,
    /// Waits for rows of a table that changed after a version.
    pub follow: Call<FollowRequest, Result<Page, StoreError>>,
}

/// Where a row lies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowId {
    /// The table.
    pub table: &'static str,
    /// The part of the table; a transaction keeps to one part.
    pub part: &'static str,
    /// The key.
    pub key: String,
}

/// Several writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Rows that must have these versions, 0 for an absent row.
    pub expect: Vec<(RowId, u64)>,
    /// Rows that are written.
    pub puts: Vec<(RowId, Vec<u8>)>,
    /// Rows that are removed.
    pub removes: Vec<RowId>,
}

/// A range of keys in one part of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The table.
    pub table: &'static str,
    /// The part.
    pub part: &'static str,
    /// The first key.
    pub from: String,
    /// The key before which the range ends, to the end of the part without one.
    pub to: Option<String>,
}

/// A wait for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowRequest {
    /// The table.
    pub table: &'static str,
    /// Changes after this version.
    pub after: u64,
    /// How long the store may wait for one.
    pub wait: Duration,
}

/// Rows that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows; those that were removed have no value.
    pub rows: Vec<Row>,
    /// Whether the range has more rows after these.
    pub has_more: bool,
    /// The newest version when they were read.
    pub version: u64,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, unless the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version.
    pub version: u64,
}

/// Why the store did not do what it was asked.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// A row has another version than expected; nothing was written.
    #[display("a row has another version")]
    Conflict {
        /// The expected rows as they are.
        rows: Vec<Row>,
    },
    /// Nothing was done: the store could not be reached or turned the call away.
    #[display("the store turned the call away")]
    Refused,
    /// No answer; a write may have been carried out, or may be later.
    #[display("the store did not answer")]
    Unanswered,
    /// The changes asked for are no longer kept.
    #[display("the store no longer keeps these changes")]
    HistoryGone,
    /// The answer cannot be read, or the store takes the call for wrong.
    #[display("the store and this host do not understand each other")]
    Protocol,
}

/// The operators' document, if there is one to be taken, and the version of the store to go on from.
pub type DocumentUpdate = (Option<Plan>, u64);

/// The operators' document.
pub struct DocumentSource {
    /// Reads the document and the version of the store that it was read at.
    pub read: Call<(), Result<DocumentUpdate, StoreError>>,
    /// Waits until the document may have changed after a version of the store; returns the document
    /// if it has, and the version to go on from.
    pub follow: Call<(u64, Duration), Result<DocumentUpdate, StoreError>>,
}

/// The list of executors, each with what its clock showed.
pub struct ExecutorList {
    /// Reads the whole list.
    pub read: Call<(), Result<Vec<(Listing, u64)>, StoreError>>,
}

/// The executors.
pub struct Executors {
    /// Starts a run.
    pub start: Call<StartRequest, CommandReply<StartAnswer>>,
    /// Stops a run.
    pub stop: Call<RunRequest, CommandReply<bool>>,
    /// Sets the share of its processor time that a run may use, in percent.
    pub set_cpu_share: Call<(RunRequest, u32), CommandReply<bool>>,
    /// Extends the leases of all runs and asks what runs and what has ended.
    pub poll: Call<PollRequest, Result<Report, PollError>>,
}

/// Which executor a call is for, and by whose right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Where it answers.
    pub address: Arc<str>,
    /// Its name; an executor of another name refuses the call.
    pub id: Arc<str>,
    /// The epoch of the owner; an executor that has seen a higher one does nothing.
    pub epoch: u64,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The executor.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: Run,
    /// What is run.
    pub payload: Arc<str>,
    /// When the lease ends, on the executor's clock.
    pub lease_deadline_ms: u64,
    /// From which checkpoint it goes on.
    pub checkpoint: Option<Arc<str>>,
    /// What the advisor gave for it, where the queue has one.
    pub ticket: Option<Arc<str>>,
}

/// A call about one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRequest {
    /// The executor.
    pub target: Target,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: Run,
}

/// A look at all runs of an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The executor.
    pub target: Target,
    /// When the leases end, on the executor's clock; without it they are left as they are.
    pub lease_deadline_ms: Option<u64>,
    /// Ends up to this number are stored and may be forgotten.
    pub acknowledged: u64,
    /// How long the executor may wait for an end.
    pub wait: Duration,
}

/// What an executor answered to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandReply<T> {
    /// The outcome.
    pub outcome: CommandOutcome<T>,
    /// What its clock showed. Which life answered is not said; a clock that fell behind is another's.
    pub clock_ms: Option<u64>,
}

/// How an order went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome<T> {
    /// The executor decided.
    Answered(T),
    /// The executor has seen a higher epoch; nothing was done.
    Fenced,
    /// Another executor answers at the address; nothing was done.
    WrongExecutor,
    /// Nothing was sent.
    NotSent,
    /// No answer; the order may have been carried out, or may be later.
    Unanswered,
}

/// Why a look has no report.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum PollError {
    /// The executor has seen a higher epoch.
    #[display("the executor obeys a higher epoch")]
    Fenced,
    /// Another executor answers at the address.
    #[display("another executor answers there")]
    WrongExecutor,
    /// No answer that can be used.
    #[display("the executor did not answer")]
    Failed,
}
