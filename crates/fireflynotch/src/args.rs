//! Command-line arguments and help texts.

use gumdrop::Options;

/// Command-line client of fireflynotch: checks and applies the configuration document, submits
/// tasks and shows the state of the daemons.
#[derive(Debug, Options)]
pub struct Args {
    /// Whether to print the help, of the command if one is given.
    #[options(help = "print this help, or the help of a command if given after it")]
    pub help: bool,
    /// Whether to print the version of the client.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The operator API addresses, tried in order until a daemon is reached.
    #[options(
        meta = "IP:PORT",
        help = "operator API address of a daemon; repeat the option for addresses to try if the \
                first is not reached (default: $FIREFLYNOTCH_ADDRESS, or 127.0.0.1:7001)"
    )]
    pub address: Vec<String>,
    /// The operator token; takes precedence over `--token-file`.
    #[options(
        no_short,
        meta = "TOKEN",
        help = "operator token (default: $FIREFLYNOTCH_TOKEN)"
    )]
    pub token: Option<String>,
    /// The path of a file with the operator token.
    #[options(no_short, meta = "FILE", help = "read the operator token from a file")]
    pub token_file: Option<String>,
    /// Whether to print JSON instead of tables.
    #[options(help = "print JSON instead of tables")]
    pub json: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands of the client.
#[derive(Debug, Options)]
pub enum Command {
    /// Checks a document.
    #[options(help = "show the findings on a document and what it would change")]
    Check(Check),
    /// Applies a document.
    #[options(help = "apply a document to all daemons")]
    Apply(Apply),
    /// Prints the document in force.
    #[options(help = "print the document in force, including its comments")]
    Show(NoOptions),
    /// Shows the state of the daemon and of the cluster as it sees it.
    #[options(help = "show daemons, upstreams, handovers, shards and queues")]
    Status(NoOptions),
    /// Submits a task.
    #[options(help = "submit a task; a task of the same name is queued at most once")]
    Submit(Submit),
    /// Cancels a task.
    #[options(help = "cancel a task")]
    Cancel(NameArgument),
    /// Lists tasks.
    #[options(help = "list tasks")]
    Tasks(Tasks),
    /// Stops a daemon gracefully.
    #[options(help = "gracefully stop the daemon at the given address")]
    Drain(Drain),
    /// Prints the internal state of a daemon.
    #[options(help = "print the internal state of the daemon as JSON")]
    Dump(NoOptions),
    /// Shows the timeline of a job.
    #[options(
        help = "show the timeline of a job from log files or standard input: `explain ID [LOG...]`"
    )]
    Explain(Explain),
    /// Declares the state of a worker.
    #[options(help = "declare the state of a worker: `worker lost NAME`")]
    Worker(Worker),
}

/// Shows data of the daemon at the given address.
#[derive(Debug, Options)]
pub struct NoOptions {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the timeline of a job from the log lines of any number of processes.
#[derive(Debug, Options)]
pub struct Explain {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The ID of the job.
    #[options(free, required, help = "ID of the job")]
    pub id: String,
    /// The paths of the log files; standard input is read if there are none.
    #[options(free, help = "log files (default: standard input)")]
    pub logs: Vec<String>,
}

/// Shows the findings on a document and what it would change.
#[derive(Debug, Options)]
pub struct Check {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The path of the document.
    #[options(free, required, help = "document file, JSON with comments")]
    pub file: String,
    /// Whether to check the file locally, without the state of a daemon.
    #[options(no_short, help = "check only the file, without contacting a daemon")]
    pub offline: bool,
}

/// Applies a document to all daemons, or to none.
#[derive(Debug, Options)]
pub struct Apply {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The path of the document.
    #[options(free, required, help = "document file, JSON with comments")]
    pub file: String,
    /// Whether to wait until the document is in force on all daemons.
    #[options(help = "wait until the document is in force on all daemons")]
    pub wait: bool,
    /// The version on which the document is based.
    #[options(
        meta = "VERSION",
        help = "version on which the document is based; rejected if another one is in force"
    )]
    pub base: Option<u64>,
    /// Daemons that are dead, so that their confirmation is not needed.
    #[options(
        no_short,
        meta = "NAME",
        help = "name of a daemon that is known to be dead; may be repeated"
    )]
    pub without: Vec<String>,
    /// The ID of an earlier `apply` with an unknown outcome.
    #[options(
        no_short,
        meta = "ID",
        help = "ID of an earlier `apply` with an unknown outcome, to determine its result"
    )]
    pub id: Option<String>,
}

