//! What each command does.

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
use conf::api::TaskState;
use conf::api::TaskView;
use conf::check::Context;
use conf::check::check;
use conf::check::is_valid_name;
use conf::finding::Finding;
use conf::finding::any_error;
use conf::report::Report;
use model::Priority;
use model::Size;
use model::id::DocVersion;
use model::id::OpId;
use serde::Serialize;
use serde_json::Value;

use crate::Environment;
use crate::Ran;
use crate::args::Apply;
use crate::args::Args;
use crate::args::Check;
use crate::args::Command;
use crate::args::Drain;
use crate::args::Named;
use crate::args::Submit;
use crate::args::Tasks;
use crate::args::Worker;
use crate::args::WorkerCommand;
use crate::exit::Exit;
use crate::explain;
use crate::http::Client;
use crate::http::Failure;
use crate::show;

/// Where a daemon is asked if nobody says where.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7001";

/// Carries out a command.
pub async fn run(command: &Command, args: &Args, environment: &Environment) -> Ran {
    // It asks no daemon, so that it needs neither an address nor a token.
    if let Command::Explain(options) = command {
        return explain::run(options);
    }
    let cx = match Run::new(args, environment) {
        Ok(cx) => cx,
        Err(ran) => return ran,
    };
    let ran = match command {
        Command::Check(options) => cx.check(options).await,
        Command::Apply(options) => cx.apply(options, environment).await,
        Command::Show(_) => cx.show().await,
        Command::Status(_) => cx.status().await,
        Command::Submit(options) => cx.submit(options).await,
        Command::Cancel(options) => cx.cancel(options).await,
        Command::Tasks(options) => cx.tasks(options).await,
        Command::Drain(options) => cx.drain(options).await,
        Command::Dump(_) => cx.dump().await,
        Command::Worker(options) => cx.worker(options).await,
        Command::Explain(options) => Ok(explain::run(options)),
    };
    ran.unwrap_or_else(|ended| ended)
}

/// One run of the client; a command that is not done returns early with how it ended.
struct Run {
    client: Client,
    json: bool,
}

