//! Connections of the HTTP server over loopback sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::http::Limits;
use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;

/// Time after which an idle connection is closed, and after a stop the socket.
const LIMIT: Duration = Duration::from_millis(100);

/// Time longer than a test.
const LONG: Duration = Duration::from_secs(20);

/// Time between two parts of an answer.
const PAUSE: Duration = Duration::from_millis(350);

/// Answers each request in three parts.
struct Slow;

impl Handler for Slow {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Response<Body> {
        let parts = stream::unfold(0, |part| async move {
            compio::time::sleep(PAUSE).await;
            let frame = Frame::data(Bytes::from_static(b"part"));
            (part < 3).then_some((Ok::<_, io::Error>(frame), part + 1))
        });
        Response::new(Box::pin(StreamBody::new(parts)))
    }
}

/// Starts a server that is asked to stop after a time, on a thread; returns its address.
fn serve(stop_after: Duration, idle_timeout: Duration) -> SocketAddr {
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any).await.expect("a free port");
            sender
                .send(server.address().expect("an address"))
                .expect("a test");
            let limits = Limits {
                idle_timeout,
                linger: LIMIT,
                ..Limits::default()
            };
            let stop = Stop::new();
            let stopping = stop.clone();
            let asking = compio::runtime::spawn(async move {
                compio::time::sleep(stop_after).await;
                stopping.ask();
            });
            server.limits(limits).serve(Rc::new(Slow), stop).await;
            drop(asking);
        });
    });
    address.recv().expect("an address")
}

/// Sends a request; returns the connection.
fn ask(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    Ok(stream)
}

// The connection counted as idle from the head of the answer on.
#[test]
fn an_answer_whose_parts_come_slower_than_the_idle_timeout_is_not_cut_off() {
    let mut stream = ask(serve(LONG, LIMIT)).expect("a connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert_eq!(answer.matches("part").count(), 3, "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

// The socket stayed open until the last answer, and the kernel accepted connections that nobody served.
#[test]
fn no_connection_is_accepted_after_a_stop_while_the_last_answers_are_written() {
    let address = serve(Duration::from_millis(50), LONG);
    let mut running = ask(address).expect("a connection");
    thread::sleep(2 * LIMIT + Duration::from_millis(250));
    assert!(ask(address).is_err(), "a connection is accepted");
    let mut answer = String::new();
    running.read_to_string(&mut answer).expect("an answer");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}
