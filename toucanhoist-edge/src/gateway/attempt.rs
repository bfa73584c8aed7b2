//! Attempts of one request at targets.
//!
//! A request that must not run twice is sent again only when it is certain that no target ran it: nothing
//! was sent, or the target says so. A refusal that promises "not run" is made only under the same
//! condition.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header},
    http_body_util::Full,
    tokio::time::{self, Instant},
    toucanhoist_core::{
        event::Event,
        id,
        refusal::{Code, Refusal, Verdict},
        steering::{Attempt, Outcome, PlacementRequest, Refused, Ticket},
    },
};

use super::{
    Shared,
    answer::{self, Body},
    request::{Admitted, is_without_body},
};
use crate::{
    headers::strip_hop_by_hop,
    steer::{Input, Lease, Placed},
    target,
};

/// Targets that may prove unreachable before a request is refused.
const UNREACHABLE_MAX: u32 = 3;
/// Time after which a caller may come back whose request found no target that takes it.
const SHED_RETRY: Duration = Duration::from_millis(200);

/// Number of the next request of this process.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// What has been tried of a request.
#[derive(Default)]
struct Tried {
    targets: Vec<id::Target>,
    /// Sends that may have reached a target.
    sends: u32,
    unreachable: u32,
    /// Whether a target may have run it.
    may_have_run: bool,
    /// A target's own failure, which goes to the caller if nothing better comes.
    failure: Option<target::Answer>,
}

/// What comes after an attempt.
enum Next {
    Done(Response<Body>),
    Again,
    Refuse(Refusal),
}

/// Runs a request and returns its answer.
pub(super) async fn run(
    shared: &Arc<Shared>,
    request: &Admitted,
) -> Result<Response<Body>, Refusal> {
    let mut tried = Tried::default();
    loop {
        let lease = match place(shared, request, &tried).await {
            Ok(lease) => lease,
            Err(refusal) => return conclude(shared, request, tried, refusal),
        };
        match attempt(shared, request, lease, &mut tried).await {
            Next::Done(response) => return Ok(response),
            Next::Again => {
                shared.journal.record(
                    Event::Retried,
                    &request.id,
                    &[("sends", &tried.sends), ("unreachable", &tried.unreachable)],
                );
            }
            Next::Refuse(refusal) => return conclude(shared, request, tried, refusal),
        }
    }
}

/// Ends a request that no target answered well: with a target's own failure, where there is one.
fn conclude(
    shared: &Shared,
    request: &Admitted,
    tried: Tried,
    refusal: Refusal,
) -> Result<Response<Body>, Refusal> {
    if let Some(failure) = tried.failure {
        log_answer(shared, request, failure.head.status, tried.sends, None);
        return Ok(answer::of_target(failure, is_without_body(&request.head.method), None));
    }
    if tried.may_have_run && refusal.verdict == Verdict::NotRun {
        return Err(Refusal::may_have_run(Code::TargetFailed, refusal.detail));
    }
    Err(refusal)
}

/// Asks for a place at a target.
async fn place(shared: &Shared, request: &Admitted, tried: &Tried) -> Result<Lease, Refusal> {
    let clock = &shared.clock;
    let account_priority = request.account.as_ref().and_then(|account| account.priority);
    let ask = PlacementRequest {
        number: NEXT.fetch_add(1, Ordering::Relaxed),
        route: Arc::clone(&request.route),
        service: request.service.clone(),
        object: request.object,
        priority: account_priority.unwrap_or(request.route.priority),
        arrived: clock.time(request.arrived),
        deadline: clock.time(request.deadline),
        homes: request.homes.clone(),
        tried: tried.targets.clone(),
        attempt: match (tried.sends, tried.unreachable) {
            (0, 0) => Attempt::First,
            (0, _) => Attempt::Unsent,
            _ => Attempt::Retry,
        },
    };
    let placed = shared.steer.place(ask, request.fingerprint);
    match time::timeout_at(request.deadline, placed).await {
        Ok(Placed::At(lease)) => Ok(lease),
        Ok(Placed::Refused(reason, after)) => Err(refused(reason, after)),
        Ok(Placed::Held(after)) => {
            Err(Refusal::not_run(Code::Quarantined, "requests like it crash targets")
                .retry_after(after.min(Duration::from_secs(5))))
        }
        Err(_) => Err(refused(Refused::NoRoom, SHED_RETRY)),
    }
}

fn refused(reason: Refused, after: Duration) -> Refusal {
    Refusal::not_run(Code::NoRoom, reason.as_str()).retry_after(after)
}

/// Sends a request to the target of a lease.
async fn attempt(
    shared: &Arc<Shared>,
    request: &Admitted,
    lease: Lease,
    tried: &mut Tried,
) -> Next {
    let ticket = lease.ticket().clone();
    tried.targets.push(ticket.target.clone());
    let sent = Instant::now();
    log_send(shared, request, &ticket, tried);
    let once = !request.route.repeatable;
    let exchange = shared.targets.run(ticket.address, &ticket.target, once, &request.id, || {
        build(shared, request, &ticket.target)
    });
    let outcome = match time::timeout_at(request.deadline, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => {
            lease.end(Outcome::Unanswered);
            tried.may_have_run = true;
            return Next::Refuse(Refusal::may_have_run(
                Code::DeadlineExceeded,
                format!("target {} did not answer in time", ticket.target),
            ));
        }
    };
    match outcome {
        Ok(answer) => judge(shared, request, lease, answer, sent, tried),
        Err(target::Error::Unreachable) => {
            lease.end(Outcome::Unreachable);
            tried.unreachable += 1;
            if tried.unreachable < UNREACHABLE_MAX && Instant::now() < request.deadline {
                return Next::Again;
            }
            let detail = format!("target {} cannot be reached", ticket.target);
            Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY))
        }
        Err(error) => {
            lease.end(Outcome::Broken);
            tried.sends += 1;
            tried.may_have_run = true;
            if error == target::Error::Broken {
                check_crash(shared, request, &ticket);
            }
            if may_repeat(request, tried) {
                return Next::Again;
            }
            let detail = format!("target {}: {error}", ticket.target);
            Next::Refuse(Refusal::may_have_run(Code::TargetFailed, detail))
        }
    }
}

