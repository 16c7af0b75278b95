//! Requests that a client sends over one connection before earlier ones are answered.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use compio::runtime::spawn;
use compio::time::sleep;
use compio::time::timeout;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::http::Limits;
use persimmonbend_app::http::Server;
use persimmonbend_app::http::pipeline::Pipeline;
use persimmonbend_app::http::read_ahead::Stream;
use persimmonbend_app::http::scanner::Scanner;
use persimmonbend_app::stop::Stop;
use persimmonbend_check::properties;

/// Time limit of a test.
const PATIENCE: Duration = Duration::from_secs(10);

/// Answers a request for `/N` with its path after `N` ms.
#[derive(Default)]
struct Sleeper {
    started: RefCell<Vec<String>>,
    ended: Cell<usize>,
    cancelled: Cell<usize>,
}

/// Counts a request as cancelled unless it was answered.
struct Running<'a>(&'a Sleeper, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.cancelled.set(self.0.cancelled.get() + 1);
        }
    }
}

impl Sleeper {
    async fn answer(&self, path: &str) -> Response<Body> {
        self.started.borrow_mut().push(path.to_owned());
        let mut running = Running(self, false);
        let millis = path.trim_start_matches('/').parse().unwrap();
        sleep(Duration::from_millis(millis)).await;
        running.1 = true;
        self.ended.set(self.ended.get() + 1);
        http::answer(200, "text/plain", format!("[{path}]"))
    }
}

impl Handler for Sleeper {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.answer(request.uri().path()).await
    }

    fn handle_ahead(
        self: Rc<Self>,
        request: Request<()>,
    ) -> Option<LocalBoxFuture<'static, Response<Body>>> {
        Some(async move { self.answer(request.uri().path()).await }.boxed_local())
    }

    fn limits(&self) -> Option<Limits> {
        Some(Limits {
            close_cancels: true,
            linger: Duration::from_millis(50),
            ..Limits::default()
        })
    }
}

/// Runs `test` against a server, with its handler, its stop and a connection.
fn with_server<T: AsyncFn(Rc<Sleeper>, Stop, TcpStream)>(test: T) {
    Runtime::new().unwrap().block_on(async {
        let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let address = server.address().unwrap();
        let (handler, stop) = (Rc::new(Sleeper::default()), Stop::new());
        spawn(server.serve(Rc::clone(&handler), stop.clone())).detach();
        let stream = TcpStream::connect(address).await.unwrap();
        timeout(PATIENCE, test(handler, stop, stream))
            .await
            .unwrap();
    });
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: farm\r\n\r\n")
}

async fn send<S: AsRef<str>>(stream: &mut TcpStream, requests: &[S]) {
    let bytes: String = requests.iter().map(AsRef::as_ref).collect();
    stream.write_all(bytes.into_bytes()).await.0.unwrap();
}

/// Reads until `count` answers have arrived or the connection ends; returns their bodies.
async fn answers(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    loop {
        let BufResult(result, read) = stream.read(Vec::with_capacity(4_096)).await;
        text.push_str(std::str::from_utf8(&read).unwrap());
        let bodies = text
            .split('[')
            .skip(1)
            .filter_map(|part| part.split_once(']'));
        let bodies: Vec<String> = bodies.map(|(body, _)| body.to_owned()).collect();
        if bodies.len() >= count || result.is_ok_and(|length| length == 0) {
            return bodies;
        }
    }
}

#[test]
fn a_short_request_does_not_wait_for_the_work_of_those_before_it() {
    with_server(async |handler, _, mut stream| {
        let began = Instant::now();
        send(&mut stream, &[get("/400"), get("/390"), get("/380")]).await;
        let bodies = answers(&mut stream, 3).await;
        assert_eq!(bodies, ["/400", "/390", "/380"]);
        assert!(
            began.elapsed() < Duration::from_millis(790),
            "{:?}",
            began.elapsed()
        );
        assert_eq!(handler.ended.get(), 3);
    });
}

#[test]
fn nothing_runs_beside_a_request_that_may_change_something() {
    with_server(async |handler, _, mut stream| {
        let post = "POST /30 HTTP/1.1\r\nhost: farm\r\ncontent-length: 2\r\n\r\nab".to_owned();
        send(&mut stream, &[get("/50"), post, get("/1"), get("/2")]).await;
        sleep(Duration::from_millis(25)).await;
        assert_eq!(*handler.started.borrow(), ["/50"]);
        assert_eq!(answers(&mut stream, 4).await, ["/50", "/30", "/1", "/2"]);
        assert_eq!(*handler.started.borrow(), ["/50", "/30", "/1", "/2"]);
    });
}

