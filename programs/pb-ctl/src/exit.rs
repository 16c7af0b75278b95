//! Exit codes and answers of commands.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

/// The result of a command, which determines the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; a change, if one was submitted, is in force on every host.
    Done,
    /// The command failed; nothing was changed.
    Failed,
    /// The arguments, the settings or a service file are invalid.
    Usage,
    /// The change conflicts with one that was accepted first, or it was not accepted.
    Rejected,
    /// The answer was lost; the change may have been accepted.
    Unknown,
    /// The change was accepted but is not yet in force on every host.
    Pending,
}

impl Exit {
    /// All results, ordered by exit code.
    pub const ALL: [Self; 6] = [
        Self::Done,
        Self::Failed,
        Self::Usage,
        Self::Rejected,
        Self::Unknown,
        Self::Pending,
    ];

    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Rejected => 3,
            Self::Unknown => 4,
            Self::Pending => 5,
        }
    }

    /// Returns the name that JSON output uses.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Usage => "usage",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
            Self::Pending => "pending",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

/// The answer of a command, printed as text or as JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Result of the command.
    pub exit: Exit,
    /// Answer as text for people.
    pub text: String,
    /// Answer as JSON for programs.
    pub value: Value,
}

impl Answer {
    /// Creates an answer.
    #[must_use]
    pub fn new<T: Into<String>>(exit: Exit, text: T, value: Value) -> Self {
        Self {
            exit,
            text: text.into(),
            value,
        }
    }

    /// Creates an answer whose JSON holds only the text.
    #[must_use]
    pub fn plain<T: Into<String>>(exit: Exit, text: T) -> Self {
        let text = text.into();
        let value = json!({ "text": text });
        Self { exit, text, value }
    }

    /// Prints the answer and returns its exit code.
    ///
    /// The text goes to the standard output for [`Exit::Done`], and to the standard error
    /// output otherwise. JSON always goes to the standard output: the result's name under `exit` and
    /// the value under `answer`.
    #[must_use]
    pub fn print(self, json: bool) -> ExitCode {
        if json {
            let document = json!({ "exit": self.exit.name(), "answer": self.value });
            println!("{document:#}");
        } else if self.exit == Exit::Done {
            println!("{}", self.text);
        } else {
            eprintln!("{}", self.text);
        }
        ExitCode::from(self.exit)
    }
}

/// The error for a change that was submitted and whose answer was lost.
///
/// The change may have been accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unacknowledged {
    /// ID of the change.
    pub change: String,
    /// Error that ended the call.
    pub reason: String,
}

impl std::fmt::Display for Unacknowledged {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "the outcome is unknown ({}); find out with: pb-ctl history --change-id {}",
            self.reason, self.change
        )
    }
}

impl std::error::Error for Unacknowledged {}

impl From<anyhow::Error> for Answer {
    fn from(error: anyhow::Error) -> Self {
        match error.downcast_ref::<Unacknowledged>() {
            Some(lost) => Self::new(
                Exit::Unknown,
                lost.to_string(),
                json!({ "change_id": lost.change, "reason": lost.reason }),
            ),
            None => Self::plain(Exit::Failed, format!("{error:#}")),
        }
    }
}
