//! One request of an operator that is logged in, and the operator's draft.

use std::sync::Arc;
use std::sync::Mutex;

use http::StatusCode;

use crate::console::ConsoleError;
use crate::console::draft_edits;
use crate::console::form::Form;
use crate::console::session::Draft;
use crate::console::session::MAX_DRAFT_BYTES;
use crate::console::session::Session;
use crate::console::session::Sessions;
use crate::cx::Cx;
use crate::cx::lock;

/// One request of an operator that is logged in.
pub struct SessionContext<'a> {
    /// What the parts share.
    pub cx: &'a Arc<Cx>,
    /// The session as it was when the request arrived.
    pub session: Session,
    pub(super) id: &'a str,
    pub(super) sessions: &'a Mutex<Sessions>,
}

impl SessionContext<'_> {
    /// Returns the draft that a form was made for. It is not renewed here: what was entered belongs
    /// to the text that the operator saw.
    ///
    /// # Errors
    ///
    /// Returns a fault if there is none.
    pub fn existing_draft(&self) -> Result<Draft, ConsoleError> {
        self.session.draft.clone().ok_or_else(stale_form)
    }

    /// Returns the draft for a page; one without changes follows the document in force.
    ///
    /// # Errors
    ///
    /// Returns a fault if the session has ended meanwhile.
    pub fn current_draft(&mut self) -> Result<Draft, ConsoleError> {
        let in_force = draft_edits::in_force(self.cx);
        let stale = |draft: &Draft| !draft.is_changed() && draft.base != in_force.base;
        match &self.session.draft {
            Some(draft) if !stale(draft) => Ok(draft.clone()),
            _ => {
                self.replace_draft(Some(in_force.clone()))?;
                Ok(in_force)
            }
        }
    }

    /// Replaces or drops the draft.
    ///
    /// # Errors
    ///
    /// Returns a fault if the draft is too long, or another window has changed it meanwhile.
    pub fn replace_draft(&mut self, draft: Option<Draft>) -> Result<(), ConsoleError> {
        if let Some(draft) = &draft
            && draft.text.len() > MAX_DRAFT_BYTES
        {
            let reason = format!("the draft would be longer than {MAX_DRAFT_BYTES} bytes");
            return Err(ConsoleError::bad_request(reason));
        }
        let now = self.cx.clock.now();
        let mut sessions = lock(self.sessions);
        let session = sessions.get(self.id, now).ok_or_else(not_logged_in)?;
        if session.revision != self.session.revision {
            return Err(stale_form());
        }
        session.set_draft(draft);
        self.session = session.clone();
        Ok(())
    }

    /// Notes what became of sending the draft; its forms and the id of the change stay the same.
    pub(super) fn record_send_status(&mut self, draft: Draft) {
        let now = self.cx.clock.now();
        let mut sessions = lock(self.sessions);
        let session = sessions.get(self.id, now);
        if let Some(session) = session.filter(|one| one.revision == self.session.revision) {
            session.draft = Some(draft);
        }
    }

    /// Refuses a form that another site made, or that was made for an earlier draft.
    pub(super) fn verify_form(&self, form: &Form) -> Result<(), ConsoleError> {
        if !self
            .session
            .has_anti_forgery_token(form.get("anti_forgery")?)
        {
            return Err(ConsoleError {
                status: StatusCode::FORBIDDEN,
                reason: "the form does not belong to this session; open it again".into(),
            });
        }
        if form.get("revision")? != self.session.revision.to_string() {
            return Err(stale_form());
        }
        Ok(())
    }
}

fn stale_form() -> ConsoleError {
    ConsoleError {
        status: StatusCode::CONFLICT,
        reason: "the draft has changed since this form was opened, perhaps in another window; \
                 open the form again"
            .into(),
    }
}

/// What somebody is told who is not logged in.
#[must_use]
pub fn not_logged_in() -> ConsoleError {
    ConsoleError {
        status: StatusCode::FORBIDDEN,
        reason: "nobody is logged in here, or the session has ended; log in again".into(),
    }
}
