//! Datagrams that a host did not send.

use std::{io::Write as _, net::SocketAddr};

use {
    flate2::{Compression, write::DeflateEncoder},
    prost::Message as _,
    tokio::net::UdpSocket,
    toucanhoist_core::steering::Topic,
    toucanhoist_wire::{
        membership::{Member, Message, Ping, message},
        room::Suspicion,
        steering::{Changes, Packet, Suspicions, packet},
    },
};

/// Records in one datagram.
const RECORDS: u32 = 400;
/// Size of the changes that a datagram holds in packed form.
const CHANGES_BYTES: usize = 50_000_000;

/// Sends datagrams as fast as they are taken.
pub async fn send(to: SocketAddr, count: u32, datagram: impl Fn(u32) -> Vec<u8>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for number in 0..count {
        // A datagram that finds no room is lost.
        let _ = socket.send_to(&datagram(number), to).await;
    }
}

fn encode(body: packet::Body) -> Vec<u8> {
    Packet { body: Some(body) }.encode_to_vec()
}

fn numbers(number: u32) -> impl Iterator<Item = u32> {
    (0..RECORDS).map(move |index| number * RECORDS + index)
}

/// Hosts that nobody has heard of.
pub fn members(number: u32) -> Vec<u8> {
    let member = |number: u32| Member {
        name: format!("host-with-a-name-that-is-rather-long-{number}"),
        incarnation: 1,
        data_centre: format!("centre-with-a-name-{number}"),
        callers: "127.1.0.1:1".to_owned(),
        peers: "127.1.0.1:1".to_owned(),
        ..Member::default()
    };
    encode(packet::Body::Membership(Message {
        from: Some(member(number)),
        records: numbers(number).map(member).collect(),
        body: Some(message::Body::Ping(Ping { probe: 1 })),
        ..Message::default()
    }))
}

/// Fingerprints of requests that nobody has sent, with as many targets.
pub fn suspicions(number: u32) -> Vec<u8> {
    let targets: Vec<String> = (0..40).map(|n| format!("target-{number}-{n}")).collect();
    let suspicion = |number: u32| Suspicion {
        fingerprint: (u64::from(number % 1_000) << 20) + 1,
        targets: targets.clone(),
        left_ms: 600_000,
        ..Suspicion::default()
    };
    let suspicions = numbers(number).take(50).map(suspicion).collect();
    encode(packet::Body::Suspicions(Suspicions { suspicions }))
}

/// Changes that are a thousand times as large when they are unpacked.
pub fn changes(_: u32) -> Vec<u8> {
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::best());
    packed.write_all(&[b' '; CHANGES_BYTES]).expect("a buffer takes all bytes");
    let packed = packed.finish().expect("a buffer takes all bytes").into();
    let topic = Topic::Targets.number();
    encode(packet::Body::Changes(Changes { topic, packed, ..Changes::default() }))
}

/// A host that knows newer entries, and serves its snapshot at an address.
pub fn newer_host(peers: SocketAddr) -> Vec<u8> {
    let from = Member {
        name: "h1".to_owned(),
        incarnation: 1,
        data_centre: "n1".to_owned(),
        callers: peers.to_string(),
        peers: peers.to_string(),
        ..Member::default()
    };
    let body = Some(message::Body::Ping(Ping { probe: 1 }));
    let revision = 1 << 40;
    encode(packet::Body::Membership(Message {
        from: Some(from),
        revision,
        body,
        ..Message::default()
    }))
}
