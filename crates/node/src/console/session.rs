//! The operators that are logged in, and the draft of each.
//!
//! Sessions are kept in memory only and are bounded in number, age and size: a daemon that starts
//! again asks its operators to log in again. Nothing here reads a clock or makes a random value.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::id::DocVersion;
use model::id::OpId;
use subtle::ConstantTimeEq;

/// The most sessions at a time; one more ends the session that was not used for longest.
pub const MAX_SESSIONS: usize = 16;
/// How long a session lives after its log-in.
pub const MAX_AGE: Duration = Duration::from_secs(8 * 60 * 60);
/// How long a session lives without a request.
pub const MAX_IDLE: Duration = Duration::from_secs(30 * 60);
/// The longest draft, in bytes.
pub const MAX_DRAFT_BYTES: usize = 256 << 10;

/// Random values that a session is made of, 256 bits each, in hexadecimal digits.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// What the cookie carries.
    pub id: String,
    /// What each form carries, so that no other site can send one.
    pub anti_forgery: String,
    /// What the ids of this session's changes start with; it is no secret.
    pub op_prefix: String,
}

/// A document being written.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The version that it was started from.
    pub base: DocVersion,
    /// The text of that version.
    pub base_text: Arc<str>,
    /// The text as it stands.
    pub text: Arc<str>,
    /// Whether it was sent and nobody knows whether it was accepted.
    pub in_doubt: bool,
}

/// One operator that is logged in.
#[derive(Clone, Debug)]
pub struct Session {
    /// The name that the operator gave, told to others with each change.
    pub operator: String,
    /// What each form carries.
    pub anti_forgery: String,
    /// The draft, once there is one.
    pub draft: Option<Draft>,
    /// Counts the changes of the draft, so that a form of an older one is not applied to a newer.
    pub revision: u64,
    op_prefix: String,
    opened_at: Mono,
    used_at: Mono,
}

/// The sessions of one daemon.
#[derive(Debug, Default)]
pub struct Sessions {
    by_id: Map<String, Session>,
}

impl Draft {
    /// Returns whether the operator has changed anything.
    #[must_use]
    pub fn is_changed(&self) -> bool {
        self.text != self.base_text
    }
}

impl Session {
    /// Returns the id under which the draft is sent; it stays the same until the draft changes.
    #[must_use]
    pub fn op_id(&self) -> OpId {
        OpId::new(format!("console/{}/{}", self.op_prefix, self.revision))
    }

    /// Returns whether a form carries this session's value.
    #[must_use]
    pub fn has_anti_forgery_token(&self, anti_forgery: &str) -> bool {
        bool::from(self.anti_forgery.as_bytes().ct_eq(anti_forgery.as_bytes()))
    }

    /// Replaces the draft or drops it; forms of the earlier one no longer apply.
    pub fn set_draft(&mut self, draft: Option<Draft>) {
        self.draft = draft;
        self.revision += 1;
    }

    fn is_expired(&self, now: Mono) -> bool {
        now.since(self.opened_at) >= MAX_AGE || now.since(self.used_at) >= MAX_IDLE
    }
}

impl Sessions {
    /// Opens a session, at the cost of the least recently used one if there are too many.
    pub fn open(&mut self, secrets: Secrets, operator: String, now: Mono) {
        self.by_id.retain(|_, session| !session.is_expired(now));
        while self.by_id.len() >= MAX_SESSIONS {
            let oldest = self.by_id.iter().min_by_key(|(_, one)| one.used_at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.by_id.remove(&id);
        }
        let session = Session {
            operator,
            anti_forgery: secrets.anti_forgery,
            draft: None,
            revision: 0,
            op_prefix: secrets.op_prefix,
            opened_at: now,
            used_at: now,
        };
        self.by_id.insert(secrets.id, session);
    }

    /// Returns a session that has not ended, and notes that it was used.
    pub fn get(&mut self, id: &str, now: Mono) -> Option<&mut Session> {
        if self.by_id.get(id)?.is_expired(now) {
            self.by_id.remove(id);
            return None;
        }
        let session = self.by_id.get_mut(id)?;
        session.used_at = now;
        Some(session)
    }

    /// Ends a session.
    pub fn close(&mut self, id: &str) {
        self.by_id.remove(id);
    }
}
