//! The operators' listener.

use std::{
    io,
    sync::Arc,
    time::{Duration, SystemTime},
};

use {
    http::{Method, StatusCode, header},
    salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::ResBody},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    tokio::net::TcpListener,
    toucanhoist_core::{
        configuration::{
            Delta, Entry,
            effect::{self, Loss},
        },
        event::Event,
        fleet::{Day, Fleet, parse},
        id,
        key::Digest,
        quarantine::Report,
    },
    toucanhoist_edge::{connections::Port, recorder},
};

use super::{
    Context, Tasks,
    fleet::{Outcome, Proposal},
    gateway,
    listener::{self, Handling, Limits},
};

mod submissions;

const BODY_MAX_BYTES: usize = 256 * 1_024 * 1_024;

/// The operators' listener.
pub struct Server {
    listener: listener::Server,
}

impl Server {
    /// Serves operators.
    ///
    /// # Errors
    ///
    /// The certificate or its key cannot be read.
    pub async fn spawn(
        listener: TcpListener,
        context: &Context,
        tasks: &Tasks,
    ) -> io::Result<Server> {
        recorder::install();
        let operators = Operators { context: context.clone(), tasks: tasks.clone() };
        let router = Router::with_path("{**rest}").goal(operators);
        let tls = context.certificates().await?;
        let limits = Limits::default();
        let port = Port::new("operators", context.settings.machine.allotment().directory);
        let listener = listener::Server::spawn(listener, port, router, context, limits, tls);
        Ok(Server { listener })
    }

    /// Stops accepting, waits for running requests, and aborts them after `limit`.
    pub async fn stop(self, limit: Duration) {
        self.listener.stop(limit).await;
    }
}

struct Operators {
    context: Context,
    tasks: Tasks,
}

/// Reply to an operator.
struct Reply {
    status: StatusCode,
    content: Content,
}

enum Content {
    Json(Value),
    Text(String),
}

impl Reply {
    fn json<T: Serialize>(value: &T) -> Reply {
        Reply::with(StatusCode::OK, serde_json::to_value(value).unwrap_or_default())
    }

    fn with(status: StatusCode, value: Value) -> Reply {
        Reply { status, content: Content::Json(value) }
    }

    fn error(status: StatusCode, problem: &str) -> Reply {
        Reply::with(status, json!({"error": problem}))
    }
}

/// Body of a request to change the configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    base: id::Revision,
    author: Box<str>,
    reason: Box<str>,
    /// Identifier of the change, by which a repeated request is recognised.
    #[serde(default)]
    change: Option<id::Request>,
    /// Names of the losses that are confirmed.
    #[serde(default)]
    confirm: Vec<Box<str>>,
    fleet: Fleet,
}

/// Body of a request to grant or to withdraw a key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyRequest {
    account: Option<id::Account>,
    digest: Digest,
    author: Box<str>,
}

#[salvo::async_trait]
impl Handler for Operators {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        // A connection that is being closed gets its reply in vain.
        request.extensions().get::<Handling>().map(Handling::begin);
        let reply = self.reply(request).await;
        response.status_code(reply.status);
        let (kind, content) = match reply.content {
            Content::Json(value) => ("application/json", value.to_string()),
            Content::Text(text) => ("text/plain; version=0.0.4", text),
        };
        response.headers_mut().insert(header::CONTENT_TYPE, http::HeaderValue::from_static(kind));
        response.body(ResBody::Once(content.into()));
    }
}

