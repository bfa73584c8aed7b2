//! Carries one request to a target, here or at another host.

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

const FAILURES_MAX: u32 = 3;
/// Weight of requests on open routes among the client accounts.
const OPEN_WEIGHT: u32 = 1;
/// Bytes that an answer is expected to have until its length is known.
const ANSWER_BYTES: u64 = 16 * 1_024;
/// Header by which a target says that it did not run a request.
const VERDICT: &str = "toucanhoist-verdict";

/// Where a request comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry host, which handed over the attempt.
    Host {
        /// Name of the host.
        name: id::EntryHost,
        /// Number of its attempt.
        attempt: u32,
    },
}

/// Runs a request and returns the head of its answer.
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
        let ask = ask(context, tasks, origin, head, payload, &tried, failures > 0);
        let outcome = match tasks.room.place(ask, head.fingerprint).await {
            Placement::Run(slot) => run_here(context, tasks, head, payload, slot).await,
            Placement::Forward { host, reason } => {
                context.journal.record(
                    Event::Forwarded,
                    head.request,
                    &[("to", &host), ("attempt", &attempt), ("reason", &reason)],
                );
                let outcome = tasks.peers.forward(&host, attempt, head, payload, tasks).await;
                note_outcome(tasks, head, &host, &outcome);
                tried.push(host);
                outcome
            }
            // An earlier attempt says more than that nothing else is left to try.
            Placement::Refuse(refusal) => return Err(with_cause(refusal, last)),
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

/// Returns the fingerprint of a request; a body that streams is left out.
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

/// Returns the refusal of an earlier attempt, where there was one, with the newest time to come back.
fn with_cause(refusal: Refusal, last: Option<Refusal>) -> Refusal {
    let Some(last) = last else { return refusal };
    Refusal { retry_after: refusal.retry_after.or(last.retry_after), ..last }
}

fn ask(
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
        bytes: ANSWER_BYTES + sent_bytes(payload),
        forwarded: *origin != Origin::Caller,
        tried: tried.to_vec(),
        retry,
    }
}

fn sent_bytes(payload: &Payload) -> u64 {
    match payload {
        Payload::Buffered(content) => content.len() as u64,
        Payload::Stream(_) => ANSWER_BYTES,
    }
}

/// Tells the room what another host's answer says of that host.
fn note_outcome(
    tasks: &Tasks,
    head: &Head,
    host: &id::EntryHost,
    outcome: &Result<Answer, Refusal>,
) {
    let Err(refusal) = outcome else { return };
    match refusal.code {
        Code::NoRoom => tasks.room.refused(host.clone(), head.service.clone()),
        Code::TargetUnreachable | Code::Leaving => tasks.room.unreached(host.clone()),
        _ => {}
    }
}

/// Whether a request may go elsewhere: only if it did not run. The room bounds the hosts that are
/// asked, and the retries after failures by the service's budget.
fn may_retry(refusal: &Refusal, failures: u32, head: &Head) -> bool {
    let elsewhere = match refusal.code {
        Code::NoRoom | Code::Leaving | Code::NotReady => true,
        Code::TargetUnreachable => failures < FAILURES_MAX,
        _ => false,
    };
    elsewhere && refusal.verdict == Verdict::NotRun && Instant::now() < head.deadline
}

async fn run_here(
    context: &Context,
    tasks: &Tasks,
    head: &Head,
    payload: &mut Payload,
    mut slot: Slot,
) -> Result<Answer, Refusal> {
    let catalog = tasks.fleet.catalog();
    let known = catalog.service(&head.service);
    let target = known.and_then(|s| s.targets.iter().find(|t| t.name == *slot.target()));
    let Some(target) = target else {
        return Err(Refusal::not_run(Code::NoRoom, "the target has left the configuration"));
    };
    tasks.accounts.recheck(head.account.as_ref(), head.key.as_ref())?;
    context.journal.record(
        Event::Placed,
        head.request,
        &[("target", &target.name), ("address", &target.address), ("reason", &slot.reason())],
    );
    match tasks.targets.run(target.name.as_str(), target.address, head, payload).await {
        Ok(answer) => match shed(&answer) {
            Some(pause) => {
                slot.end(Outcome::Shed { pause });
                Err(Refusal::not_run(Code::NoRoom, "the target shed the request"))
            }
            None => {
                slot.answered();
                Ok(target::attach(answer, slot))
            }
        },
        Err(refusal) => {
            match refusal.code {
                Code::TargetUnreachable => slot.end(Outcome::Unreachable),
                Code::TargetFailed => slot.broke_off(),
                _ => {}
            }
            Err(refusal)
        }
    }
}

/// Returns the pause that a target asks for, if it refused a request because of its load.
fn shed(answer: &Answer) -> Option<Option<Duration>> {
    let verdict = answer.headers.get(VERDICT)?;
    if answer.status != StatusCode::SERVICE_UNAVAILABLE || verdict != Verdict::NotRun.as_str() {
        return None;
    }
    let pause = answer.headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    Some(pause.and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs))
}
