//! Requests by which operators list and settle open submissions.

use {
    http::{Method, StatusCode},
    salvo::Request,
    serde_json::json,
};

use super::{Operators, Reply, body, not_accepted};
use crate::host::submissions::Settlement;

impl Operators {
    pub(super) async fn submissions(&self, request: &mut Request) -> Reply {
        match (request.method().clone(), request.uri().path().trim_matches('/')) {
            (Method::GET, "submissions/open") => self.open_submissions().await,
            (Method::POST, "submissions/settle") => self.settle(request).await,
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn open_submissions(&self) -> Reply {
        match self.tasks.submissions.list_open().await {
            Ok(entries) => Reply::json(&entries),
            Err(error) => Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn settle(&self, request: &mut Request) -> Reply {
        let settlement: Settlement = match body(request, &self.context).await {
            Ok(settlement) => settlement,
            Err(reply) => return reply,
        };
        if settlement.reason.trim().is_empty() || settlement.author.trim().is_empty() {
            let problem = "a settlement needs an author and a reason";
            return Reply::error(StatusCode::BAD_REQUEST, problem);
        }
        match self.tasks.submissions.settle(&settlement).await {
            Ok(true) => Reply::json(&json!({"accepted": true})),
            Ok(false) => Reply::error(StatusCode::CONFLICT, "the submission is not open"),
            Err(error) => not_accepted(&error),
        }
    }
}
