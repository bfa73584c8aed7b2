//! Attempts of one request at targets.
//!
//! A request that must not run twice is sent again only if it is certain that no target ran it: either
//! nothing was sent, or the target stated that it did not run it. The verdict `not-run` of a refusal is
//! given under the same condition.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    http::{HeaderValue, Request, Response, StatusCode, header},
    tokio::time::{self, Instant},
    toucanhoist_core::{
        event::Event,
        id,
        refusal::{Code, Refusal, Verdict},
        steering::{Announced, Attempt, Outcome, PlacementRequest, Refused, Ticket},
    },
};

use super::{
    Shared,
    answer::{self, Body},
    request::{Admitted, is_without_body},
};
use crate::{
    headers::strip_hop_by_hop,
    held::Content,
    journal::shortened,
    steer::{Decision, Input, Lease},
    target::{self, Cause},
};

/// Number of unreachable targets after which a request is refused.
const UNREACHABLE_MAX: u32 = 3;
/// `Retry-After` of requests that no target accepted.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Number of the next placement request of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Attempts of one request so far.
#[derive(Default)]
struct Attempts {
    targets: Vec<id::Target>,
    /// Sends that may have reached a target.
    sends: u32,
    unreachable: u32,
    /// Whether nothing was sent in the last attempt.
    is_unsent: bool,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// Failure answer of a target, which the caller gets if no later attempt succeeds.
    failure: Option<target::Answer>,
}

/// Next step after an attempt.
enum Next {
    Done(Response<Body>),
    Retry,
    Refuse(Refusal),
}

/// Runs a request and returns its answer.
pub(super) async fn run(
    shared: &Arc<Shared>,
    request: &Admitted,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let lease = match place(shared, request, &attempts).await {
            Ok(lease) => lease,
            Err(refusal) => return finish(shared, request, attempts, refusal),
        };
        match attempt(shared, request, lease, &mut attempts).await {
            Next::Done(response) => return Ok(response),
            Next::Retry => {
                shared.journal.record(
                    Event::Retried,
                    &request.id,
                    &[("sends", &attempts.sends), ("unreachable", &attempts.unreachable)],
                );
            }
            Next::Refuse(refusal) => return finish(shared, request, attempts, refusal),
        }
    }
}

/// Ends a request without a successful answer: with the failure answer of a target if there is one, or else
/// with the refusal.
fn finish(
    shared: &Arc<Shared>,
    request: &Admitted,
    attempts: Attempts,
    refusal: Refusal,
) -> Result<Response<Body>, Refusal> {
    if let Some(failure) = attempts.failure {
        log_answer(shared, request, failure.head.status, attempts.sends, None);
        return Ok(to_caller(shared, request, failure, None));
    }
    if attempts.may_have_run && refusal.verdict == Verdict::NotRun {
        return Err(Refusal::may_have_run(Code::TargetFailed, refusal.detail));
    }
    Err(refusal)
}

/// Asks for the lease of a target.
async fn place(shared: &Shared, request: &Admitted, attempts: &Attempts) -> Result<Lease, Refusal> {
    let clock = &shared.clock;
    let account_priority = request.account.as_ref().and_then(|account| account.priority);
    let placement = PlacementRequest {
        number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
        route: Arc::clone(&request.route),
        service: request.service.clone(),
        object: request.object,
        priority: account_priority.unwrap_or(request.route.priority),
        arrived: clock.time(request.arrived),
        deadline: clock.time(request.deadline),
        homes: request.homes.clone(),
        tried: attempts.targets.clone(),
        attempt: match (attempts.targets.is_empty(), attempts.is_unsent) {
            (true, _) => Attempt::First,
            (false, true) => Attempt::Unsent,
            (false, false) => Attempt::Retry,
        },
    };
    let decision = shared.steer.place(placement, request.fingerprint);
    match time::timeout_at(request.deadline, decision).await {
        Ok(Decision::Granted(lease)) => Ok(lease),
        Ok(Decision::Refused(reason, after)) => Err(no_room(reason, after)),
        Ok(Decision::Quarantined(after)) => {
            Err(Refusal::not_run(Code::Quarantined, "requests with the same content crash targets")
                .retry_after(after.min(Duration::from_secs(5))))
        }
        Err(_) => Err(no_room(Refused::NoRoom, SHED_RETRY_AFTER)),
    }
}

