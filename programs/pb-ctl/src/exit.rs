//! Exit codes, and what a command answers.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done, and in force on every host where that applies.
    Done,
    /// Failed; nothing was changed.
    Failed,
    /// The arguments, the settings or a service file cannot be used.
    Usage,
    /// Another change came first, or the change was not accepted.
    Rejected,
    /// The answer was lost; the change may have been accepted.
    Unknown,
    /// Accepted and not in force on every host yet.
    Pending,
}

impl Exit {
    /// Every way to end, in the order of the codes.
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

    /// Returns the name in JSON output.
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

/// What a command answers.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// How it ended.
    pub exit: Exit,
    /// Text for people.
    pub text: String,
    /// The same for programs.
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

    /// Creates an answer that has only a text.
    #[must_use]
    pub fn plain<T: Into<String>>(exit: Exit, text: T) -> Self {
        let text = text.into();
        let value = json!({ "text": text });
        Self { exit, text, value }
    }

    /// Prints the answer and returns its exit code.
    ///
    /// The text goes to the standard output when the command is done, and to the standard error
    /// output otherwise. JSON always goes to the standard output, with the field `exit` added.
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

/// The answer to a change was lost, so its outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unacknowledged {
    /// Name of the change.
    pub change: String,
    /// What happened to the call.
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
