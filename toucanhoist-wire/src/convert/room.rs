use std::time::Duration;

use toucanhoist_core::{id, membership::Incarnation, quarantine, room};

use crate::{Error, room as message};

impl message::Digest {
    /// Creates the message with the capacity of `host` and its suspicions.
    pub fn new(
        host: &id::EntryHost,
        digest: &room::Digest,
        suspicions: &[quarantine::Report],
    ) -> message::Digest {
        message::Digest {
            host: host.to_string(),
            loads: digest.loads.iter().map(Into::into).collect(),
            holds: digest.holds.iter().map(Into::into).collect(),
            incarnation: digest.incarnation.0,
            number: digest.number,
            echoes: digest.echoes.iter().map(Into::into).collect(),
            suspicions: suspicions.iter().map(Into::into).collect(),
        }
    }

    /// Returns the host that sent the digest.
    ///
    /// # Errors
    ///
    /// The field does not hold a valid name.
    pub fn host(&self) -> Result<id::EntryHost, Error> {
        id::EntryHost::from_text(&self.host).map_err(|_| Error::field("host"))
    }
}

impl message::Digest {
    /// Takes the suspicions out of the message.
    ///
    /// # Errors
    ///
    /// A field does not hold a valid name.
    pub fn take_suspicions(&mut self) -> Result<Vec<quarantine::Report>, Error> {
        std::mem::take(&mut self.suspicions).into_iter().map(TryInto::try_into).collect()
    }
}

impl From<&quarantine::Report> for message::Suspicion {
    fn from(report: &quarantine::Report) -> message::Suspicion {
        let stage = match report.stage {
            quarantine::Stage::Suspected => message::Stage::Suspected,
            quarantine::Stage::Held => message::Stage::Held,
            quarantine::Stage::Released => message::Stage::Released,
        };
        message::Suspicion {
            fingerprint: report.fingerprint.as_u64(),
            stage: stage.into(),
            targets: report.targets.iter().map(ToString::to_string).collect(),
            left_ms: u64::try_from(report.remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<message::Suspicion> for quarantine::Report {
    type Error = Error;

    fn try_from(message: message::Suspicion) -> Result<quarantine::Report, Error> {
        let stage = match message.stage() {
            message::Stage::Suspected => quarantine::Stage::Suspected,
            message::Stage::Held => quarantine::Stage::Held,
            message::Stage::Released => quarantine::Stage::Released,
        };
        let targets = message.targets.iter().map(|target| id::Target::from_text(target));
        Ok(quarantine::Report {
            fingerprint: message.fingerprint.into(),
            stage,
            targets: targets.collect::<Result<_, _>>().map_err(|_| Error::field("targets"))?,
            remaining: Duration::from_millis(message.left_ms),
        })
    }
}

impl TryFrom<message::Digest> for room::Digest {
    type Error = Error;

    fn try_from(message: message::Digest) -> Result<room::Digest, Error> {
        Ok(room::Digest {
            incarnation: Incarnation(message.incarnation),
            number: message.number,
            echoes: message.echoes.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            loads: message.loads.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            holds: message.holds.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}

impl From<&room::Echo> for message::Echo {
    fn from(echo: &room::Echo) -> message::Echo {
        message::Echo {
            host: echo.host.to_string(),
            incarnation: echo.incarnation.0,
            number: echo.number,
        }
    }
}

impl TryFrom<message::Echo> for room::Echo {
    type Error = Error;

    fn try_from(message: message::Echo) -> Result<room::Echo, Error> {
        Ok(room::Echo {
            host: id::EntryHost::from_text(&message.host).map_err(|_| Error::field("host"))?,
            incarnation: Incarnation(message.incarnation),
            number: message.number,
        })
    }
}

impl From<&room::Load> for message::Load {
    fn from(load: &room::Load) -> message::Load {
        message::Load {
            service: load.service.to_string(),
            slots: load.slots,
            free: load.free,
            queued: load.queued,
            queue_room: load.queue_room,
            hold_us: u64::try_from(load.hold.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<message::Load> for room::Load {
    type Error = Error;

    fn try_from(message: message::Load) -> Result<room::Load, Error> {
        Ok(room::Load {
            service: id::Service::from_text(&message.service)
                .map_err(|_| Error::field("service"))?,
            slots: message.slots,
            free: message.free.min(message.slots),
            queued: message.queued,
            queue_room: message.queue_room,
            hold: Duration::from_micros(message.hold_us),
        })
    }
}

impl From<&room::Hold> for message::Hold {
    fn from(hold: &room::Hold) -> message::Hold {
        message::Hold {
            target: hold.target.to_string(),
            claim: message::Claim::from(hold.claim).into(),
            running: hold.running,
        }
    }
}

impl From<room::Claim> for message::Claim {
    fn from(claim: room::Claim) -> message::Claim {
        match claim {
            room::Claim::None => message::Claim::None,
            room::Claim::Intended => message::Claim::Intended,
            room::Claim::Open => message::Claim::Open,
        }
    }
}

impl From<message::Claim> for room::Claim {
    fn from(claim: message::Claim) -> room::Claim {
        match claim {
            message::Claim::None => room::Claim::None,
            message::Claim::Intended => room::Claim::Intended,
            message::Claim::Open => room::Claim::Open,
        }
    }
}

impl TryFrom<message::Hold> for room::Hold {
    type Error = Error;

    fn try_from(message: message::Hold) -> Result<room::Hold, Error> {
        Ok(room::Hold {
            target: id::Target::from_text(&message.target).map_err(|_| Error::field("target"))?,
            claim: message.claim().into(),
            running: message.running,
        })
    }
}