fn no_room(reason: Refused, after: Duration) -> Refusal {
    Refusal::not_run(Code::NoRoom, reason.as_str()).retry_after(after)
}

/// Sends a request to the target of a lease.
async fn attempt(
    shared: &Arc<Shared>,
    request: &Admitted,
    mut lease: Lease,
    attempts: &mut Attempts,
) -> Next {
    let ticket = lease.ticket().clone();
    attempts.targets.push(ticket.target.clone());
    // Without its name, a target that has taken over the address of another one would run the request.
    let Ok(expected) = HeaderValue::from_bytes(ticket.target.as_str().as_bytes()) else {
        lease.end(Outcome::Unsent);
        let detail = format!("no header can carry the name of target {}", ticket.target);
        return Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY_AFTER));
    };
    let sent = Instant::now();
    log_send(shared, request, &ticket, attempts);
    let exchange = target::Exchange {
        address: ticket.address,
        target: &ticket.target,
        at_most_once: !request.route.repeatable,
        request_id: &request.id,
        deadline: request.deadline,
        homes: &request.homes,
        born: ticket.born,
        gate: &ticket.gate,
        clock: shared.clock,
        fresh_after: shared.clock.instant(ticket.fresh_after),
    };
    let outcome = shared.targets.run(exchange, || build(shared, request, &expected)).await;
    match &outcome {
        Ok(answer) => {
            lease.set_via(answer.via.clone());
            if answer.is_leaving {
                log_leaving(shared, request, &ticket, answer);
            }
        }
        Err(failure) => {
            lease.set_via(failure.via.clone());
            log_failure(shared, request, &ticket, failure, sent);
        }
    }
    let is_tunnelled = lease.ticket().via.is_some();
    let error = outcome.as_ref().err().map(|failure| failure.error);
    attempts.is_unsent =
        matches!(error, Some(target::Error::Withdrawn | target::Error::Unreachable(_)));
    match outcome.map_err(|failure| failure.error) {
        Ok(answer) => handle_answer(shared, request, lease, answer, sent, attempts),
        Err(target::Error::Unreachable(Cause::DeadlinePassed)) => {
            lease.end(Outcome::Unsent);
            let detail = format!("no connection to target {} before the deadline", ticket.target);
            Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY_AFTER))
        }
        Err(error @ target::Error::Full) => {
            lease.end(Outcome::Unsent);
            let detail = error.to_string();
            Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY_AFTER))
        }
        // Each attempt goes to another target, so there are few of them.
        Err(target::Error::Withdrawn) => {
            lease.end(Outcome::Unsent);
            Next::Retry
        }
        Err(target::Error::Overdue) => {
            lease.end(Outcome::Unanswered);
            attempts.may_have_run = true;
            Next::Refuse(Refusal::may_have_run(
                Code::DeadlineExceeded,
                format!("target {} did not answer in time", ticket.target),
            ))
        }
        Err(target::Error::Unreachable(_)) => {
            lease.end(Outcome::Unreachable);
            attempts.unreachable += 1;
            if attempts.unreachable < UNREACHABLE_MAX && Instant::now() < request.deadline {
                return Next::Retry;
            }
            let detail = format!("target {} is unreachable", ticket.target);
            Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY_AFTER))
        }
        Err(error) => {
            lease.end(broken(error, is_tunnelled));
            attempts.sends += 1;
            attempts.may_have_run = true;
            if matches!(error, target::Error::Broken(_)) {
                check_crash(shared, request, &ticket);
            }
            if may_repeat(request, attempts) {
                return Next::Retry;
            }
            let detail = format!("target {}: {error}", ticket.target);
            Next::Refuse(Refusal::may_have_run(Code::TargetFailed, detail))
        }
    }
}

