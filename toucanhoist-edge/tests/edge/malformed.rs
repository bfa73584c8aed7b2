//! Malformed messages end neither the process nor one of its tasks.

use std::{net::SocketAddr, time::Duration};

use {
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config as Runner, RngSeed},
    },
    prost::Message as _,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
        time,
    },
    toucanhoist_core::{
        membership,
        steering::{Entry, Key, Snapshot, Value, Version},
    },
    toucanhoist_edge::{packing, settings::Settings},
    toucanhoist_wire::steering::{Changes, Packet, Reach, TopicVersion, packet},
};

use crate::support::{
    Behaviour, FakeTarget, KEY, config, entry, get, name, put_config, settings, site,
};

/// Malformed input: random bytes, or a message with one byte changed.
fn malformed(message: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let changed = (0..message.len(), any::<u8>()).prop_map(move |(index, byte)| {
        let mut message = message.clone();
        message[index] = byte;
        message
    });
    prop_oneof![vec(any::<u8>(), 0..200), changed]
}

fn entries() -> Vec<(Key, Entry)> {
    let value = Value::Target(entry("10.0.0.1:80".parse().expect("an address")));
    vec![(Key::Target(name("t1")), Entry { version: 7.into(), value: Some(value) })]
}

fn packets() -> Vec<u8> {
    let packed = packing::pack(&entries()).expect("packed").into();
    let changes = Changes {
        topic: 1,
        after: None,
        upto: Some(Version::from(9).into()),
        packed,
        ..Changes::default()
    };
    Packet { body: Some(packet::Body::Changes(changes)) }.encode_to_vec()
}

proptest! {
    #![proptest_config(Runner { rng_seed: RngSeed::Fixed(3), cases: 2_000, ..Runner::default() })]

    #[test]
    fn decoders_do_not_panic_on_malformed_input(
        datagram in malformed(packets()),
        snapshot in malformed(packing::pack(&Snapshot { entries: entries(), ..Snapshot::default() })
            .expect("packed")),
        text in malformed(serde_json::to_vec(&settings("h1", Vec::new())).expect("JSON")),
        version in ".{0,24}",
    ) {
        if let Some(packet::Body::Membership(message)) =
            Packet::decode(&*datagram).ok().and_then(|packet| packet.body)
        {
            let _ = membership::Message::try_from(message);
        }
        let _ = packing::unpack::<Snapshot>(&snapshot, 1 << 20);
        let _ = packing::unpack::<Vec<(Key, Entry)>>(&snapshot, 1 << 20);
        let _ = Settings::from_json(&String::from_utf8_lossy(&text));
        let _ = version.parse::<Version>();
    }
}

async fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The host may close the connection before all bytes are sent.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let _ = time::timeout(Duration::from_millis(200), stream.read(&mut [0; 256])).await;
}

#[tokio::test]
async fn a_host_keeps_working_after_malformed_messages() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    let addresses = edge.addresses();
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let unknown = TopicVersion { topic: 9, version: None, age_ms: u32::MAX };
    let reach = packet::Body::Reach(Reach { versions: vec![unknown] });
    let invalid = Changes {
        topic: 1,
        after: None,
        upto: None,
        packed: vec![1, 2, 3].into(),
        ..Changes::default()
    };
    let mut datagrams = vec![Vec::new(), vec![0xff; 300], packets()[..9].to_vec()];
    for body in [reach, packet::Body::Changes(invalid)] {
        datagrams.push(Packet { body: Some(body) }.encode_to_vec());
    }
    for datagram in &datagrams {
        socket.send_to(datagram, addresses.peers).await.expect("sent");
    }
    let garbage: [&[u8]; 4] = [
        b"\0\x01\x02",
        b"GET /registry?1=x:y&zz HTTP/1.1\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        &[0xff; 9_000],
    ];
    for bytes in garbage {
        let ports = [
            addresses.callers,
            addresses.peers,
            addresses.directory,
            addresses.readiness,
            addresses.metrics,
        ];
        for address in ports {
            send_bytes(address, bytes).await;
        }
    }
    store.put(Key::Target(name("t2")), Some(Value::Unreadable));
    store.put(Key::Evacuation(name("nowhere")), Some(Value::Unreadable));
    // Each task still works: requests are answered and configurations are applied.
    assert_eq!(get(addresses.callers, "/safe/x", "r-1").await.0, 200);
    let mut without = config(2);
    without.accounts[0].keys.clear();
    put_config(&store, without);
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(get(addresses.callers, "/safe/x", "r-2").await.0, 401, "{KEY} was withdrawn");
}
