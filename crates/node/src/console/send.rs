//! Sends the draft on the way of the API and tells plainly what became of it.

use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::diff::Conflict;
use http::StatusCode;
use model::id::DaemonId;

use crate::console::Answer;
use crate::console::Answered;
use crate::console::Fault;
use crate::console::form::Form;
use crate::console::forms::draft_page;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::page::table;
use crate::console::session::Draft;
use crate::console::sheet;
use crate::console::sheet::Sheet;
use crate::console::visit::Visit;
use crate::document::propose;
use crate::document::propose::ProposeError;

/// Sends the draft under the id of its revision, so that sending it again asks what became of it.
pub(super) async fn send(visit: &mut Visit<'_>, form: &Form) -> Answered {
    let draft = visit.held()?;
    let without = form.get("without")?;
    let names = without.split_whitespace().map(DaemonId::from).collect();
    let req = ApplyRequest {
        op: visit.session.op(),
        text: draft.text.to_string(),
        by: visit.session.by.clone(),
        base: Some(draft.base),
        without: names,
        wait: true,
    };
    let cx = visit.cx.clone();
    // The change goes on to its end also when the browser is closed meanwhile.
    let sent = tokio::spawn(async move { propose::propose(&cx, req).await });
    let answer = sent.await.unwrap_or(Err(ProposeError::Unknown));
    let status = match &answer {
        Ok(ApplyReply::Accepted { .. }) => StatusCode::OK,
        Ok(ApplyReply::Invalid { .. }) => StatusCode::UNPROCESSABLE_ENTITY,
        Ok(ApplyReply::Overtaken { .. }) => StatusCode::CONFLICT,
        Ok(ApplyReply::Unreachable { .. }) | Err(ProposeError::NotRun(_)) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Err(ProposeError::Unknown) => StatusCode::BAD_GATEWAY,
    };
    let draft = after(visit, draft, &answer)?;
    let sheet = Sheet::new(visit.cx, draft);
    let outcome = el("section")
        .attr("class", "notice")
        .attr("role", "status")
        .attr("id", "outcome")
        .children(told(&answer));
    let page = draft_page(&visit.session, &sheet, Some(outcome));
    Ok(Answer::Page(status, page))
}

/// Drops a draft that was accepted, and marks one of which nobody knows whether it was.
fn after(
    visit: &mut Visit<'_>,
    draft: Draft,
    answer: &Result<ApplyReply, ProposeError>,
) -> Result<Draft, Fault> {
    if let Ok(ApplyReply::Accepted { .. }) = answer {
        visit.replace(None)?;
        return visit.draft();
    }
    let in_doubt = matches!(answer, Err(ProposeError::Unknown));
    let draft = Draft { in_doubt, ..draft };
    visit.mark(draft.clone());
    Ok(draft)
}

/// Tells what became of a change.
fn told(answer: &Result<ApplyReply, ProposeError>) -> Vec<Element> {
    let heading = |text: &str| el("h2").text(text);
    let line = |text: String| el("p").text(text);
    match answer {
        Ok(ApplyReply::Accepted {
            version,
            changes,
            in_force,
            pending,
            passed_over,
        }) => vec![
            heading(&format!("Accepted as version {version}")),
            line(format!("In force at: {}.", names(in_force))),
            line(format!("Not yet heard from: {}.", names(pending))),
            line(format!(
                "Passed over, because they cannot be serving: {}.",
                names(passed_over)
            )),
            sheet::changes(changes),
        ],
        Ok(ApplyReply::Invalid { .. }) => vec![
            heading("Refused: the draft has errors"),
            line("Nothing was changed; the findings are below.".into()),
        ],
        Ok(ApplyReply::Overtaken {
            version,
            by,
            theirs,
            conflicts,
        }) => vec![
            heading(&format!(
                "Overtaken: {by} came first with version {version}"
            )),
            line("Nothing of this draft was put into force.".into()),
            el("h3").text("What changed since this draft was started"),
            sheet::changes(theirs),
            el("h3").text("Places that both changed differently"),
            table(
                "Conflicts",
                &["Place", "This draft", "In force"],
                conflicts.iter().map(conflict).collect(),
            ),
        ],
        Ok(ApplyReply::Unreachable { daemons }) => {
            vec![
            heading("Not accepted: daemons that may be serving did not answer"),
            line(format!("Nothing was changed. Not reached: {}.", names(daemons))),
            line(
                "Send again once they answer or the host list has dropped them. Name those that \
                 are certainly dead in the form below."
                    .into(),
            ),
        ]
        }
        Err(ProposeError::NotRun(reason)) => vec![
            heading("Not accepted, nothing was changed"),
            line(format!("Reason: {reason}.")),
        ],
        Err(ProposeError::Unknown) => vec![
            heading("Outcome unknown"),
            line(
                "The change may be in force or not. Ask again below: it is put into force at most \
                 once."
                    .into(),
            ),
        ],
    }
}

fn conflict(conflict: &Conflict) -> Vec<String> {
    let pointer = conflict.pointer.clone();
    let (ours, theirs) = (&conflict.ours.summary, &conflict.theirs.summary);
    vec![pointer, ours.clone(), theirs.clone()]
}

fn names(daemons: &[DaemonId]) -> String {
    if daemons.is_empty() {
        return "none".into();
    }
    let names: Vec<&str> = daemons.iter().map(DaemonId::as_str).collect();
    names.join(", ")
}