/// Handles an answer, and decides whether it goes to the caller.
fn handle_answer(
    shared: &Arc<Shared>,
    request: &Admitted,
    lease: Lease,
    answer: target::Answer,
    sent: Instant,
    attempts: &mut Attempts,
) -> Next {
    attempts.sends += 1;
    let (status, report, took) = (answer.head.status, answer.report, sent.elapsed());
    let announced = answer.announced;
    let target = lease.ticket().target.clone();
    if answer.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        lease.end(if is_misdirected {
            Outcome::Misdirected
        } else {
            Outcome::Shed { report, announced }
        });
        let has_attempts_left = attempts.sends < request.route.attempts_max.max(1);
        if has_attempts_left && Instant::now() < request.deadline {
            return Next::Retry;
        }
        let detail = format!("target {target} did not accept the request");
        return Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY_AFTER));
    }
    let failed = status.is_server_error() || promises_not_run(status);
    let outcome = Outcome::Answered { took, report, announced, failed };
    if failed {
        attempts.may_have_run = true;
        if promises_not_run(status) {
            lease.end(outcome);
            // A caller would take the status as a promise that the request did not run, and the target made
            // no such promise.
            if may_repeat(request, attempts) {
                return Next::Retry;
            }
            let detail = format!(
                "target {target} answered {status} without stating that the request did not run"
            );
            return Next::Refuse(Refusal::may_have_run(Code::TargetFailed, detail));
        }
        if may_repeat(request, attempts) {
            lease.end(outcome);
            attempts.failure = Some(answer);
            return Next::Retry;
        }
    } else {
        shared.steer.send(Input::Answered(request.fingerprint));
    }
    log_answer(shared, request, status, attempts.sends, Some(&target));
    if answer.rest.is_none() {
        lease.end(outcome);
        return Next::Done(to_caller(shared, request, answer, None));
    }
    // The lease ends with the body, but the limit must be kept from now on.
    shared.steer.send(Input::Announced(lease.ticket().clone().into(), announced));
    let outcome = Outcome::Answered { took, report, announced: Announced::Recorded, failed };
    Next::Done(to_caller(shared, request, answer, Some((lease, outcome))))
}

/// Returns the answer of a target for the caller. `lease` ends with the body.
fn to_caller(
    shared: &Arc<Shared>,
    request: &Admitted,
    answer: target::Answer,
    lease: Option<(Lease, Outcome)>,
) -> Response<Body> {
    let target::Answer { head, first, rest, permit, .. } = answer;
    let rest = rest.map(|body| answer::Rest::new(shared, request, body, lease, permit));
    answer::of_target(head, first, rest, is_without_body(&request.head.method))
}

/// Whether callers take a status as a promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a request that may have run may be sent again.
fn may_repeat(request: &Admitted, attempts: &Attempts) -> bool {
    request.route.repeatable
        && attempts.sends < request.route.attempts_max.max(1)
        && Instant::now() < request.deadline
}

/// Returns the outcome of an exchange that ended with an error.
fn broken(error: target::Error, is_tunnelled: bool) -> Outcome {
    match error {
        target::Error::Broken(Cause::Reset | Cause::TimedOut) => Outcome::Disconnected,
        // The host that carried it may have failed instead.
        target::Error::Broken(_) if is_tunnelled => Outcome::Disconnected,
        _ => Outcome::Broken,
    }
}

/// Reports a suspected crash if a target that broke off a request no longer accepts connections.
fn check_crash(shared: &Arc<Shared>, request: &Admitted, ticket: &Ticket) {
    let (shared, ticket) = (Arc::clone(shared), ticket.clone());
    let fingerprint = request.fingerprint;
    tokio::spawn(async move {
        if shared.targets.is_listening(ticket.address, &ticket.target).await == Some(false) {
            shared.steer.send(Input::Crashed(fingerprint, ticket.target));
        }
    });
}

