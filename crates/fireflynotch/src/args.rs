//! The command line.

use gumdrop::Options;

/// Drives fireflynotch: checks and applies the configuration document, submits tasks, shows what
/// the daemons see.
#[derive(Debug, Options)]
pub struct Args {
    /// Print this help.
    #[options(help = "print this help, or that of a command after its name")]
    pub help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Which daemons to ask.
    #[options(
        meta = "IP:PORT",
        help = "operators' address of a daemon; repeat it to name others that are asked if the \
                first is not reached (default: $FIREFLYNOTCH_ADDRESS, or 127.0.0.1:7001)"
    )]
    pub address: Vec<String>,
    /// The token.
    #[options(
        no_short,
        meta = "TOKEN",
        help = "the operators' token (default: $FIREFLYNOTCH_TOKEN)"
    )]
    pub token: Option<String>,
    /// Where the token is.
    #[options(no_short, meta = "FILE", help = "read the token from a file")]
    pub token_file: Option<String>,
    /// Print JSON.
    #[options(help = "print JSON for machines instead of tables for people")]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Check a document.
    #[options(help = "show what is wrong with a document and what it would change")]
    Check(Check),
    /// Apply a document.
    #[options(help = "put a document into force on all daemons")]
    Apply(Apply),
    /// Show the document.
    #[options(help = "print the document in force, comments included")]
    Show(NoOptions),
    /// Show the state.
    #[options(help = "show daemons, upstreams, handovers, shards and queues")]
    Status(NoOptions),
    /// Submit a task.
    #[options(help = "submit a task; the same name is queued at most once")]
    Submit(Submit),
    /// Cancel a task.
    #[options(help = "cancel a task")]
    Cancel(NameArgument),
    /// List tasks.
    #[options(help = "list tasks")]
    Tasks(Tasks),
    /// Stop a daemon gracefully.
    #[options(help = "stop the daemon that is asked gracefully")]
    Drain(Drain),
    /// Print the dump.
    #[options(help = "print the state of the daemon that is asked, as JSON")]
    Dump(NoOptions),
    /// Tell a job's story.
    #[options(help = "tell a job's story from log files: `explain ID [LOG...]`, or standard input")]
    Explain(Explain),
    /// Speak of a worker.
    #[options(help = "say what is known of a worker: `worker lost NAME`")]
    Worker(Worker),
}

/// Shows what the daemon that is asked knows.
#[derive(Debug, Options)]
pub struct NoOptions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Tells a job's story from the log lines of any number of processes.
#[derive(Debug, Options)]
pub struct Explain {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The job.
    #[options(free, required, help = "the job's name")]
    pub id: String,
    /// The files.
    #[options(free, help = "log files; standard input without any")]
    pub logs: Vec<String>,
}

/// Shows what is wrong with a document and what it would change.
#[derive(Debug, Options)]
pub struct Check {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "the document, JSON with comments")]
    pub file: String,
    /// Ask no daemon.
    #[options(no_short, help = "check the text alone and ask no daemon")]
    pub offline: bool,
}

/// Puts a document into force on all daemons, or on none.
#[derive(Debug, Options)]
pub struct Apply {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "the document, JSON with comments")]
    pub file: String,
    /// Wait.
    #[options(help = "wait until all daemons have it in force")]
    pub wait: bool,
    /// The base.
    #[options(
        meta = "VERSION",
        help = "the version that the document was made from; refused if another is in force"
    )]
    pub base: Option<u64>,
    /// The dead.
    #[options(
        no_short,
        meta = "NAME",
        help = "a daemon that you know to be dead; may be repeated"
    )]
    pub without: Vec<String>,
    /// The id.
    #[options(
        no_short,
        meta = "ID",
        help = "the id of an earlier try whose outcome was unknown, to find out what became of it"
    )]
    pub id: Option<String>,
}

/// Submits a task; submitted again under the same name it is queued at most once.
#[derive(Debug, Options)]
pub struct Submit {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name.
    #[options(free, required, help = "the task's name, unique for ever")]
    pub task: String,
    /// The team.
    #[options(
        required,
        meta = "NAME",
        help = "the team whose quota it counts against"
    )]
    pub team: String,
    /// The class.
    #[options(required, meta = "NAME", help = "its class")]
    pub class: String,
    /// Processors.
    #[options(no_short, meta = "N", help = "thousandths of a core that it needs")]
    pub cpu_millis: u64,
    /// Memory.
    #[options(no_short, meta = "N", help = "MiB of memory that it needs")]
    pub memory_mib: u64,
    /// Accelerators.
    #[options(no_short, meta = "N", help = "accelerators that it needs")]
    pub accelerators: u64,
    /// Run time.
    #[options(
        no_short,
        meta = "MS",
        help = "how long it runs (default: until cancelled)"
    )]
    pub run_ms: Option<u64>,
    /// Urgency.
    #[options(help = "start it within 2.5 s, evicting batch work if need be")]
    pub urgent: bool,
    /// Failures.
    #[options(
        no_short,
        meta = "N",
        help = "how often it may fail before it is given up"
    )]
    pub max_failures: Option<u32>,
}

/// Acts on the task or worker of a name.
#[derive(Debug, Options)]
pub struct NameArgument {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name.
    #[options(free, required, help = "the name")]
    pub name: String,
}

/// Lists tasks, one page at a time.
#[derive(Debug, Options)]
pub struct Tasks {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The state.
    #[options(
        meta = "STATE",
        help = "only queued, assigned, succeeded, failed or cancelled ones"
    )]
    pub state: Option<String>,
    /// The team.
    #[options(meta = "NAME", help = "only those of this team")]
    pub team: Option<String>,
    /// The class.
    #[options(meta = "NAME", help = "only those of this class")]
    pub class: Option<String>,
    /// The most.
    #[options(meta = "N", help = "the most to list", default = "100")]
    pub limit: u32,
    /// The mark.
    #[options(meta = "MARK", help = "only those after the mark of an earlier page")]
    pub after: Option<String>,
}

/// Stops the daemon that is asked: requests in progress finish, then it exits.
#[derive(Debug, Options)]
pub struct Drain {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The bound.
    #[options(no_short, meta = "MS", help = "how long requests in progress may take")]
    pub within_ms: Option<u64>,
}

/// Says what you know of a worker.
#[derive(Debug, Options)]
pub struct Worker {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What is known.
    #[options(command)]
    pub command: Option<WorkerCommand>,
}

/// What is known of a worker.
#[derive(Debug, Options)]
pub enum WorkerCommand {
    /// It is dead.
    #[options(help = "you know that it is dead: its tasks start elsewhere at once")]
    Lost(NameArgument),
}

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  certainly not done, or not as asked
  2  arguments, token or document are wrong
  3  may or may not have been done
  4  no daemon was reached, so nothing was done
";

const EXAMPLES: &str = "Examples:
  fireflynotch check --offline examples/rsh.document.jsonc
  fireflynotch --address 10.1.0.1:7001 --token-file token apply --wait --base 7 document.jsonc
  fireflynotch --json tasks --state queued
";

/// Returns the help that the arguments ask for.
#[must_use]
pub fn help(args: &Args) -> String {
    match &args.command {
        Some(command) => {
            let name = command.command_name().unwrap_or_default();
            let list = command.self_command_list();
            let below = list.map_or_else(String::new, |list| format!("\nCommands:\n{list}\n"));
            format!(
                "Usage: fireflynotch [OPTIONS] {name} ...\n\n{}\n{below}",
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
