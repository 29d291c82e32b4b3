//! The implementation of the commands.

use conf::api;
use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::api::CheckReply;
use conf::api::CheckRequest;
use conf::api::DocumentView;
use conf::api::Done;
use conf::api::DrainRequest;
use conf::api::StatusView;
use conf::api::Submission;
use conf::api::TaskPage;
use conf::api::TaskView;
use conf::check::Context;
use conf::check::check;
use conf::finding::Finding;
use conf::finding::any_error;
use conf::report::Report;
use model::Priority;
use model::Size;
use model::id::DocVersion;
use model::id::OpId;
use serde::Serialize;
use serde_json::Value;

use crate::CommandOutput;
use crate::Environment;
use crate::args::Apply;
use crate::args::Args;
use crate::args::Check;
use crate::args::Command;
use crate::args::Drain;
use crate::args::NameArgument;
use crate::args::Submit;
use crate::args::Tasks;
use crate::args::Worker;
use crate::args::WorkerCommand;
use crate::exit::ExitStatus;
use crate::explain;
use crate::http::CallFailure;
use crate::http::Client;
use crate::input::parse_name;
use crate::input::parse_task_state;
use crate::input::read_file;
use crate::render;

/// The address to use if neither an option nor the environment gives one.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7001";

/// Executes a command.
pub async fn run(command: &Command, args: &Args, environment: &Environment) -> CommandOutput {
    // `explain` calls no daemon, so it needs neither an address nor a token.
    if let Command::Explain(options) = command {
        return explain::run(options);
    }
    let context = match CommandContext::new(args, environment) {
        Ok(context) => context,
        Err(output) => return output,
    };
    let output = match command {
        Command::Check(options) => context.check(options).await,
        Command::Apply(options) => context.apply(options, environment).await,
        Command::Show(_) => context.show().await,
        Command::Status(_) => context.status().await,
        Command::Submit(options) => context.submit(options).await,
        Command::Cancel(options) => context.cancel(options).await,
        Command::Tasks(options) => context.tasks(options).await,
        Command::Drain(options) => context.drain(options).await,
        Command::Dump(_) => context.dump().await,
        Command::Worker(options) => context.worker(options).await,
        Command::Explain(options) => Ok(explain::run(options)),
    };
    output.unwrap_or_else(|output| output)
}

/// The client and the output format of one command. Command methods return `Err` with the output
/// of a command that failed early.
struct CommandContext {
    client: Client,
    json: bool,
}

impl CommandContext {
    fn new(args: &Args, environment: &Environment) -> Result<Self, CommandOutput> {
        let default_addresses = environment.address.as_deref().unwrap_or(DEFAULT_ADDRESS);
        let mut addresses = args.address.clone();
        if addresses.is_empty() {
            addresses = default_addresses
                .split(',')
                .map(|part| part.trim().to_owned())
                .collect();
        }
        let token = match (&args.token, &args.token_file) {
            (Some(token), _) => token.clone(),
            (None, Some(file)) => read_file(file)?.trim().to_owned(),
            (None, None) => environment.token.clone().unwrap_or_default(),
        };
        let client =
            Client::new(addresses, token).map_err(|failure| failure_output(&failure, args.json))?;
        Ok(Self {
            client,
            json: args.json,
        })
    }