/// Builds the request that is sent to the target with the name `expected`.
fn build(shared: &Shared, request: &Admitted, expected: &HeaderValue) -> Request<Content> {
    let dialect = &shared.dialect;
    let mut built = Request::new(request.body.clone());
    *built.method_mut() = request.head.method.clone();
    if let Some(path) = request.head.uri.path_and_query() {
        *built.uri_mut() = path.clone().into();
    }
    let headers = built.headers_mut();
    *headers = request.head.headers.clone();
    strip_hop_by_hop(headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    headers.remove(&dialect.account);
    // The HTTP library sets the length of the body that it sends.
    headers.remove(header::CONTENT_LENGTH);
    for name in &dialect.target_only {
        headers.remove(name);
    }
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    headers.insert(dialect.remaining_ms.clone(), HeaderValue::from(remaining.as_millis() as u64));
    headers.insert(dialect.request_id.clone(), request.id_header.clone());
    headers.insert(dialect.expected_target.clone(), expected.clone());
    if let Some(account) = &request.account_header {
        headers.insert(dialect.account.clone(), account.clone());
    }
    built
}

fn log_send(shared: &Shared, request: &Admitted, ticket: &Ticket, attempts: &Attempts) {
    shared.journal.record(
        Event::Sent,
        &request.id,
        &[
            ("target", &ticket.target),
            ("attempt", &(attempts.sends + 1)),
            ("busy", &format_args!("{:.1}", ticket.busy)),
            ("limit", &ticket.limit.map_or(Announced::Unlimited, Announced::Limit)),
            ("object", &format_args!("{:x}", ticket.object.unwrap_or_default())),
            ("recent", &ticket.recent),
            ("crossing", &ticket.crossing.as_str()),
            ("expected_ms", &format_args!("{:.0}", ticket.expected_s * 1e3)),
            ("waited_us", &request.arrived.elapsed().as_micros()),
        ],
    );
}

/// Logs an attempt without a complete answer.
fn log_failure(
    shared: &Shared,
    request: &Admitted,
    ticket: &Ticket,
    failure: &target::Failure,
    sent: Instant,
) {
    shared.journal.record(
        Event::AttemptFailed,
        &request.id,
        &[
            ("target", &ticket.target),
            ("error", &failure.error),
            ("connection", &if failure.is_kept { "kept" } else { "new" }),
            ("via", &failure.via.as_ref().map_or("", id::EntryHost::as_str)),
            ("connecting_us", &failure.connecting.as_micros()),
            ("micros", &sent.elapsed().as_micros()),
        ],
    );
}

/// Logs an answer which says that its target is leaving.
fn log_leaving(shared: &Shared, request: &Admitted, ticket: &Ticket, answer: &target::Answer) {
    shared.journal.record(
        Event::TargetLeaving,
        &request.id,
        &[
            ("target", &ticket.target),
            ("born", &ticket.born),
            ("status", &answer.head.status.as_u16()),
            ("via", &answer.via.as_ref().map_or("", id::EntryHost::as_str)),
            ("connecting_us", &answer.connecting.as_micros()),
        ],
    );
}

fn log_answer(
    shared: &Shared,
    request: &Admitted,
    status: StatusCode,
    sends: u32,
    target: Option<&id::Target>,
) {
    let account = request.account.as_ref().map_or("", |account| account.name.as_str());
    let target = target.map_or("", id::Target::as_str);
    let took = request.arrived.elapsed();
    shared.journal.record(
        Event::Answered,
        &request.id,
        &[
            ("status", &status.as_u16()),
            ("route", &request.route.name),
            ("revision", &request.revision),
            ("service", &request.service),
            ("account", &account),
            ("target", &target),
            ("sends", &sends),
            ("micros", &took.as_micros()),
        ],
    );
    let service = shortened(request.service.as_str()).to_owned();
    let outcome = if status.is_success() { "success" } else { "failure" };
    metrics::counter!(
        "toucanhoist_answers_total",
        "service" => service.clone(), "account" => shortened(account).to_owned(), "outcome" => outcome
    )
    .increment(1);
    metrics::histogram!("toucanhoist_answer_seconds", "service" => service)
        .record(took.as_secs_f64());
}
