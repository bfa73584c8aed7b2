/*!
Refusals of the data path.

A [`Refusal`] is the error of the whole path from caller to target. It carries a stable code and a
[`Verdict`] that says whether the request may have run.
*/

use std::{fmt, str::FromStr, time::Duration};

use crate::Error;

/// Whether a request may have run at a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// No target received any part of it.
    NotRun,
    /// A target may have run it.
    MayHaveRun,
    /// A target ran it.
    Ran,
}

impl Verdict {
    /// Returns the text that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = Error;

    fn from_str(text: &str) -> Result<Verdict, Error> {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
            .ok_or_else(|| Error::unit(text, "not-run, may-have-run or ran"))
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident $text:literal $status:literal $title:literal)*) => {
        /// Stable code of a refusal.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        #[non_exhaustive]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the code's text.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Code::$name => $text,)*
                }
            }

            /// Returns the HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self {
                    $(Code::$name => $status,)*
                }
            }

            /// Returns a short description, the same for every refusal of the code.
            pub fn title(self) -> &'static str {
                match self {
                    $(Code::$name => $title,)*
                }
            }
        }
    };
}

codes! {
    /// The request is malformed.
    BadRequest "bad-request" 400 "The request is malformed"
    /// No valid key came with the request.
    KeyRefused "key-refused" 401 "No valid key came with the request"
    /// The service is not known.
    UnknownService "unknown-service" 404 "No such service"
    /// No route of the service has the path.
    UnknownRoute "unknown-route" 404 "No such route"
    /// The route does not take the method.
    MethodNotAllowed "method-not-allowed" 405 "The route does not take this method"
    /// The same idempotency key came with another request.
    KeyReused "idempotency-key-reused" 422 "The Idempotency-Key was used for another request"
    /// The idempotency key is missing.
    KeyRequired "idempotency-key-required" 400 "The route requires an Idempotency-Key"
    /// The submission is still running.
    StillRunning "still-running" 409 "The submission is still running"
    /// The submission's outcome is open.
    OutcomeOpen "outcome-open" 409 "The outcome of the submission is not known"
    /// An operator settled the submission.
    OutcomeSettled "outcome-settled" 409 "An operator found that the submission ran"
    /// The answer of the submission was too large to be stored.
    AnswerNotKept "answer-not-kept" 409 "The submission ran, and its answer was not kept"
    /// The body is too large.
    BodyTooLarge "body-too-large" 413 "The body is too large"
    /// The request's head is too large.
    HeadTooLarge "head-too-large" 431 "The head of the request is too large"
    /// The client account is over its rate and burst.
    RateExceeded "rate-exceeded" 429 "The client account is over its rate"
    /// Too many invalid keys came from the address.
    TooManyGuesses "too-many-guesses" 429 "Too many refused keys from this address"
    /// No target has capacity.
    NoRoom "no-room" 503 "No target has room"
    /// The host is shutting down.
    Leaving "leaving" 503 "This entry host is leaving"
    /// The host cannot verify keys.
    KeysStale "keys-stale" 503 "This entry host cannot verify keys at present"
    /// The entry of the key's account in the configuration cannot be used.
    AccountUnusable "account-unusable" 503 "The account of the key cannot be served at present"
    /// The platform's store does not accept the submission.
    StoreUnavailable "store-unavailable" 503 "The submission cannot be recorded at present"
    /// The request is quarantined because it crashes targets.
    Quarantined "quarantined" 503 "Requests like this one crashed targets and are held off"
    /// The target cannot be reached.
    TargetUnreachable "target-unreachable" 502 "The target cannot be reached"
    /// The target, or a host on the way, failed after the request had been sent.
    TargetFailed "target-failed" 502 "The target failed while it had the request"
    /// The deadline passed.
    DeadlineExceeded "deadline-exceeded" 504 "The deadline passed"
    /// No configuration has arrived.
    NotReady "not-ready" 503 "This entry host has no configuration yet"
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Code {
    type Err = Error;

    fn from_str(text: &str) -> Result<Code, Error> {
        let code = Code::ALL.iter().copied().find(|code| code.as_str() == text);
        code.ok_or_else(|| Error::unit(text, "a refusal code"))
    }
}

/// A request that is not answered by a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Description of what happened, for people.
    pub detail: Box<str>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(code: Code, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { code, verdict: Verdict::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(code: Code, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { code, verdict: Verdict::MayHaveRun, retry_after: None, detail: detail.into() }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }
}

impl std::error::Error for Refusal {}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.verdict, self.detail)
    }
}
