use std::{fmt, process::ExitCode};

/// Failure of a command.
#[derive(Debug)]
pub(super) enum Failure {
    /// Refused or failed.
    Failed(Box<str>),
    /// Faults in a document.
    Faults(Box<str>),
    /// Conflict with another operator's change.
    Conflict(Box<str>),
}

impl Failure {
    pub(super) fn failed(reason: impl fmt::Display) -> Failure {
        Failure::Failed(reason.to_string().into())
    }

    pub(super) fn exit_code(&self) -> ExitCode {
        match self {
            Failure::Failed(_) => ExitCode::from(1),
            Failure::Faults(_) => ExitCode::from(3),
            Failure::Conflict(_) => ExitCode::from(4),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Failed(text) | Failure::Faults(text) | Failure::Conflict(text) => {
                f.write_str(text)
            }
        }
    }
}
