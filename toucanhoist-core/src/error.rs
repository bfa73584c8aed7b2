use std::fmt;

/// Error of a value that the core does not accept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
}

/// Kind of an [`Error`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// Text that is not a name.
    Name {
        /// The text.
        found: Box<str>,
    },
    /// Text that is not a quantity of the expected unit.
    Unit {
        /// The text.
        found: Box<str>,
        /// Description of the accepted values.
        allowed: &'static str,
    },
    /// A document with faults.
    Document {
        /// All faults found.
        faults: Vec<Fault>,
    },
}

/// A fault in a document.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Fault {
    /// JSON pointer to the value.
    pub pointer: Box<str>,
    /// Description of the value found and of the allowed values.
    pub problem: Box<str>,
    /// Known name most similar to an unknown one.
    pub nearest: Option<Box<str>>,
}

impl Error {
    /// Returns the kind of the error.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    pub(crate) fn name(found: &str) -> Error {
        Error { kind: ErrorKind::Name { found: found.into() } }
    }

    pub(crate) fn unit(found: &str, allowed: &'static str) -> Error {
        Error { kind: ErrorKind::Unit { found: found.into(), allowed } }
    }

    /// Creates the error of a document with `faults`.
    pub fn document(faults: Vec<Fault>) -> Error {
        Error { kind: ErrorKind::Document { faults } }
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Name { found } => write!(
                f,
                "{found:?} is not a name: allowed are 1 to 63 of a-z, 0-9, '-', '_' and '.'"
            ),
            ErrorKind::Unit { found, allowed } => write!(f, "{found:?} found, allowed: {allowed}"),
            ErrorKind::Document { faults } => {
                for (i, fault) in faults.iter().enumerate() {
                    if i > 0 {
                        writeln!(f)?;
                    }
                    write!(f, "{fault}")?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}",
            if self.pointer.is_empty() { "/" } else { &self.pointer },
            self.problem
        )?;
        if let Some(nearest) = &self.nearest {
            write!(f, "; nearest known name: {nearest:?}")?;
        }
        Ok(())
    }
}
