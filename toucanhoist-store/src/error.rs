use std::fmt;

/// A call to the platform that did not succeed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
}

/// What an [`Error`] is about.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A check of the transaction did not hold; nothing was written.
    Conflict,
    /// The call did not reach the platform, or the platform refused it; nothing was written.
    Unavailable(Box<str>),
    /// The call may have taken effect; its answer did not come.
    Unknown(Box<str>),
}

impl Error {
    /// Creates an error.
    pub fn new(kind: ErrorKind) -> Error {
        Error { kind }
    }

    /// Returns what this error is about.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Whether a check of the transaction did not hold.
    pub fn is_conflict(&self) -> bool {
        self.kind == ErrorKind::Conflict
    }

    /// Whether the call may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self.kind, ErrorKind::Unknown(_))
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Conflict => f.write_str("a check of the transaction did not hold"),
            ErrorKind::Unavailable(why) => write!(f, "the platform is not available: {why}"),
            ErrorKind::Unknown(why) => write!(f, "the call may have taken effect: {why}"),
        }
    }
}
