//! The relay: a cut is silent, and what was sent during it arrives once it is healed.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::Duration,
};

use assert_matches::assert_matches;
use yuccaseam_base::cases;
use yuccaseam_testing::{
    Relay,
    Shape,
    Shapes, //
};

const CUT: Shape = Shape {
    cut: true,
    delay: yuccaseam_base::Millis::ZERO,
    bytes_per_second: 0,
};

fn cut(shapes: Shapes, arrives: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start("127.0.0.1:0", listener.local_addr().unwrap()).unwrap();
    let mut client = TcpStream::connect(relay.address()).unwrap();
    let (mut server, _) = listener.accept().unwrap();
    relay.set(shapes);
    client.write_all(b"x").unwrap();
    server
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let mut buf = [0];
    let read = server.read(&mut buf);
    if arrives {
        assert_matches!(read, Ok(1));
        return;
    }
    assert_matches!(read, Err(err) if err.kind() == ErrorKind::WouldBlock);
    relay.set(Shapes::default());
    server.set_read_timeout(None).unwrap();
    assert_matches!(server.read(&mut buf), Ok(1));
}

cases! { cut:
    a_cut_holds_what_is_sent(Shapes { forward: CUT, backward: Shape::default() }, false);
    a_one_way_cut_leaves_the_other_way(Shapes { forward: Shape::default(), backward: CUT }, true);
}