impl Run {
    fn new(args: &Args, environment: &Environment) -> Result<Self, Ran> {
        let given = environment.address.as_deref().unwrap_or(DEFAULT_ADDRESS);
        let mut addresses = args.address.clone();
        if addresses.is_empty() {
            addresses = given
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
            Client::new(addresses, token).map_err(|failure| failed(&failure, args.json))?;
        Ok(Self {
            client,
            json: args.json,
        })
    }

    /// Prints an answer as JSON, or as `text` makes it.
    fn print<T: Serialize>(&self, answer: &T, text: impl FnOnce(&T) -> String) -> Ran {
        Ran::done(if self.json {
            json_line(answer)
        } else {
            text(answer)
        })
    }

    fn failed(&self, failure: &Failure) -> Ran {
        failed(failure, self.json)
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, Ran> {
        let answer = self.client.get(path, query).await;
        answer.map_err(|failure| self.failed(&failure))
    }

    async fn post<B: Serialize + Sync, T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Ran> {
        let answer = self.client.post(path, body).await;
        answer.map_err(|failure| self.failed(&failure))
    }

    async fn check(&self, options: &Check) -> Result<Ran, Ran> {
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
        let ran = self.print(&reply, |reply| {
            if options.offline || any_error(&reply.findings) {
                return String::new();
            }
            let changes = show::changes(&reply.changes);
            format!("Against version {}:\n{changes}", reply.base)
        });
        Ok(report(ran, &options.file, &text, &reply.findings))
    }

    async fn apply(&self, options: &Apply, environment: &Environment) -> Result<Ran, Ran> {
        let text = read_file(&options.file)?;
        let findings = check(&text, &Context::default()).findings;
        if any_error(&findings) {
            let reply = ApplyReply::Invalid { findings };
            return Ok(self.applied(&reply, options, &text));
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
            Ok(reply) => Ok(self.applied(&reply, options, &text)),
            Err(failure) if failure.exit == Exit::Unknown => Ok(self.failed(&failure).note(
                &format!("Ask what became of it with `apply --id {}`.", request.op),
            )),
            Err(failure) => Ok(self.failed(&failure)),
        }
    }

    fn applied(&self, reply: &ApplyReply, options: &Apply, text: &str) -> Ran {
        let ran = self.print(reply, applied_text);
        match reply {
            ApplyReply::Accepted { pending, .. } if options.wait && !pending.is_empty() => {
                ran.exit(Exit::NotDone)
            }
            ApplyReply::Accepted { .. } => ran,
            ApplyReply::Invalid { findings } => report(ran, &options.file, text, findings),
            ApplyReply::Overtaken { .. } | ApplyReply::Unreachable { .. } => {
                ran.exit(Exit::NotDone)
            }
        }
    }

    async fn show(&self) -> Result<Ran, Ran> {
        let document: DocumentView = self.get(api::DOCUMENT, &[]).await?;
        let note = format!("Version {} by {}.", document.version, document.by);
        let ran = self.print(&document, |document| document.text.clone());
        Ok(ran.note(&note))
    }

    async fn status(&self) -> Result<Ran, Ran> {
        let status: StatusView = self.get(api::STATUS, &[]).await?;
        Ok(self.print(&status, show::status))
    }

    async fn submit(&self, options: &Submit) -> Result<Ran, Ran> {
        let submission = Submission {
            task: checked_name(&options.task)?.into(),
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

    async fn cancel(&self, options: &Named) -> Result<Ran, Ran> {
        let task = checked_name(&options.name)?.into();
        self.done(&api::cancel_path(&task), &Value::Null).await
    }

    async fn tasks(&self, options: &Tasks) -> Result<Ran, Ran> {
        let state = options.state.as_deref().map(state).transpose()?;
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
        let ran = self.print(&page, show::tasks);
        Ok(match &page.next {
            Some(next) => ran.note(&format!("There are more: `tasks --after {next}`.")),
            None => ran,
        })
    }

    async fn drain(&self, options: &Drain) -> Result<Ran, Ran> {
        let within_ms = options.within_ms;
        self.done(api::DRAIN, &DrainRequest { within_ms }).await
    }

    async fn dump(&self) -> Result<Ran, Ran> {
        let dump: Value = self.get(api::DUMP, &[]).await?;
        Ok(self.print(&dump, |dump| format!("{dump:#}\n")))
    }

    async fn worker(&self, options: &Worker) -> Result<Ran, Ran> {
        let Some(WorkerCommand::Lost(named)) = &options.command else {
            let message = "Say what is known of the worker: `worker lost NAME`.";
            return Err(Ran::ended(Exit::BadInput, message));
        };
        let worker = checked_name(&named.name)?.into();
        self.done(&api::worker_lost_path(&worker), &Value::Null)
            .await
    }

    async fn done<B: Serialize + Sync>(&self, path: &str, body: &B) -> Result<Ran, Ran> {
        let done: Done = self.post(path, body).await?;
        Ok(self.print(&done, |done| format!("{}\n", done.message)))
    }
}

fn applied_text(reply: &ApplyReply) -> String {
    match reply {
        ApplyReply::Accepted {
            version,
            changes,
            in_force,
            pending,
            passed_over,
        } => {
            let mut text = format!("Accepted as version {version}.\n");
            text.push_str(&show::changes(changes));
            let lists = [
                ("In force on", in_force),
                ("Not yet known to be in force on", pending),
                ("Passed over, because they cannot be serving:", passed_over),
            ];
            for (label, daemons) in lists.iter().filter(|(_, daemons)| !daemons.is_empty()) {
                text.push_str(&format!("{label} {}\n", show::names(daemons)));
            }
            text
        }
        ApplyReply::Invalid { .. } => String::new(),
        ApplyReply::Overtaken {
            version,
            by,
            theirs,
            conflicts,
        } => {
            let mut text = format!("Not applied: {by} came first with version {version}:\n");
            text.push_str(&show::changes(theirs));
            if !conflicts.is_empty() {
                text.push_str("Both changed:\n");
                text.push_str(&show::conflicts(conflicts));
            }
            text
        }
        ApplyReply::Unreachable { daemons } => format!(
            "Not applied: {} may be serving and did not answer.\nIf you know that one is dead, say `--without NAME`.\n",
            show::names(daemons)
        ),
    }
}

/// Adds the findings for people, and fails the command if one is an error.
fn report(mut ran: Ran, file: &str, text: &str, findings: &[Finding]) -> Ran {
    if !findings.is_empty() {
        ran.stderr
            .push_str(&Report::new(file, text, findings).render());
    }
    if any_error(findings) {
        return ran.exit(Exit::BadInput);
    }
    ran
}

fn failed(failure: &Failure, json: bool) -> Ran {
    let mut ran = Ran::ended(failure.exit, &failure.problem.reason);
    if json {
        ran.stdout = json_line(&failure.problem);
    }
    let retry = failure.problem.retry_after_ms;
    retry.map_or(ran.clone(), |ms| {
        ran.note(&format!("Try again in {ms} ms."))
    })
}

fn json_line<T: Serialize>(answer: &T) -> String {
    let text = serde_json::to_string(answer).unwrap_or_default();
    format!("{text}\n")
}

fn read_file(path: &str) -> Result<String, Ran> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("{path} cannot be read: {error}");
        Ran::ended(Exit::BadInput, &message)
    })
}

fn checked_name(name: &str) -> Result<&str, Ran> {
    if is_valid_name(name) {
        return Ok(name);
    }
    let message = format!("`{name}` is no name: use letters of ASCII, digits, `-`, `_` or `.`");
    Err(Ran::ended(Exit::BadInput, &message))
}

fn state(word: &str) -> Result<TaskState, Ran> {
    let state = serde_json::from_value(Value::from(word));
    state.map_err(|_| {
        let message = format!("`{word}` is no state of a task; see `tasks --help`");
        Ran::ended(Exit::BadInput, &message)
    })
}
