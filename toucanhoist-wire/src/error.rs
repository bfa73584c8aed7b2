use std::fmt;

/// A message with an invalid field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
}

/// The cause of an [`Error`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A field holds a value that its type does not allow.
    Field {
        /// Name of the field.
        name: &'static str,
    },
}

impl Error {
    /// Creates an error for a field with an invalid value.
    pub fn field(name: &'static str) -> Error {
        Error { kind: ErrorKind::Field { name } }
    }

    /// Returns the cause of this error.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ErrorKind::Field { name } => write!(f, "field {name} holds an invalid value"),
        }
    }
}
