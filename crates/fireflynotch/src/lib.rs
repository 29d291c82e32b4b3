//! The operators' command-line client.
//!
//! [`run`] takes the arguments and returns what to print and how to exit, so that tests call it
//! without a process. [`args`] has the commands, [`http`] the calls to a daemon, [`command`] what
//! each command does and [`show`] how answers look to people. `docs/CLI.md` is the operators' page.

pub mod args;
pub mod command;
pub mod exit;
pub mod explain;
pub mod http;
pub mod render;
pub mod table;

use gumdrop::Options;
use model::id::OpId;

use crate::args::Args;
use crate::exit::ExitStatus;

/// What the client takes from its surroundings.
#[derive(Clone, Debug)]
pub struct Environment {
    /// The addresses to ask where `--address` names none.
    pub address: Option<String>,
    /// The token where neither `--token` nor `--token-file` gives one.
    pub token: Option<String>,
    /// Who runs the client.
    pub user: Option<String>,
    /// A fresh id for a change of the document.
    pub op: OpId,
}

/// What a command printed and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// How it ended.
    pub exit: ExitStatus,
    /// For the standard output.
    pub stdout: String,
    /// For the standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// A command that was done.
    #[must_use]
    pub const fn success(stdout: String) -> Self {
        Self {
            exit: ExitStatus::Done,
            stdout,
            stderr: String::new(),
        }
    }

    /// A command that ended otherwise, with a sentence for people.
    #[must_use]
    pub fn error(exit: ExitStatus, message: &str) -> Self {
        Self {
            exit,
            stdout: String::new(),
            stderr: format!("{message}\n"),
        }
    }

    /// Adds a sentence for people.
    #[must_use]
    pub fn with_message(mut self, message: &str) -> Self {
        self.stderr.push_str(message);
        self.stderr.push('\n');
        self
    }

    /// Changes how it ended.
    #[must_use]
    pub const fn with_exit(mut self, exit: ExitStatus) -> Self {
        self.exit = exit;
        self
    }
}

/// Runs the client with the arguments that follow its name.
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
