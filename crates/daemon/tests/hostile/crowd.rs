//! Many connections that each send the same bytes and stay open.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
    task::JoinSet,
    time::timeout, //
};
use yuccaseam_testing::platform::HOST;

/// How long a member of the crowd waits for its connection, and goes on sending to a system that does not
/// read.
const SENDING: Duration = Duration::from_secs(2);
/// Receive buffer of a caller that does not read, in bytes.
const SMALL_BUFFER: u32 = 4_096;

/// How the members send their bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Manner {
    pub(crate) members: usize,
    /// Bytes of each write.
    pub(crate) piece: usize,
    /// Pause between writes.
    pub(crate) pause: Duration,
    /// How long they go on sending.
    pub(crate) sending: Duration,
    /// Whether the members read what they are sent.
    pub(crate) reads: bool,
}

impl Manner {
    pub(crate) const fn at_once(members: usize) -> Self {
        Self {
            members,
            piece: usize::MAX,
            pause: Duration::ZERO,
            sending: SENDING,
            reads: true,
        }
    }
}

/// Open connections. Dropping it closes them.
pub(crate) struct Crowd {
    members: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections, and sends on each what `script` makes, until the system takes no more.
    pub(crate) async fn send<S>(to: SocketAddr, manner: Manner, script: S) -> Self
    where
        S: Fn(usize) -> Vec<u8>,
    {
        let mut tasks = JoinSet::new();
        for member in 0..manner.members {
            let bytes = script(member);
            tasks.spawn(send_one(to, manner, bytes));
        }
        let members = tasks.join_all().await.into_iter().flatten().collect();
        Self { members }
    }

    pub(crate) fn connected(&self) -> usize {
        self.members.len()
    }
}

async fn send_one(to: SocketAddr, manner: Manner, bytes: Vec<u8>) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket is made");
    if !manner.reads {
        let set = socket.set_recv_buffer_size(SMALL_BUFFER);
        set.expect("the buffer is set");
    }
    let mut stream = timeout(SENDING, socket.connect(to)).await.ok()?.ok()?;
    let sending = async {
        let (mut reader, mut writer) = stream.split();
        let write = async {
            for piece in bytes.chunks(manner.piece) {
                // A refused member goes on sending for as long as the connection lasts.
                if writer.write_all(piece).await.is_err() {
                    return;
                }
                if !manner.pause.is_zero() {
                    tokio::time::sleep(manner.pause).await;
                }
            }
        };
        let read = async {
            let mut buf = vec![0; 4_096];
            while manner.reads && reader.read(&mut buf).await.is_ok_and(|len| len > 0) {}
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = write => {}
            () = read => {}
        }
    };
    // The system may take no more: what was sent so far stays.
    let _ = timeout(manner.sending, sending).await;
    Some(stream)
}

/// Head of a request with these further lines.
pub(crate) fn head(path: &str, id: &str, lines: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{lines}\r\n")
}

/// A body of announced length of which `sent` bytes are sent.
pub(crate) fn announced(path: &str, id: &str, length: usize, sent: usize) -> Vec<u8> {
    let lines = format!("Content-Length: {length}\r\n");
    let mut bytes = head(path, id, &lines).into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

/// A chunked body of `sent` bytes, without its end.
pub(crate) fn chunked(path: &str, id: &str, chunk: usize, sent: usize) -> Vec<u8> {
    let mut bytes = head(path, id, "Transfer-Encoding: chunked\r\n").into_bytes();
    let whole = [
        format!("{chunk:x}\r\n"),
        "x".repeat(chunk),
        "\r\n".to_owned(),
    ]
    .concat();
    for _ in 0..sent / chunk {
        bytes.extend_from_slice(whole.as_bytes());
    }
    bytes
}
