//! Conversions of the failure detector's messages.

use toucanhoist_core::{id, membership as core};

use crate::{Error, membership as wire};

impl From<core::Message> for wire::Message {
    fn from(message: core::Message) -> wire::Message {
        wire::Message {
            from: Some(message.from.into()),
            revision: message.revision.as_u64(),
            era: message.era,
            digest: message.digest,
            records: message.records.into_iter().map(Into::into).collect(),
            unreachable: message.unreachable.iter().map(ToString::to_string).collect(),
            body: Some(message.body.into()),
        }
    }
}

impl TryFrom<wire::Message> for core::Message {
    type Error = Error;

    fn try_from(message: wire::Message) -> Result<core::Message, Error> {
        let records = message.records.into_iter().map(TryInto::try_into);
        Ok(core::Message {
            from: message.from.ok_or_else(|| Error::field("from"))?.try_into()?,
            revision: message.revision.into(),
            era: message.era,
            digest: message.digest,
            records: records.collect::<Result<_, _>>()?,
            unreachable: data_centres(&message.unreachable)?,
            body: message.body.ok_or_else(|| Error::field("body"))?.try_into()?,
        })
    }
}

impl From<core::Member> for wire::Member {
    fn from(member: core::Member) -> wire::Member {
        wire::Member {
            name: member.name.to_string(),
            incarnation: member.incarnation.0,
            data_centre: member.data_centre.to_string(),
            callers: member.callers.into(),
            peers: member.peers.to_string(),
            state: wire::State::from(member.state).into(),
        }
    }
}

impl TryFrom<wire::Member> for core::Member {
    type Error = Error;

    fn try_from(member: wire::Member) -> Result<core::Member, Error> {
        let state = wire::State::try_from(member.state).map_err(|_| Error::field("state"))?;
        Ok(core::Member {
            name: id::EntryHost::from_text(&member.name).map_err(|_| Error::field("name"))?,
            incarnation: core::Incarnation(member.incarnation),
            data_centre: data_centre(&member.data_centre)?,
            callers: member.callers.into(),
            peers: member.peers.parse().map_err(|_| Error::field("peers"))?,
            state: state.into(),
        })
    }
}

impl From<core::State> for wire::State {
    fn from(state: core::State) -> wire::State {
        match state {
            core::State::Live => wire::State::Live,
            core::State::Suspect => wire::State::Suspect,
            core::State::Leaving => wire::State::Leaving,
            core::State::Dead => wire::State::Dead,
        }
    }
}

impl From<wire::State> for core::State {
    fn from(state: wire::State) -> core::State {
        match state {
            wire::State::Live => core::State::Live,
            wire::State::Suspect => core::State::Suspect,
            wire::State::Leaving => core::State::Leaving,
            wire::State::Dead => core::State::Dead,
        }
    }
}

impl From<core::Body> for wire::message::Body {
    fn from(body: core::Body) -> wire::message::Body {
        match body {
            core::Body::Ping { probe } => wire::message::Body::Ping(wire::Ping { probe }),
            core::Body::Ack { probe, summaries } => {
                let summary = |summary: core::Summary| wire::Summary {
                    data_centre: summary.data_centre.to_string(),
                    digest: summary.digest,
                };
                let summaries = summaries.into_iter().map(summary).collect();
                wire::message::Body::Ack(wire::Ack { probe, summaries })
            }
            core::Body::Relay { probe, target } => {
                wire::message::Body::Relay(wire::Relay { probe, target: target.to_string() })
            }
            core::Body::Pull { data_centres } => {
                let data_centres = data_centres.iter().map(ToString::to_string).collect();
                wire::message::Body::Pull(wire::Pull { data_centres })
            }
            core::Body::Records => wire::message::Body::OnlyRecords(wire::Records {}),
        }
    }
}

impl TryFrom<wire::message::Body> for core::Body {
    type Error = Error;

    fn try_from(body: wire::message::Body) -> Result<core::Body, Error> {
        Ok(match body {
            wire::message::Body::Ping(ping) => core::Body::Ping { probe: ping.probe },
            wire::message::Body::Ack(ack) => {
                let summary = |summary: wire::Summary| {
                    let data_centre = data_centre(&summary.data_centre)?;
                    Ok(core::Summary { data_centre, digest: summary.digest })
                };
                let summaries = ack.summaries.into_iter().map(summary);
                let summaries = summaries.collect::<Result<_, Error>>()?;
                core::Body::Ack { probe: ack.probe, summaries }
            }
            wire::message::Body::Relay(relay) => core::Body::Relay {
                probe: relay.probe,
                target: relay.target.parse().map_err(|_| Error::field("target"))?,
            },
            wire::message::Body::Pull(pull) => {
                core::Body::Pull { data_centres: data_centres(&pull.data_centres)? }
            }
            wire::message::Body::OnlyRecords(_) => core::Body::Records,
        })
    }
}

fn data_centre(name: &str) -> Result<id::DataCentre, Error> {
    id::DataCentre::from_text(name).map_err(|_| Error::field("data_centre"))
}

fn data_centres(names: &[String]) -> Result<Vec<id::DataCentre>, Error> {
    names.iter().map(|name| data_centre(name)).collect()
}
