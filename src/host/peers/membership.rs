//! Service that receives messages of other hosts' failure detectors.

use {
    tonic::{Request, Response, Status},
    toucanhoist_wire::membership::{
        Message, Replies,
        membership_server::{Membership, MembershipServer},
    },
};

use crate::host::Tasks;

struct Service {
    tasks: Tasks,
}

/// Creates the service.
pub(super) fn service(tasks: &Tasks) -> MembershipServer<impl Membership> {
    MembershipServer::new(Service { tasks: tasks.clone() })
}

#[tonic::async_trait]
impl Membership for Service {
    async fn deliver(&self, request: Request<Message>) -> Result<Response<Replies>, Status> {
        let message = request.into_inner().try_into();
        let message = message.map_err(|error: toucanhoist_wire::Error| {
            Status::invalid_argument(error.to_string())
        })?;
        let replies = self.tasks.fleet.deliver_membership(message).await;
        let messages = replies.into_iter().map(Into::into).collect();
        Ok(Response::new(Replies { messages }))
    }
}
