//! Renders findings for people, with the source lines that they refer to.

use derive_more::Display;
use derive_more::Error;
use miette::Diagnostic;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use miette::LabeledSpan;
use miette::MietteDiagnostic;
use miette::NamedSource;

use crate::finding::Finding;
use crate::finding::Severity;

/// An error that reports all findings on one text.
#[derive(Debug, Display, Error, Diagnostic)]
#[display("{count} in {name}")]
pub struct Report {
    name: String,
    count: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[related]
    related: Vec<MietteDiagnostic>,
}

impl Report {
    /// Creates the report on the text of a file or document called `name`.
    #[must_use]
    pub fn new(name: &str, text: &str, findings: &[Finding]) -> Self {
        let count = match findings.len() {
            1 => "1 finding".to_owned(),
            several => format!("{several} findings"),
        };
        Self {
            name: name.to_owned(),
            count,
            source_code: NamedSource::new(name, text.to_owned()),
            related: findings.iter().map(diagnostic).collect(),
        }
    }

    /// Renders the report without colours.
    #[must_use]
    pub fn render(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        let mut text = String::new();
        if handler.render_report(&mut text, self).is_err() {
            text = self.to_string();
        }
        text
    }
}

fn diagnostic(finding: &Finding) -> MietteDiagnostic {
    let location = &finding.location;
    let end = location.offset + location.len;
    let label = format!("line {}, column {}", location.line, location.column);
    let diagnostic = MietteDiagnostic::new(finding.message.clone())
        .with_code(finding.code.to_string())
        .with_severity(match finding.severity {
            Severity::Error => miette::Severity::Error,
            Severity::Warning => miette::Severity::Warning,
        })
        .with_label(LabeledSpan::at(location.offset..end, label));
    match &finding.help {
        Some(help) => diagnostic.with_help(help.clone()),
        None => diagnostic,
    }
}
