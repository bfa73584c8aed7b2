//! Lists open submissions and settles them for operators.

use {
    serde::{Deserialize, Serialize},
    toucanhoist_core::{
        event::Event,
        id,
        submission::{Expect, Record, State, Write, Written},
    },
    toucanhoist_store::{Error, Version},
};

use super::{Handle, TABLE, recorder::present, unix_s};

const PAGE_ROWS: usize = 500;
const WRITE_DEADLINE: std::time::Duration = std::time::Duration::from_secs(5);

/// A submission whose outcome is open.
#[derive(Clone, Debug, Serialize)]
pub struct OpenSubmission {
    /// Key of its row: account, service and the caller's key.
    pub submission: Box<str>,
    /// Request of the attempt.
    pub request: id::Request,
    /// Number of the attempt.
    pub attempt: u32,
    /// Entry host that held it.
    pub holder: id::EntryHost,
    /// Unix time since which it is open, in seconds.
    pub since_s: u64,
    /// Reason why the outcome is open.
    pub reason: Box<str>,
}

/// An operator's finding about an open submission.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// Key of its row.
    pub submission: Box<str>,
    /// Whether it ran. If not, a resend may run.
    pub ran: bool,
    /// Operator who settles it.
    pub author: Box<str>,
    /// Reason that the operator gives.
    pub reason: Box<str>,
}

impl Handle {
    /// Lists the submissions whose outcome is open.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    pub async fn list_open(&self) -> Result<Vec<OpenSubmission>, Error> {
        let mut entries = Vec::new();
        let mut after = Version::default();
        loop {
            let rows = self.context.platform.scan(TABLE, after, PAGE_ROWS).await?;
            let Some(last) = rows.last().map(|row| row.version) else { return Ok(entries) };
            for row in rows {
                let record = row.value.as_deref().and_then(Record::from_json);
                entries.extend(record.and_then(|record| open_submission(row.key, record)));
            }
            after = last;
        }
    }

    /// Settles a submission whose outcome is open; returns whether it was settled.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    pub async fn settle(&self, settlement: &Settlement) -> Result<bool, Error> {
        let rows =
            self.context.platform.read(TABLE, std::slice::from_ref(&settlement.submission)).await?;
        let row = rows.into_iter().next().flatten().and_then(present);
        let found = row.and_then(|row| Some((row.version, Record::from_json(&row.value)?)));
        let Some((version, record)) = found else { return Ok(false) };
        if !matches!(record.state, State::Open { .. }) {
            return Ok(false);
        }
        let state = match settlement.ran {
            true => State::Settled {
                author: settlement.author.clone(),
                reason: settlement.reason.clone(),
            },
            false => State::Released,
        };
        let request = record.request;
        let settled = Record { state, changed_s: unix_s(), ..record };
        let write = Write {
            row: settlement.submission.clone(),
            expect: Expect::Version(version),
            value: Some(settled.to_json()),
        };
        let deadline = self.context.clock.now() + WRITE_DEADLINE;
        let written = self.recorder.write(write, deadline).await;
        self.context.journal.record(
            Event::SubmissionSettled,
            request,
            &[
                ("submission", &settlement.submission),
                ("ran", &settlement.ran),
                ("author", &settlement.author),
                ("reason", &settlement.reason),
                ("written", &format!("{written:?}")),
            ],
        );
        Ok(matches!(written, Written::Applied(_)))
    }
}

fn open_submission(submission: Box<str>, record: Record) -> Option<OpenSubmission> {
    let State::Open { reason } = record.state else { return None };
    Some(OpenSubmission {
        submission,
        request: record.request,
        attempt: record.attempt,
        holder: record.holder,
        since_s: record.changed_s,
        reason,
    })
}
