//! Starts the requests of a connection that arrive before the earlier ones are answered.
//!
//! hyper runs the requests of a connection one after the other, so a short request waits for all that its client
//! sent before it. Requests without a body that change nothing are started as they arrive, as long as everything
//! that runs before them on the connection is of that kind too. Answers still leave in the order of the requests.
//!
//! A [`Handler`] takes part by [`Handler::handle_ahead`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use event_listener::Event;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::http::Body;
use crate::http::Handler;
use crate::http::Origin;
use crate::http::scanner::Head;
use crate::http::scanner::Scanner;

/// Most requests of one connection that run ahead of the one whose turn it is.
const MAX_AHEAD: usize = 8;

/// A request that hyper has not read yet.
enum Entry {
    /// It has not been started.
    Waiting(Head),
    /// It runs, or its answer waits for its turn.
    Started(Ahead),
}

/// A request that was started before its turn; dropping it cancels the request.
struct Ahead {
    method: hyper::Method,
    uri: hyper::Uri,
    task: JoinHandle<Response<Body>>,
}

/// The requests of one connection that have arrived and whose turn has not come.
pub struct Pipeline<H> {
    handler: Rc<H>,
    from: SocketAddr,
    scanner: RefCell<Scanner>,
    entries: RefCell<VecDeque<Entry>>,
    /// Whether a request runs whose turn it is, behind which others may be started.
    may_start: Cell<bool>,
    /// Whether no further request is started before its turn.
    is_closed: Cell<bool>,
    taken: Event,
}

impl<H: Handler + 'static> Pipeline<H> {
    /// Creates the pipeline of a connection that has just been accepted.
    #[must_use]
    pub const fn new(handler: Rc<H>, from: SocketAddr, max_head_bytes: usize) -> Self {
        Self {
            handler,
            from,
            scanner: RefCell::new(Scanner::new(max_head_bytes)),
            entries: RefCell::new(VecDeque::new()),
            may_start: Cell::new(false),
            is_closed: Cell::new(false),
            taken: Event::new(),
        }
    }

    /// Takes the bytes that have arrived, before hyper reads them.
    pub fn feed(&self, bytes: &[u8]) {
        let heads = self.scanner.borrow_mut().feed(bytes);
        let waiting = heads.into_iter().map(Entry::Waiting);
        self.entries.borrow_mut().extend(waiting);
        self.start_next();
    }

    /// Answers the request whose turn it is.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let entry = self.entries.borrow_mut().pop_front();
        self.taken.notify(usize::MAX);
        let (is_safe, ahead) = match entry {
            Some(Entry::Started(ahead)) => (true, Some(ahead)),
            Some(Entry::Waiting(head)) => (head.is_some(), None),
            None => (false, None),
        };
        self.may_start.set(is_safe);
        self.start_next();
        let response = self.response(request, ahead).await;
        self.may_start.set(false);
        response
    }

    /// Returns whether requests run whose turn has not come.
    #[must_use]
    pub fn is_ahead(&self) -> bool {
        matches!(self.entries.borrow().front(), Some(Entry::Started(_)))
    }

    /// Starts no further requests before their turn, and waits until the turn of the last started one has come.
    pub async fn close(&self) {
        self.is_closed.set(true);
        while self.is_ahead() {
            let listener = self.taken.listen();
            if self.is_ahead() {
                listener.await;
            }
        }
    }

    async fn response(&self, request: Request<Incoming>, ahead: Option<Ahead>) -> Response<Body> {
        let same =
            ahead.filter(|ahead| ahead.method == *request.method() && ahead.uri == *request.uri());
        if let Some(ahead) = same
            && let Ok(response) = ahead.task.await
        {
            return response;
        }
        Rc::clone(&self.handler).handle(request).await
    }

    /// Starts the requests that may run beside the one whose turn it is.
    fn start_next(&self) {
        if !self.may_start.get() || self.is_closed.get() {
            return;
        }
        for entry in self.entries.borrow_mut().iter_mut().take(MAX_AHEAD) {
            let Entry::Waiting(head) = entry else {
                continue;
            };
            let Some(mut head) = head.take() else {
                return;
            };
            let (method, uri) = (head.method().clone(), head.uri().clone());
            head.extensions_mut().insert(Origin(self.from));
            let Some(answer) = Rc::clone(&self.handler).handle_ahead(head) else {
                return;
            };
            let task = spawn(answer);
            *entry = Entry::Started(Ahead { method, uri, task });
        }
    }
}
