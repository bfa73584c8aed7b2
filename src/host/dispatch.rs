//! Sends one request to a target, from this host or through another one.

use std::time::Duration;

use {
    http::{StatusCode, header},
    tokio::time::Instant,
    toucanhoist_core::{
        event::Event,
        id,
        quarantine::Fingerprint,
        refusal::{Code, Refusal, Verdict},
        room::{Outcome, PlacementRequest},
    },
};

use super::{
    Context, Tasks,
    exchange::{Answer, Head, Payload},
    room::{Placement, Slot},
    target,
};

/// Largest number of retries of a request after attempts that did not reach a target.
const FAILURES_MAX: u32 = 3;
/// Weight of requests on open routes, which have no client account.
const OPEN_WEIGHT: u32 = 1;
/// Assumed size of a body whose length is not known.
const ASSUMED_BODY_BYTES: u64 = 16 * 1_024;
/// Header in which a target states that it did not run a request.
const VERDICT: &str = "toucanhoist-verdict";

/// Where a request comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry host, which forwarded an attempt.
    Host {
        /// Name of the host.
        name: id::EntryHost,
        /// Number of its attempt.
        attempt: u32,
    },
}

/// Runs a request, with retries, and returns its answer, the body of which may be a stream.
///
/// # Errors
///
/// The refusal says whether the request may have run.
pub async fn run(
    context: &Context,
    tasks: &Tasks,
    origin: &Origin,
    head: &Head,
    payload: &mut Payload,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut attempt = 0;
    let mut failures = 0;
    let mut last = None;
    loop {
        attempt += 1;
        let request =
            placement_request(context, tasks, origin, head, payload, &tried, failures > 0);
        let outcome = match tasks.room.place(request, head.fingerprint).await {
            Placement::Run(slot) => run_here(context, tasks, head, payload, slot).await,
            Placement::Forward { host, reason } => {
                context.journal.record(
                    Event::Forwarded,
                    head.request,
                    &[("to", &host), ("attempt", &attempt), ("reason", &reason)],
                );
                let outcome = tasks.peers.forward(&host, attempt, head, payload, tasks).await;
                report_outcome(tasks, head, &host, &outcome);
                tried.push(host);
                outcome
            }
            // The refusal of an earlier attempt says more than that nothing else is left to try.
            Placement::Refuse(refusal) => return Err(prefer_earlier(refusal, last)),
        };
        match outcome {
            Err(refusal) if may_retry(&refusal, failures, head) => {
                failures += u32::from(refusal.code == Code::TargetUnreachable);
                context.journal.record(
                    Event::Retried,
                    head.request,
                    &[("attempt", &attempt), ("code", &refusal.code), ("reason", &refusal.detail)],
                );
                last = Some(refusal);
            }
            outcome => return outcome,
        }
    }
}

/// Returns the fingerprint of a request; a streamed body is left out.
pub fn fingerprint(head: &Head, payload: &Payload) -> Fingerprint {
    let account = head.account.as_ref().map_or("", id::Account::as_str);
    let content: &[u8] = match payload {
        Payload::Buffered(content) => content,
        Payload::Stream(_) => &[],
    };
    Fingerprint::of(&[
        account.as_bytes(),
        head.service.as_str().as_bytes(),
        head.method.as_str().as_bytes(),
        head.path_and_query.as_bytes(),
        content,
    ])
}

/// Returns the refusal of the last attempt, if there was one, with the newest retry time.
fn prefer_earlier(refusal: Refusal, last: Option<Refusal>) -> Refusal {
    let Some(last) = last else { return refusal };
    Refusal { retry_after: refusal.retry_after.or(last.retry_after), ..last }
}

fn placement_request(
    context: &Context,
    tasks: &Tasks,
    origin: &Origin,
    head: &Head,
    payload: &Payload,
    tried: &[id::EntryHost],
    retry: bool,
) -> PlacementRequest {
    let catalog = tasks.fleet.catalog();
    let account = head.account.as_ref().and_then(|name| catalog.account(name));
    PlacementRequest {
        request: head.request,
        service: head.service.clone(),
        account: head.account.clone(),
        weight: account.map_or(OPEN_WEIGHT, |account| account.weight),
        deadline: context.clock.time(head.deadline),
        bytes: ASSUMED_BODY_BYTES + payload_bytes(payload),
        forwarded: *origin != Origin::Caller,
        tried: tried.to_vec(),
        retry,
    }
}

fn payload_bytes(payload: &Payload) -> u64 {
    match payload {
        Payload::Buffered(content) => content.len() as u64,
        Payload::Stream(_) => ASSUMED_BODY_BYTES,
    }
}

/// Reports to the room task that a forwarded request has ended, and whether the other host had no
/// capacity or could not be reached.
fn report_outcome(
    tasks: &Tasks,
    head: &Head,
    host: &id::EntryHost,
    outcome: &Result<Answer, Refusal>,
) {
    tasks.room.report_forward_end(host.clone(), head.service.clone());
    let Err(refusal) = outcome else { return };
    match refusal.code {
        Code::NoRoom => tasks.room.report_refusal(host.clone(), head.service.clone()),
        Code::TargetUnreachable | Code::Leaving => tasks.room.report_unreachable(host.clone()),
        _ => {}
    }
}

/// Whether a request may be tried again, which requires that it did not run. The room bounds the
/// hosts that are tried, and the retries after failures by the service's retry budget.
fn may_retry(refusal: &Refusal, failures: u32, head: &Head) -> bool {
    let is_retryable = match refusal.code {
        Code::NoRoom | Code::Leaving | Code::NotReady => true,
        Code::TargetUnreachable => failures < FAILURES_MAX,
        _ => false,
    };
    is_retryable && refusal.verdict == Verdict::NotRun && Instant::now() < head.deadline
}

async fn run_here(
    context: &Context,
    tasks: &Tasks,
    head: &Head,
    payload: &mut Payload,
    mut slot: Slot,
) -> Result<Answer, Refusal> {
    let catalog = tasks.fleet.catalog();
    let service = catalog.service(&head.service);
    let target = service.and_then(|s| s.targets.iter().find(|t| t.name == *slot.target()));
    let Some(target) = target else {
        return Err(Refusal::not_run(Code::NoRoom, "the target is no longer in the configuration"));
    };
    tasks.accounts.recheck(head.account.as_ref(), head.key.as_ref())?;
    context.journal.record(
        Event::Placed,
        head.request,
        &[("target", &target.name), ("address", &target.address), ("reason", &slot.reason())],
    );
    match tasks.targets.run(target.name.as_str(), target.address, head, payload).await {
        Ok(answer) => match shed_pause(&answer) {
            Some(pause) => {
                slot.end(Outcome::Shed { pause });
                Err(Refusal::not_run(
                    Code::NoRoom,
                    "the target refused the request because it is overloaded",
                ))
            }
            None => {
                slot.record_answer();
                Ok(target::attach(answer, slot, head.deadline))
            }
        },
        Err(refusal) => {
            match refusal.code {
                Code::TargetUnreachable => slot.end(Outcome::Unreachable),
                Code::TargetFailed => slot.report_failure(),
                _ => {}
            }
            Err(refusal)
        }
    }
}

/// Returns `Some` if a target refused a request because of its load, with the pause that it asks
/// for, if any.
fn shed_pause(answer: &Answer) -> Option<Option<Duration>> {
    let verdict = answer.headers.get(VERDICT)?;
    if answer.status != StatusCode::SERVICE_UNAVAILABLE || verdict != Verdict::NotRun.as_str() {
        return None;
    }
    let pause = answer.headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    Some(pause.and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs))
}
