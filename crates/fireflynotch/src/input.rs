//! Files and names that a user gives. Each error is the output of the failed command.

use conf::api::TaskState;
use conf::check::is_valid_name;
use serde_json::Value;

use crate::CommandOutput;
use crate::exit::ExitStatus;

/// Returns the text of a file.
pub fn read_file(path: &str) -> Result<String, CommandOutput> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("{path} cannot be read: {error}");
        CommandOutput::error(ExitStatus::BadInput, &message)
    })
}

/// Returns a name if it is valid for a task or a worker.
pub fn parse_name(name: &str) -> Result<&str, CommandOutput> {
    if is_valid_name(name) {
        return Ok(name);
    }
    let message =
        format!("`{name}` is not a valid name: use ASCII letters, digits, `-`, `_` or `.`");
    Err(CommandOutput::error(ExitStatus::BadInput, &message))
}

/// Returns the task state of this name, as the API writes it.
pub fn parse_task_state(name: &str) -> Result<TaskState, CommandOutput> {
    let state = serde_json::from_value(Value::from(name));
    state.map_err(|_| {
        let message = format!("`{name}` is not a task state; see `tasks --help`");
        CommandOutput::error(ExitStatus::BadInput, &message)
    })
}