impl Operators {
    async fn reply(&self, request: &mut Request) -> Reply {
        let path = request.uri().path().trim_matches('/').to_owned();
        let path: Vec<&str> = path.split('/').collect();
        let method = request.method().clone();
        match (&method, path.as_slice()) {
            (&Method::GET, ["health"]) => return Reply::json(&json!({"status": "ok"})),
            (&Method::GET, ["ready"]) => return self.ready(),
            _ => {}
        }
        if !self.is_operator(request) {
            let path = path.join("/");
            self.context.journal.note(Event::OperatorRefused, &[("path", &path)]);
            return Reply::error(
                StatusCode::UNAUTHORIZED,
                "the operator token is missing or wrong",
            );
        }
        match (&method, path.as_slice()) {
            (&Method::GET, ["metrics"]) => Reply {
                status: StatusCode::OK,
                content: Content::Text(recorder::install().render()),
            },
            (&Method::GET, ["status"]) => self.status(),
            (&Method::GET, ["explain", id]) => self.explain(id).await,
            (&Method::GET, ["configuration"]) => self.configuration(),
            (&Method::PUT, ["configuration"]) => self.change(request).await,
            (&Method::GET, ["configuration", "history"]) => self.history().await,
            (&Method::GET, ["configuration", "hosts"]) => {
                Reply::json(&self.tasks.fleet.revisions().await)
            }
            (&Method::POST, ["configuration", "effect"]) => self.effect(request).await,
            (&Method::GET, ["keys"]) => self.keys().await,
            (&Method::POST, ["keys"]) => self.grant(request).await,
            (&Method::POST, ["keys", "withdraw"]) => self.withdraw(request).await,
            (&Method::GET, ["quarantine"]) => self.quarantine().await,
            (&Method::DELETE, ["quarantine", fingerprint]) => self.release(fingerprint).await,
            (_, ["submissions", ..]) => self.submissions(request).await,
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn quarantine(&self) -> Reply {
        let reports = self.tasks.room.quarantine().await;
        let line = |report: &Report| {
            json!({
                "fingerprint": report.fingerprint,
                "stage": report.stage.as_str(),
                "targets": report.targets,
                "left_ms": u64::try_from(report.remaining.as_millis()).unwrap_or(u64::MAX),
            })
        };
        Reply::json(&reports.iter().map(line).collect::<Vec<Value>>())
    }

    async fn release(&self, fingerprint: &str) -> Reply {
        match fingerprint.parse() {
            Ok(fingerprint) if self.tasks.room.release(fingerprint).await => {
                Reply::json(&json!({"accepted": true}))
            }
            Ok(_) => Reply::error(StatusCode::NOT_FOUND, "the fingerprint is not quarantined"),
            Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn is_operator(&self, request: &Request) -> bool {
        let token = request.headers().get(header::AUTHORIZATION);
        let token = token.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        let digest = Digest::of(token.unwrap_or_default());
        self.context.settings.operator_token_sha256.matches(&digest)
    }

    fn ready(&self) -> Reply {
        let leaving = *self.context.leaving.borrow();
        let status = if self.tasks.fleet.is_ready() && self.tasks.accounts.is_ready() && !leaving {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let revision = self.tasks.fleet.catalog().revision();
        Reply::with(status, json!({"revision": revision, "leaving": leaving}))
    }

    fn status(&self) -> Reply {
        let (catalog, view) = (self.tasks.fleet.catalog(), self.tasks.fleet.view());
        let members: Vec<Value> = view
            .members
            .iter()
            .map(|member| {
                json!({
                    "name": member.name,
                    "data_centre": member.data_centre,
                    "callers": member.callers,
                    "state": format!("{:?}", member.state).to_lowercase(),
                })
            })
            .collect();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let old: Vec<_> = catalog.fleet().old_exceptions(Day::of_unix(now.as_secs())).collect();
        Reply::json(&json!({
            "host": self.context.settings.name,
            "data_centre": self.context.settings.data_centre,
            "revision": catalog.revision(),
            "accounts": self.tasks.accounts.status(),
            "members": members,
            "exceptions": catalog.fleet().exceptions,
            "old_exceptions": old,
        }))
    }

    async fn explain(&self, id: &str) -> Reply {
        let id: id::Request = match id.parse() {
            Ok(id) => id,
            Err(error) => return Reply::error(StatusCode::BAD_REQUEST, &format!("{error}")),
        };
        let decisions = self.context.journal.explain(id).await;
        if decisions.is_empty() {
            return Reply::error(
                StatusCode::NOT_FOUND,
                "this host has no recent decision about the request; \
                 ask the entry host that the caller used",
            );
        }
        let mut ask_too: Vec<&str> = decisions
            .iter()
            .filter(|entry| entry.event == Event::Forwarded)
            .filter_map(|entry| entry.fields.get("to"))
            .collect();
        ask_too.dedup();
        Reply::json(&json!({
            "request": id,
            "host": self.context.settings.name,
            "decisions": decisions,
            "ask_too": ask_too,
        }))
    }

    fn configuration(&self) -> Reply {
        let catalog = self.tasks.fleet.catalog();
        Reply::json(&json!({"revision": catalog.revision(), "fleet": catalog.fleet()}))
    }

    async fn change(&self, request: &mut Request) -> Reply {
        let change: ChangeRequest = match body(request, &self.context).await {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        if change.reason.trim().is_empty() || change.author.trim().is_empty() {
            return Reply::error(StatusCode::BAD_REQUEST, "a change needs an author and a reason");
        }
        if let Err(error) = change.fleet.check() {
            self.context.journal.note(
                Event::ConfigurationRefused,
                &[("author", &change.author), ("reason", &error)],
            );
            return Reply::error(StatusCode::UNPROCESSABLE_ENTITY, &error.to_string());
        }
        let ChangeRequest { base, author, reason, change, confirm, fleet } = change;
        let change = change.unwrap_or_else(|| rand::random::<u128>().into());
        let proposal = Proposal { base, change, author, reason, confirm, fleet };
        match self.tasks.fleet.change(proposal).await {
            Outcome::Accepted(revision) => {
                Reply::json(&json!({"revision": revision, "change": change}))
            }
            Outcome::Conflict(entries) => conflict(&entries),
            Outcome::Unconfirmed(losses) => unconfirmed(&losses),
            Outcome::Failed(error) => not_accepted(&error),
        }
    }

    /// Returns what a configuration would change and remove.
    async fn effect(&self, request: &mut Request) -> Reply {
        let fleet: Fleet = match body(request, &self.context).await {
            Ok(fleet) => fleet,
            Err(reply) => return reply,
        };
        let catalog = self.tasks.fleet.catalog();
        let old = catalog.fleet();
        let losses = effect::losses(old, &fleet);
        let unconfirmed = effect::unconfirmed(losses.clone(), old.defaults.loss_cap, &[]);
        Reply::json(&json!({
            "revision": catalog.revision(),
            "touches": Delta::between(old, &fleet).touches(old),
            "losses": losses,
            "unconfirmed": unconfirmed,
        }))
    }

    async fn history(&self) -> Reply {
        match self.tasks.fleet.history().await {
            Ok(changes) => {
                let line = |change: &Entry| entry_line(change);
                Reply::json(&changes.iter().map(line).collect::<Vec<Value>>())
            }
            Err(error) => Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn keys(&self) -> Reply {
        match self.tasks.accounts.list().await {
            Ok(keys) => {
                let line = |(digest, grant): &(Box<str>, super::accounts::Grant)| {
                    json!({
                        "digest": digest,
                        "account": grant.account,
                        "author": grant.author,
                        "withdrawn": grant.withdrawn,
                    })
                };
                Reply::json(&keys.iter().map(line).collect::<Vec<Value>>())
            }
            Err(error) => Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn grant(&self, request: &mut Request) -> Reply {
        let grant: KeyRequest = match body(request, &self.context).await {
            Ok(grant) => grant,
            Err(reply) => return reply,
        };
        let catalog = self.tasks.fleet.catalog();
        let known = grant.account.filter(|account| catalog.account(account).is_some());
        let Some(account) = known else {
            return Reply::error(StatusCode::UNPROCESSABLE_ENTITY, "no such client account");
        };
        match self.tasks.accounts.grant(grant.digest, account, &grant.author).await {
            Ok(()) => Reply::json(&json!({"accepted": true})),
            Err(error) => not_accepted(&error),
        }
    }

    async fn withdraw(&self, request: &mut Request) -> Reply {
        let withdrawal: KeyRequest = match body(request, &self.context).await {
            Ok(withdrawal) => withdrawal,
            Err(reply) => return reply,
        };
        match self.tasks.accounts.withdraw(withdrawal.digest, &withdrawal.author).await {
            Ok(Some(withdrawal)) => withdrawn(&withdrawal),
            Ok(None) => Reply::error(StatusCode::NOT_FOUND, "no such key"),
            Err(error) => not_accepted(&error),
        }
    }
}

/// Returns the reply to a withdrawal. One that no other host knows of is recorded, but not
/// accepted.
fn withdrawn(withdrawal: &super::accounts::Withdrawal) -> Reply {
    if withdrawal.is_accepted() {
        return Reply::json(&json!({"accepted": true, "unconfirmed": withdrawal.unconfirmed}));
    }
    let error = "recorded, but no other entry host has confirmed it: withdraw again";
    let unconfirmed = &withdrawal.unconfirmed;
    Reply::with(
        StatusCode::SERVICE_UNAVAILABLE,
        json!({"error": error, "accepted": Value::Null, "unconfirmed": unconfirmed}),
    )
}

fn entry_line(entry: &Entry) -> Value {
    json!({
        "revision": entry.revision,
        "change": entry.change,
        "author": entry.author,
        "reason": entry.reason,
        "at_unix_ms": entry.at_unix_ms,
        "touches": entry.touches,
    })
}

/// Returns the reply to a change that conflicts with accepted ones, which it lists.
fn conflict(entries: &[Arc<Entry>]) -> Reply {
    let latest = entries.last().map(|entry| entry_line(entry)).unwrap_or_default();
    let mut value = json!({"error": "another change was accepted first"});
    if let (Value::Object(value), Value::Object(latest)) = (&mut value, latest) {
        value.extend(latest);
    }
    value["changes"] = entries.iter().map(|entry| entry_line(entry)).collect();
    Reply::with(StatusCode::CONFLICT, value)
}

fn unconfirmed(losses: &[Loss]) -> Reply {
    let names: Vec<String> = losses.iter().map(ToString::to_string).collect();
    let problem =
        format!("too much would be removed at once ({}); confirm it by name", names.join(", "));
    let value = json!({"error": problem, "unconfirmed": losses});
    Reply::with(StatusCode::UNPROCESSABLE_ENTITY, value)
}

fn not_accepted(error: &toucanhoist_store::Error) -> Reply {
    let accepted = if error.is_unknown() { Value::Null } else { Value::Bool(false) };
    Reply::with(
        StatusCode::SERVICE_UNAVAILABLE,
        json!({"error": error.to_string(), "accepted": accepted}),
    )
}

/// Reads and parses the body of a request, out of the budget of bytes that callers have too.
async fn body<T: DeserializeOwned>(request: &mut Request, context: &Context) -> Result<T, Reply> {
    let bad_request = |problem: &str| Reply::error(StatusCode::BAD_REQUEST, problem);
    let content = gateway::collect(request, BODY_MAX_BYTES, &context.memory).await;
    let content = content.map_err(|refusal| {
        let status = StatusCode::from_u16(refusal.code.status());
        Reply::error(status.unwrap_or(StatusCode::BAD_REQUEST), &refusal.detail)
    })?;
    let text = std::str::from_utf8(&content).map_err(|error| bad_request(&error.to_string()))?;
    parse(text).map_err(|error| bad_request(&error.to_string()))
}
