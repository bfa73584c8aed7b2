//! Service that spreads changes of the configuration between entry hosts.

use std::{net::SocketAddr, pin::Pin, sync::Arc};

use {
    bytes::Bytes,
    futures_util::{Stream, stream},
    tonic::{Request, Response, Status},
    toucanhoist_core::configuration::{Message, Reach, Snapshot},
    toucanhoist_wire::configuration::{
        Entries, Part, Position, Query,
        configuration_server::{Configuration, ConfigurationServer},
        entries, part,
    },
};

use crate::host::Tasks;

const MESSAGE_MAX_BYTES: usize = 64 * 1_024 * 1_024;
const CHUNK_BYTES: usize = 256 * 1_024;

struct Service {
    tasks: Tasks,
}

/// Creates the service.
pub(super) fn service(tasks: &Tasks) -> ConfigurationServer<impl Configuration> {
    let service = Service { tasks: tasks.clone() };
    ConfigurationServer::new(service)
        .max_decoding_message_size(MESSAGE_MAX_BYTES)
        .max_encoding_message_size(MESSAGE_MAX_BYTES)
}

type Parts = Pin<Box<dyn Stream<Item = Result<Part, Status>> + Send>>;

#[tonic::async_trait]
impl Configuration for Service {
    type FetchStream = Parts;

    async fn push(&self, request: Request<Entries>) -> Result<Response<Position>, Status> {
        let (from, message) = push_message(request.into_inner())
            .ok_or_else(|| Status::invalid_argument("malformed entries"))?;
        let answer = self.tasks.fleet.deliver_configuration(from, message).await;
        let answer = answer.ok_or_else(|| Status::unavailable("the host is stopping"))?;
        Ok(Response::new(Position { revision: answer.revision.as_u64() }))
    }

    async fn fetch(&self, request: Request<Position>) -> Result<Response<Parts>, Status> {
        let have = request.into_inner().revision.into();
        // The answer is returned by this call, so no address is needed to send it to.
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let answer =
            self.tasks.fleet.deliver_configuration(unspecified, Message::Pull { have }).await;
        let answer = answer.ok_or_else(|| Status::unavailable("the host is stopping"))?;
        let parts = answer.message.map(parts).unwrap_or_default();
        Ok(Response::new(Box::pin(stream::iter(parts.into_iter().map(Ok)))))
    }

    async fn locate(&self, _request: Request<Query>) -> Result<Response<Position>, Status> {
        let revision = self.tasks.fleet.catalog().revision().as_u64();
        Ok(Response::new(Position { revision }))
    }
}

fn push_message(message: Entries) -> Option<(SocketAddr, Message)> {
    let reach = match message.reach? {
        entries::Reach::Everywhere(reach) => {
            Reach::Everywhere { root: reach.root.parse().ok()?, hops: reach.hops }
        }
        entries::Reach::DataCentre(reach) => Reach::DataCentre { root: reach.root.parse().ok()? },
    };
    let entry = |bytes: &Bytes| serde_json::from_slice(bytes).map(Arc::new).ok();
    let entries = message.entries.iter().map(entry).collect::<Option<_>>()?;
    Some((message.from.parse().ok()?, Message::Push { entries, reach }))
}

fn parts(message: Message) -> Vec<Part> {
    match message {
        Message::Entries { entries } => {
            let json = |entry: &_| Bytes::from(serde_json::to_vec(entry).unwrap_or_default());
            entries.iter().map(|entry| part::Part::Entry(json(&**entry))).map(wrap).collect()
        }
        Message::Snapshot { snapshot } => snapshot_chunks(&snapshot),
        Message::Push { .. } | Message::Pull { .. } => Vec::new(),
    }
}

fn snapshot_chunks(snapshot: &Snapshot) -> Vec<Part> {
    let content = Bytes::from(snapshot.to_bytes());
    let starts = (0..content.len()).step_by(CHUNK_BYTES);
    let chunk = |start: usize| content.slice(start..content.len().min(start + CHUNK_BYTES));
    starts.map(|start| wrap(part::Part::Snapshot(chunk(start)))).collect()
}

fn wrap(part: part::Part) -> Part {
    Part { part: Some(part) }
}
