//! The operators' command-line client.
//!
//! [`run`] takes the arguments and returns the output and the exit status, so that tests can call
//! it in process. [`args`] defines the command line, [`http`] calls the daemons, [`command`]
//! implements the commands and [`render`] formats the responses.
//! `docs/CLI.md` describes the client.

pub mod args;
pub mod command;
pub mod exit;
pub mod explain;
pub mod http;
mod input;
pub mod render;
pub mod table;

use gumdrop::Options;
use model::id::OpId;

use crate::args::Args;
use crate::exit::ExitStatus;

/// Inputs of the client besides its arguments.
#[derive(Clone, Debug)]
pub struct Environment {
    /// The comma-separated daemon addresses to use without `--address`.
    pub address: Option<String>,
    /// The operator token to use without `--token` and `--token-file`.
    pub token: Option<String>,
    /// The user who runs the client, recorded as the author of a document.
    pub user: Option<String>,
    /// A fresh operation ID for `apply`, by which daemons recognise a repeated call.
    pub op: OpId,
}

/// The output and the exit status of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// The exit status.
    pub exit: ExitStatus,
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Creates the output of a successful command.
    #[must_use]
    pub const fn success(stdout: String) -> Self {
        Self {
            exit: ExitStatus::Done,
            stdout,
            stderr: String::new(),
        }
    }

    /// Creates the output of a failed command, with a message on standard error.
    #[must_use]
    pub fn error(exit: ExitStatus, message: &str) -> Self {
        Self {
            exit,
            stdout: String::new(),
            stderr: format!("{message}\n"),
        }
    }

    /// Appends a message to standard error.
    #[must_use]
    pub fn with_message(mut self, message: &str) -> Self {
        self.stderr.push_str(message);
        self.stderr.push('\n');
        self
    }

    /// Replaces the exit status.
    #[must_use]
    pub const fn with_exit(mut self, exit: ExitStatus) -> Self {
        self.exit = exit;
        self
    }
}

/// Runs the client with its arguments, without the program name.
pub async fn run(args: &[String], environment: &Environment) -> CommandOutput {
    let args = match Args::parse_args_default(args) {
        Ok(args) => args,
        Err(error) => {
            let message = format!("{error}\nTry `fireflynotch --help`.");
            return CommandOutput::error(ExitStatus::BadInput, &message);
        }
    };
    if args.help_requested() {
        return CommandOutput::success(args::help(&args));
    }
    if args.version {
        return CommandOutput::success(format!("fireflynotch {}\n", env!("CARGO_PKG_VERSION")));
    }
    match &args.command {
        Some(command) => command::run(command, &args, environment).await,
        None => CommandOutput::error(ExitStatus::BadInput, &args::help(&args)),
    }
}
