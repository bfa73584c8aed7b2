use std::time::Duration;

use toucanhoist_core::{id, refusal};

use crate::{Error, forward};

mod room;
mod steering;

impl forward::RequestPart {
    /// Returns the id of the request that the part belongs to.
    ///
    /// # Errors
    ///
    /// The field does not hold 16 bytes.
    pub fn request(&self) -> Result<id::Request, Error> {
        request(&self.request_id)
    }
}

impl forward::AnswerPart {
    /// Returns the id of the request that the part answers.
    ///
    /// # Errors
    ///
    /// The field does not hold 16 bytes.
    pub fn request(&self) -> Result<id::Request, Error> {
        request(&self.request_id)
    }
}

fn request(bytes: &[u8]) -> Result<id::Request, Error> {
    let bytes = bytes.try_into().map_err(|_| Error::field("request_id"))?;
    Ok(u128::from_be_bytes(bytes).into())
}

impl From<&refusal::Refusal> for forward::Refusal {
    fn from(refusal: &refusal::Refusal) -> forward::Refusal {
        let retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis();
        forward::Refusal {
            code: refusal.code.as_str().into(),
            verdict: refusal.verdict.as_str().into(),
            detail: refusal.detail.to_string(),
            retry_after_ms: u64::try_from(retry_after_ms).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<forward::Refusal> for refusal::Refusal {
    type Error = Error;

    fn try_from(message: forward::Refusal) -> Result<refusal::Refusal, Error> {
        Ok(refusal::Refusal {
            code: message.code.parse().map_err(|_| Error::field("code"))?,
            verdict: message.verdict.parse().map_err(|_| Error::field("verdict"))?,
            retry_after: (message.retry_after_ms > 0)
                .then(|| Duration::from_millis(message.retry_after_ms)),
            detail: message.detail.into(),
        })
    }
}