#[test]
fn a_stop_cuts_no_request_that_was_started_before_its_turn() {
    with_server(async |handler, stop, mut stream| {
        send(&mut stream, &[get("/200"), get("/220"), get("/240")]).await;
        sleep(Duration::from_millis(50)).await;
        assert_eq!(handler.started.borrow().len(), 3);
        stop.ask();
        assert_eq!(answers(&mut stream, 4).await, ["/200", "/220", "/240"]);
    });
}

#[test]
fn requests_that_were_started_before_their_turn_end_with_their_connection() {
    with_server(async |handler, _, mut stream| {
        send(&mut stream, &[get("/5000"), get("/6000"), get("/7000")]).await;
        while handler.started.borrow().len() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        while handler.cancelled.get() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Answers with the header `x` of the request.
struct Echo;

impl Echo {
    async fn answer<B>(request: Request<B>) -> Response<Body> {
        sleep(Duration::from_millis(30)).await;
        let text = request.headers()["x"].to_str().unwrap();
        http::answer(200, "text/plain", format!("[{text}]"))
    }
}

impl Handler for Echo {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        Self::answer(request).await
    }

    fn handle_ahead(
        self: Rc<Self>,
        request: Request<()>,
    ) -> Option<LocalBoxFuture<'static, Response<Body>>> {
        Some(Self::answer(request).boxed_local())
    }
}

/// The answer of a request started with other headers went to the one whose turn it was.
#[test]
fn a_head_that_was_read_differently_gets_no_answer_of_another() {
    Runtime::new().unwrap().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(address).await.unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (stream, from) = listener.accept().await.unwrap();
        let pipeline = Rc::new(Pipeline::new(Rc::new(Echo), from, 4_096));
        let seen = Rc::clone(&pipeline);
        // The pipeline is told of `x: 9` where hyper reads `x: 1`.
        let (transport, _activity) = Stream::new(stream, move |bytes| {
            seen.feed(
                String::from_utf8_lossy(bytes)
                    .replace("x: 1", "x: 9")
                    .as_bytes(),
            );
        });
        let service = service_fn(move |request| {
            let pipeline = Rc::clone(&pipeline);
            async move { Ok::<_, Infallible>(pipeline.answer(request).await) }
        });
        spawn(http1::Builder::new().serve_connection(transport, service)).detach();
        let requests: Vec<String> = (0..4)
            .map(|number| format!("GET / HTTP/1.1\r\nx: {number}\r\n\r\n"))
            .collect();
        send(&mut client, &requests).await;
        let read = timeout(PATIENCE, answers(&mut client, 4)).await.unwrap();
        assert_eq!(read, ["0", "1", "2", "3"]);
    });
}

/// Each byte had the whole head parsed again, while nothing else on the host was served.
#[test]
fn a_head_that_comes_byte_by_byte_does_not_hold_up_the_others() {
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(64_000));
    let mut scanner = Scanner::new(68 * 1_024);
    let began = Instant::now();
    let heads = head
        .as_bytes()
        .chunks(1)
        .flat_map(|byte| scanner.feed(byte));
    assert_eq!(heads.count(), 1);
    let took = began.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
}

properties! {
    fn heads_do_not_depend_on_how_the_bytes_arrive(kinds: Vec<u8>, cuts: Vec<usize>) -> bool {
        let requests = kinds.iter().map(|kind| match kind % 4 {
            0 => get("/1"),
            1 => format!("HEAD /{kind} HTTP/1.1\r\nhost: farm\r\nx-note: a\r\n\r\n"),
            2 => "POST /2 HTTP/1.1\r\nhost: farm\r\ncontent-length: 4\r\n\r\nGET ".to_owned(),
            _ => "GET /3 HTTP/1.1\r\nhost: farm\r\ncontent-length: 3\r\n\r\n\r\n\r".to_owned(),
        });
        let bytes = requests.collect::<String>().into_bytes();
        let mut scanner = Scanner::new(4_096);
        let mut heads = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (part, left) = rest.split_at(cut % (rest.len() + 1));
            heads.extend(scanner.feed(part));
            rest = left;
        }
        heads.extend(scanner.feed(rest));
        let expected = kinds.iter().map(|kind| kind % 4 < 2);
        heads.iter().map(Option::is_some).eq(expected)
    }

    fn any_bytes_are_taken(bytes: Vec<u8>) -> bool {
        let mut scanner = Scanner::new(64);
        bytes.chunks(7).all(|part| scanner.feed(part).len() <= part.len())
    }
}
