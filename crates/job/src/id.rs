//! Identifiers of jobs and their tasks.

use std::fmt::Formatter;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use serde::de::Visitor;

/// The identifier of a job: 16 hexadecimal digits chosen by the caller.
#[derive(Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.as_str())]
pub struct JobId([u8; 16]);

/// The error for a text that is not a job identifier.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a job's name is 16 hexadecimal digits")]
pub struct InvalidJobId;

impl JobId {
    /// Parses a job identifier.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidJobId`] when `text` is not 16 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, InvalidJobId> {
        let digits: [u8; 16] = text.as_bytes().try_into().map_err(|_| InvalidJobId)?;
        if digits.iter().all(u8::is_ascii_hexdigit) {
            Ok(Self(digits))
        } else {
            Err(InvalidJobId)
        }
    }

    /// Returns the digits as the caller wrote them.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl std::fmt::Debug for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl TryFrom<String> for JobId {
    type Error = InvalidJobId;

    fn try_from(text: String) -> Result<Self, InvalidJobId> {
        Self::parse(&text)
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.as_str().to_owned()
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(JobIdVisitor)
    }
}

/// Parses a text without a copy of it, because a report of an executor names hundreds of jobs.
struct JobIdVisitor;

impl Visitor<'_> for JobIdVisitor {
    type Value = JobId;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("16 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<JobId, E> {
        JobId::parse(text).map_err(E::custom)
    }
}

/// Identifies a task by its job, occurrence, step and index within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The occurrence of a repeated job; 0 for a job that runs once.
    pub occurrence: u32,
    /// The index of the step within the job.
    pub step: u32,
    /// The index of the task within the step.
    pub index: u32,
}