/// Submits a task; repeated submissions under one name queue it at most once.
#[derive(Debug, Options)]
pub struct Submit {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name of the task.
    #[options(free, required, help = "name of the task; names are never reused")]
    pub task: String,
    /// The team whose quota is charged.
    #[options(required, meta = "NAME", help = "team whose quota is charged")]
    pub team: String,
    /// The class of the task.
    #[options(required, meta = "NAME", help = "class of the task")]
    pub class: String,
    /// The CPU request in thousandths of a core.
    #[options(no_short, meta = "N", help = "CPU request in thousandths of a core")]
    pub cpu_millis: u64,
    /// The memory request in MiB.
    #[options(no_short, meta = "N", help = "memory request in MiB")]
    pub memory_mib: u64,
    /// The number of requested accelerators.
    #[options(no_short, meta = "N", help = "number of requested accelerators")]
    pub accelerators: u64,
    /// The declared run time in milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "declared run time (default: until cancelled)"
    )]
    pub run_ms: Option<u64>,
    /// Whether the task is urgent.
    #[options(help = "start it within 2.5 s, evicting batch tasks if necessary")]
    pub urgent: bool,
    /// How many times the task may fail before it counts as failed.
    #[options(
        no_short,
        meta = "N",
        help = "how many times it may fail before it counts as failed"
    )]
    pub max_failures: Option<u32>,
}

/// Selects a task or worker by its name.
#[derive(Debug, Options)]
pub struct NameArgument {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name of the task or worker.
    #[options(free, required, help = "name of the task or worker")]
    pub name: String,
}

/// Lists tasks, one page at a time.
#[derive(Debug, Options)]
pub struct Tasks {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The task state to filter by.
    #[options(
        meta = "STATE",
        help = "list only tasks in this state: queued, assigned, succeeded, failed or cancelled"
    )]
    pub state: Option<String>,
    /// The team to filter by.
    #[options(meta = "NAME", help = "list only tasks of this team")]
    pub team: Option<String>,
    /// The class to filter by.
    #[options(meta = "NAME", help = "list only tasks of this class")]
    pub class: Option<String>,
    /// The maximum number of tasks on a page.
    #[options(meta = "N", help = "maximum number of tasks to list", default = "100")]
    pub limit: u32,
    /// The cursor that an earlier page ended with.
    #[options(
        meta = "MARK",
        help = "list only tasks after this mark, printed by an earlier page"
    )]
    pub after: Option<String>,
}

/// Stops a daemon gracefully: it finishes the requests in progress and exits.
#[derive(Debug, Options)]
pub struct Drain {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The time limit for requests in progress, in milliseconds.
    #[options(no_short, meta = "MS", help = "time limit for requests in progress")]
    pub within_ms: Option<u64>,
}

/// Declares the state of a worker.
#[derive(Debug, Options)]
pub struct Worker {
    /// Whether to print the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The state to declare.
    #[options(command)]
    pub command: Option<WorkerCommand>,
}

/// States of a worker that an operator can declare.
#[derive(Debug, Options)]
pub enum WorkerCommand {
    /// The worker is dead.
    #[options(help = "declare a worker dead: its tasks are started on other workers at once")]
    Lost(NameArgument),
}

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  certainly not done, or not as requested
  2  invalid arguments, token or document
  3  outcome unknown: may or may not have been done
  4  no daemon was reached, so nothing was done
";

const EXAMPLES: &str = "Examples:
  fireflynotch check --offline examples/rsh.document.jsonc
  fireflynotch --address 10.1.0.1:7001 --token-file token apply --wait --base 7 document.jsonc
  fireflynotch --json tasks --state queued
";

/// Returns the help text of the given command, or of the client if there is none.
#[must_use]
pub fn help(args: &Args) -> String {
    match &args.command {
        Some(command) => {
            let name = command.command_name().unwrap_or_default();
            let list = command.self_command_list();
            let subcommands =
                list.map_or_else(String::new, |list| format!("\nCommands:\n{list}\n"));
            format!(
                "Usage: fireflynotch [OPTIONS] {name} ...\n\n{}\n{subcommands}",
                command.self_usage()
            )
        }
        None => format!(
            "Usage: fireflynotch [OPTIONS] COMMAND ...\n\n{}\n\nCommands:\n{}\n\n{EXAMPLES}\n{EXIT_CODES}",
            Args::usage(),
            Args::command_list().unwrap_or_default()
        ),
    }
}
