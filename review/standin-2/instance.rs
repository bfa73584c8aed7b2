//! A stand-in for an instance of a service.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{self, Message, Reader},
    record::Record,
    store::Store,
};

/// Interval at which an instance writes its entry (`heartbeatS`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How an instance deals with a request.
#[derive(Clone, Copy)]
pub struct Manner {
    /// Time that a request takes.
    pub work: Duration,
    /// Bytes of the answer's body.
    pub answer_bytes: usize,
    /// Bytes of a request's body that it reads before it works, and the rest only then; `None` to
    /// read all of it first.
    pub first_bytes: Option<usize>,
    /// Value of `Keep-Alive` in its answers.
    pub keep_alive: &'static str,
}

impl Default for Manner {
    /// Returns the manner of a sound instance with short requests.
    fn default() -> Manner {
        Manner {
            work: Duration::from_millis(50),
            answer_bytes: 400,
            first_bytes: None,
            keep_alive: "timeout=10",
        }
    }
}

/// An instance.
#[derive(Clone)]
pub struct Instance {
    pub id: &'static str,
    pub address: SocketAddr,
    /// Unix time of its start, in milliseconds.
    pub born: u128,
    service: &'static str,
    slots: usize,
    zone: &'static str,
    manner: Arc<Mutex<Manner>>,
    running: Arc<AtomicUsize>,
    /// Requests that it began to run.
    pub begun: Arc<Mutex<Vec<String>>>,
    /// Requests that it began to run, with the times.
    pub times: Arc<Mutex<Vec<(String, Instant)>>>,
    record: Record,
}

impl Instance {
    /// Starts an instance, which registers itself in the store.
    pub fn start(
        id: &'static str,
        service: &'static str,
        slots: usize,
        zone: &'static str,
        manner: Manner,
        store: &Store,
        record: &Record,
    ) -> Instance {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis());
        let instance = Instance {
            id,
            address,
            born,
            service,
            slots,
            zone,
            manner: Arc::new(Mutex::new(manner)),
            running: Arc::default(),
            begun: Arc::default(),
            times: Arc::default(),
            record: record.clone(),
        };
        let served = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let instance = served.clone();
                thread::spawn(move || {
                    // The end of a connection is no fault of the instance.
                    let _ = instance.connection(stream);
                });
            }
        });
        instance.register(store.clone());
        instance
    }

    /// Changes how it deals with further requests.
    pub fn set_manner(&self, manner: Manner) {
        *self.manner.lock().expect("no holder of the lock panics") = manner;
    }

    /// Writes the entry now and at each heartbeat.
    fn register(&self, store: Store) {
        let Instance { id, address, born, service, slots, zone, .. } = self.clone();
        let entry = move |sequence: u64| {
            format!(
                r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","seq":{sequence},"coldLeftS":0}},"born":{born}}}"#
            )
        };
        store.put("servers", id, &entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                store.put("servers", id, &entry(sequence));
            }
        });
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            self.request(&mut reader, &mut writer, head)?;
        }
        Ok(())
    }

    fn request(
        &self,
        reader: &mut Reader,
        writer: &mut TcpStream,
        head: Message,
    ) -> io::Result<()> {
        let manner = *self.manner.lock().expect("no holder of the lock panics");
        let request = head.header("x-request-id").unwrap_or_default().to_owned();
        let length = head.length();
        let first = manner.first_bytes.unwrap_or(length).min(length);
        reader.piece(first, &|| {})?;
        if head.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            reader.piece(length - first, &|| {})?;
            let headers = format!("X-Request-Id: {request}\r\nX-Instance-Id: {}\r\n", self.id);
            return http::answer(writer, "421 Misdirected Request", &headers, b"");
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let outcome = if running > self.slots {
            reader.piece(length - first, &|| {})?;
            let headers = format!("X-Request-Id: {request}\r\nX-Not-Executed: 1\r\n");
            http::answer(writer, "503 Service Unavailable", &headers, b"")
        } else {
            self.run(reader, writer, &request, length, first, manner)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        outcome
    }

    fn run(
        &self,
        reader: &mut Reader,
        writer: &mut TcpStream,
        request: &str,
        length: usize,
        first: usize,
        manner: Manner,
    ) -> io::Result<()> {
        let id = self.id;
        self.record.line(format!("instance {id}: begins {request} ({first} of {length} bytes)"));
        let mut begun = self.begun.lock().expect("no holder of the lock panics");
        begun.push(request.to_owned());
        let mut times = self.times.lock().expect("no holder of the lock panics");
        times.push((request.to_owned(), Instant::now()));
        drop(times);
        drop(begun);
        thread::sleep(manner.work);
        if let Err(error) = reader.piece(length - first, &|| {}) {
            self.record.line(format!("instance {id}: rest of {request} did not come: {error}"));
            return Err(error);
        }
        let headers = format!(
            "X-Request-Id: {request}\r\nX-Server-Seal: seal.{id}.{request}\r\nX-Server-Load: {},0,{}\r\nKeep-Alive: {}\r\n",
            self.running.load(Ordering::SeqCst).saturating_sub(1),
            self.slots,
            manner.keep_alive
        );
        let sent = http::answer(writer, "200 OK", &headers, &vec![b'x'; manner.answer_bytes]);
        match &sent {
            Ok(()) => {
                self.record.line(format!("instance {id}: answered {request} with 200"));
            }
            Err(error) => {
                self.record.line(format!("instance {id}: answer to {request} not sent: {error}"));
            }
        }
        sent
    }
}
