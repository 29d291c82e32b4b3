//! Logs the problems of a document that came into force.

use job::plan::Plan;
use job::plan_check::Surroundings;
use job::plan_check::check;

use crate::events;

/// The maximum number of problems of one version with a log line of their own.
const MAX_LINES: usize = 20;
/// The maximum length of the text of a field, in bytes. Names in a document have no limit.
const MAX_TEXT_BYTES: usize = 300;

/// Logs the problems of a document that can be found without the list of executors, which arrives
/// at other times and at the owner only.
pub(super) fn log(plan: &Plan) {
    let findings = check(plan, &Surroundings::default());
    if findings.is_empty() {
        return;
    }
    for finding in findings.iter().take(MAX_LINES) {
        let (subject, problem) = (finding.subject.to_string(), finding.problem.to_string());
        events::document_finding(plan.version, bounded(&subject), bounded(&problem));
    }
    let logged = findings.len().min(MAX_LINES);
    events::document_findings(plan.version, findings.len(), logged);
}

/// Returns the beginning of a text that is not longer than [`MAX_TEXT_BYTES`].
fn bounded(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