/// Decides what an answer means.
fn judge(
    shared: &Shared,
    request: &Admitted,
    lease: Lease,
    answer: target::Answer,
    sent: Instant,
    tried: &mut Tried,
) -> Next {
    tried.sends += 1;
    let (status, report, took) = (answer.head.status, answer.report, sent.elapsed());
    let target = lease.ticket().target.clone();
    if answer.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        lease.end(if misdirected { Outcome::Misdirected } else { Outcome::Shed { report } });
        let more = tried.sends < request.route.attempts_max.max(1);
        if more && Instant::now() < request.deadline {
            return Next::Again;
        }
        let detail = format!("target {target} did not take it");
        return Next::Refuse(Refusal::not_run(Code::NoRoom, detail).retry_after(SHED_RETRY));
    }
    let failed = status.is_server_error() || promises_not_run(status);
    if failed {
        tried.may_have_run = true;
        lease.end(Outcome::Answered { took, report, failed });
        if promises_not_run(status) {
            // Without the target's word for it, the status must not reach the caller.
            if may_repeat(request, tried) {
                return Next::Again;
            }
            let detail = format!("target {target} answered {status} without saying it did not run");
            return Next::Refuse(Refusal::may_have_run(Code::TargetFailed, detail));
        }
        if may_repeat(request, tried) {
            tried.failure = Some(answer);
            return Next::Again;
        }
        log_answer(shared, request, status, tried.sends, Some(&target));
        return Next::Done(answer::of_target(answer, is_without_body(&request.head.method), None));
    }
    log_answer(shared, request, status, tried.sends, Some(&target));
    shared.steer.tell(Input::Survived(request.fingerprint));
    let rest = match &answer.rest {
        Some(_) => Some(lease),
        None => {
            lease.end(Outcome::Answered { took, report, failed });
            None
        }
    };
    Next::Done(answer::of_target(answer, is_without_body(&request.head.method), rest))
}

/// Whether a status promises callers that the request did not run.
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
fn may_repeat(request: &Admitted, tried: &Tried) -> bool {
    request.route.repeatable
        && tried.sends < request.route.attempts_max.max(1)
        && Instant::now() < request.deadline
}

/// Looks whether a target that broke a request off is gone, which makes the request a suspect.
fn check_crash(shared: &Arc<Shared>, request: &Admitted, ticket: &Ticket) {
    let (shared, ticket) = (Arc::clone(shared), ticket.clone());
    let fingerprint = request.fingerprint;
    tokio::spawn(async move {
        if !shared.targets.is_listening(ticket.address).await {
            shared.steer.tell(Input::Crashed(fingerprint, ticket.target));
        }
    });
}

/// Builds the request as a target gets it.
fn build(shared: &Shared, request: &Admitted, target: &id::Target) -> Request<Full<Bytes>> {
    let dialect = &shared.dialect;
    let mut built = Request::new(Full::new(request.body.clone()));
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
    // The client states the length of the body that it sends.
    headers.remove(header::CONTENT_LENGTH);
    for name in &dialect.target_only {
        headers.remove(name);
    }
    let left = request.deadline.saturating_duration_since(Instant::now());
    headers.insert(dialect.remaining_ms.clone(), HeaderValue::from(left.as_millis() as u64));
    let mut set = |name: &http::HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name.clone(), value);
        }
    };
    set(&dialect.request_id, &request.id);
    set(&dialect.expected_target, target.as_str());
    if let Some(account) = &request.account {
        set(&dialect.account, account.name.as_str());
    }
    built
}

fn log_send(shared: &Shared, request: &Admitted, ticket: &Ticket, tried: &Tried) {
    shared.journal.record(
        Event::Sent,
        &request.id,
        &[
            ("target", &ticket.target),
            ("attempt", &(tried.sends + 1)),
            ("busy", &format_args!("{:.1}", ticket.busy)),
            ("object", &format_args!("{:x}", ticket.object.unwrap_or_default())),
            ("recent", &ticket.recent),
            ("crossing", &ticket.crossing.as_str()),
            ("expected_ms", &format_args!("{:.0}", ticket.expected_s * 1e3)),
            ("waited_us", &request.arrived.elapsed().as_micros()),
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
    let service = request.service.to_string();
    let outcome = if status.is_success() { "success" } else { "failure" };
    metrics::counter!(
        "toucanhoist_answers_total",
        "service" => service.clone(), "account" => account.to_owned(), "outcome" => outcome
    )
    .increment(1);
    metrics::histogram!("toucanhoist_answer_seconds", "service" => service)
        .record(took.as_secs_f64());
}
