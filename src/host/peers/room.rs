//! Exchange of capacity digests between entry hosts.

use {
    tonic::{Request, Response, Status},
    toucanhoist_wire::room::{Digest, room_server::Room},
};

use super::Service;

#[tonic::async_trait]
impl Room for Service {
    async fn exchange(&self, request: Request<Digest>) -> Result<Response<Digest>, Status> {
        let mut message = request.into_inner();
        let invalid = |error: toucanhoist_wire::Error| Status::invalid_argument(error.to_string());
        let host = message.host().map_err(invalid)?;
        let reports = message.take_suspicions().map_err(invalid)?;
        let digest = message.try_into().map_err(invalid)?;
        let own = self.tasks.room.exchange(host, digest, reports).await;
        let own = own.ok_or_else(|| Status::unavailable("the host is stopping"))?;
        Ok(Response::new(own))
    }
}
