//! Submits the draft through the same code as the API and renders the outcome.

use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::diff::Conflict;
use http::StatusCode;
use model::id::DaemonId;

use crate::console::ConsoleError;
use crate::console::ConsoleResponse;
use crate::console::ConsoleResult;
use crate::console::checked_draft;
use crate::console::checked_draft::CheckedDraft;
use crate::console::form::Form;
use crate::console::forms::draft_page;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::page::table;
use crate::console::session::Draft;
use crate::console::session_context::SessionContext;
use crate::document::propose;
use crate::document::propose::ProposeError;

/// Submits the draft under the operation id of its revision, so that submitting it again returns
/// the outcome instead of applying the change twice.
pub(super) async fn send(ctx: &mut SessionContext<'_>, form: &Form) -> ConsoleResult {
    let draft = ctx.existing_draft()?;
    let without = form.get("without")?;
    let names = without.split_whitespace().map(DaemonId::from).collect();
    let req = ApplyRequest {
        op: ctx.session.op_id(),
        text: draft.text.to_string(),
        by: ctx.session.operator.clone(),
        base: Some(draft.base),
        without: names,
        wait: true,
    };
    let cx = ctx.cx.clone();
    // A separate task completes the change even if the browser disconnects.
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
    let draft = update_draft(ctx, draft, &answer)?;
    let checked = CheckedDraft::new(ctx.cx, draft);
    let outcome = el("section")
        .attr("class", "notice")
        .attr("role", "status")
        .attr("id", "outcome")
        .children(outcome_elements(&answer));
    let page = draft_page(&ctx.session, &checked, Some(outcome));
    Ok(ConsoleResponse::Page(status, page))
}

/// Replaces an accepted draft by the document in force, and marks a draft whose outcome is unknown
/// as in doubt.
fn update_draft(
    ctx: &mut SessionContext<'_>,
    draft: Draft,
    answer: &Result<ApplyReply, ProposeError>,
) -> Result<Draft, ConsoleError> {
    if let Ok(ApplyReply::Accepted { .. }) = answer {
        ctx.replace_draft(None)?;
        return ctx.current_draft();
    }
    let in_doubt = matches!(answer, Err(ProposeError::Unknown));
    let draft = Draft { in_doubt, ..draft };
    ctx.record_send_status(draft.clone());
    Ok(draft)
}

/// Renders the outcome of submitting a draft.
fn outcome_elements(answer: &Result<ApplyReply, ProposeError>) -> Vec<Element> {
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
            line(format!("In force at: {}.", join_names(in_force))),
            line(format!("Not yet heard from: {}.", join_names(pending))),
            line(format!(
                "Passed over, because they cannot be serving: {}.",
                join_names(passed_over)
            )),
            checked_draft::change_list(changes),
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
            checked_draft::change_list(theirs),
            el("h3").text("Places that both changed differently"),
            table(
                "Conflicts",
                &["Place", "This draft", "In force"],
                conflicts.iter().map(conflict_row).collect(),
            ),
        ],
        Ok(ApplyReply::Unreachable { daemons }) => {
            vec![
            heading("Not accepted: daemons that may be serving did not answer"),
            line(format!("Nothing was changed. Not reached: {}.", join_names(daemons))),
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

fn conflict_row(conflict: &Conflict) -> Vec<String> {
    let pointer = conflict.pointer.clone();
    let (ours, theirs) = (&conflict.ours.summary, &conflict.theirs.summary);
    vec![pointer, ours.clone(), theirs.clone()]
}

fn join_names(daemons: &[DaemonId]) -> String {
    if daemons.is_empty() {
        return "none".into();
    }
    let names: Vec<&str> = daemons.iter().map(DaemonId::as_str).collect();
    names.join(", ")
}