    /// Formats a value as JSON if requested, otherwise with `text`.
    fn print<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) -> CommandOutput {
        CommandOutput::success(if self.json {
            to_json_line(value)
        } else {
            text(value)
        })
    }

    fn failure_output(&self, failure: &CallFailure) -> CommandOutput {
        failure_output(failure, self.json)
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, CommandOutput> {
        let result = self.client.get(path, query).await;
        result.map_err(|failure| self.failure_output(&failure))
    }

    async fn post<B: Serialize + Sync, T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CommandOutput> {
        let result = self.client.post(path, body).await;
        result.map_err(|failure| self.failure_output(&failure))
    }

    async fn check(&self, options: &Check) -> Result<CommandOutput, CommandOutput> {
        let text = read_file(&options.file)?;
        let reply = if options.offline {
            CheckReply {
                base: DocVersion::default(),
                findings: check(&text, &Context::default()).findings,
                changes: Vec::new(),
            }
        } else {
            let text = text.clone();
            self.post(api::CHECK, &CheckRequest { text }).await?
        };
        let output = self.print(&reply, |reply| {
            if options.offline || any_error(&reply.findings) {
                return String::new();
            }
            let changes = render::changes(&reply.changes);
            format!("Against version {}:\n{changes}", reply.base)
        });
        Ok(with_findings(output, &options.file, &text, &reply.findings))
    }

    async fn apply(
        &self,
        options: &Apply,
        environment: &Environment,
    ) -> Result<CommandOutput, CommandOutput> {
        let text = read_file(&options.file)?;
        let findings = check(&text, &Context::default()).findings;
        if any_error(&findings) {
            let reply = ApplyReply::Invalid { findings };
            return Ok(self.apply_output(&reply, options, &text));
        }
        let op = options.id.as_ref().map(OpId::new);
        let request = ApplyRequest {
            op: op.unwrap_or_else(|| environment.op.clone()),
            text: text.clone(),
            by: environment.user.clone().unwrap_or_default(),
            base: options.base.map(DocVersion),
            without: options
                .without
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            wait: options.wait,
        };
        match self.client.post(api::APPLY, &request).await {
            Ok(reply) => Ok(self.apply_output(&reply, options, &text)),
            Err(failure) if failure.exit == ExitStatus::Unknown => {
                Ok(self.failure_output(&failure).with_message(&format!(
                    "Determine the outcome with `apply --id {}`.",
                    request.op
                )))
            }
            Err(failure) => Ok(self.failure_output(&failure)),
        }
    }

    fn apply_output(&self, reply: &ApplyReply, options: &Apply, text: &str) -> CommandOutput {
        let output = self.print(reply, render::apply_reply);
        match reply {
            ApplyReply::Accepted { pending, .. } if options.wait && !pending.is_empty() => {
                output.with_exit(ExitStatus::NotDone)
            }
            ApplyReply::Accepted { .. } => output,
            ApplyReply::Invalid { findings } => {
                with_findings(output, &options.file, text, findings)
            }
            ApplyReply::Overtaken { .. } | ApplyReply::Unreachable { .. } => {
                output.with_exit(ExitStatus::NotDone)
            }
        }
    }

    async fn show(&self) -> Result<CommandOutput, CommandOutput> {
        let document: DocumentView = self.get(api::DOCUMENT, &[]).await?;
        let message = format!("Version {} by {}.", document.version, document.by);
        let output = self.print(&document, |document| document.text.clone());
        Ok(output.with_message(&message))
    }

    async fn status(&self) -> Result<CommandOutput, CommandOutput> {
        let status: StatusView = self.get(api::STATUS, &[]).await?;
        Ok(self.print(&status, render::status))
    }

    async fn submit(&self, options: &Submit) -> Result<CommandOutput, CommandOutput> {
        let submission = Submission {
            task: parse_name(&options.task)?.into(),
            team: options.team.as_str().into(),
            class: options.class.as_str().into(),
            priority: if options.urgent {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            size: Size::new(options.cpu_millis, options.memory_mib, options.accelerators),
            run_ms: options.run_ms,
            max_failures: options.max_failures,
        };
        let task: TaskView = self.post(api::TASKS, &submission).await?;
        Ok(self.print(&task, |task| {
            format!(
                "{} is {} at {}.\n",
                task.task,
                task.state.as_str(),
                task.shard
            )
        }))
    }

    async fn cancel(&self, options: &NameArgument) -> Result<CommandOutput, CommandOutput> {
        let task = parse_name(&options.name)?.into();
        self.post_action(&api::cancel_path(&task), &Value::Null)
            .await
    }

    async fn tasks(&self, options: &Tasks) -> Result<CommandOutput, CommandOutput> {
        let state = options.state.as_deref().map(parse_task_state).transpose()?;
        let filters = [
            ("state", state.map(|state| state.as_str().to_owned())),
            ("team", options.team.clone()),
            ("class", options.class.clone()),
            ("after", options.after.clone()),
            ("limit", Some(options.limit.to_string())),
        ];
        let query: Vec<(&str, String)> = filters
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
            .collect();
        let page: TaskPage = self.get(api::TASKS, &query).await?;
        let output = self.print(&page, render::tasks);
        Ok(match &page.next {
            Some(next) => {
                output.with_message(&format!("There are more tasks: `tasks --after {next}`."))
            }
            None => output,
        })
    }

    async fn drain(&self, options: &Drain) -> Result<CommandOutput, CommandOutput> {
        let within_ms = options.within_ms;
        self.post_action(api::DRAIN, &DrainRequest { within_ms })
            .await
    }

    async fn dump(&self) -> Result<CommandOutput, CommandOutput> {
        let dump: Value = self.get(api::DUMP, &[]).await?;
        Ok(self.print(&dump, |dump| format!("{dump:#}\n")))
    }

    async fn worker(&self, options: &Worker) -> Result<CommandOutput, CommandOutput> {
        let Some(WorkerCommand::Lost(argument)) = &options.command else {
            let message = "The state of the worker is missing: `worker lost NAME`.";
            return Err(CommandOutput::error(ExitStatus::BadInput, message));
        };
        let worker = parse_name(&argument.name)?.into();
        self.post_action(&api::worker_lost_path(&worker), &Value::Null)
            .await
    }

    async fn post_action<B: Serialize + Sync>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<CommandOutput, CommandOutput> {
        let done: Done = self.post(path, body).await?;
        Ok(self.print(&done, |done| format!("{}\n", done.message)))
    }
}

/// Adds a report of the findings to standard error, and fails the command if one is an error.
fn with_findings(
    mut output: CommandOutput,
    file: &str,
    text: &str,
    findings: &[Finding],
) -> CommandOutput {
    if !findings.is_empty() {
        output
            .stderr
            .push_str(&Report::new(file, text, findings).render());
    }
    if any_error(findings) {
        return output.with_exit(ExitStatus::BadInput);
    }
    output
}

fn failure_output(failure: &CallFailure, json: bool) -> CommandOutput {
    let mut output = CommandOutput::error(failure.exit, &failure.problem.reason);
    if json {
        output.stdout = to_json_line(&failure.problem);
    }
    let retry = failure.problem.retry_after_ms;
    retry.map_or(output.clone(), |ms| {
        output.with_message(&format!("Try again in {ms} ms."))
    })
}

fn to_json_line<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    format!("{text}\n")
}
