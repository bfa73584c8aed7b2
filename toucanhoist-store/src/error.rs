use std::fmt;

/// A failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
}

/// The cause of an [`Error`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A condition of the transaction did not hold; nothing was written.
    Conflict,
    /// The call did not reach the platform, or the platform refused it; nothing was written.
    Unavailable(Box<str>),
    /// The call may have taken effect: its response was not received or could not be decoded.
    Unknown(Box<str>),
}

impl Error {
    /// Creates an error.
    pub fn new(kind: ErrorKind) -> Error {
        Error { kind }
    }

    /// Returns the cause of this error.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Whether a condition of the transaction did not hold.
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
            ErrorKind::Conflict => f.write_str("a condition of the transaction did not hold"),
            ErrorKind::Unavailable(reason) => write!(f, "the platform is not available: {reason}"),
            ErrorKind::Unknown(reason) => write!(f, "the call may have taken effect: {reason}"),
        }
    }
}
