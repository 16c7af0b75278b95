//! Starts the requests of a connection that arrive before the earlier ones are answered.
//!
//! hyper runs the requests of a connection one after the other, so a short request waits for all that its client
//! sent before it. Requests without a body that change nothing are started as they arrive, as long as everything
//! that runs before them on the connection is of that kind too. Answers still leave in the order of the requests.
//!
//! A request that was started has to be the one that hyper reads at its turn, in all of its head. Once one is not,
//! the two have read the bytes differently, and the rest of the connection is served without the pipeline.
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
    head: Request<()>,
    task: JoinHandle<Response<Body>>,
}

impl Entry {
    /// Returns the head, if it is that of a request that changes nothing.
    const fn head(&self) -> Option<&Request<()>> {
        match self {
            Self::Waiting(head) => head.as_ref(),
            Self::Started(ahead) => Some(&ahead.head),
        }
    }
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
        let head = entry.as_ref().and_then(Entry::head);
        let is_same = head.is_some_and(|head| is_same(head, &request));
        if head.is_some() && !is_same {
            self.lose();
        }
        self.taken.notify(usize::MAX);
        self.may_start.set(is_same);
        self.start_next();
        let ahead = match entry {
            Some(Entry::Started(ahead)) if is_same => Some(ahead),
            _ => None,
        };
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
        if let Some(ahead) = ahead
            && let Ok(response) = ahead.task.await
        {
            return response;
        }
        Rc::clone(&self.handler).handle(request).await
    }

    /// Ends the requests that were started, and follows the connection no further.
    fn lose(&self) {
        self.scanner.borrow_mut().lose();
        self.entries.borrow_mut().clear();
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
            let known = head.clone();
            head.extensions_mut().insert(Origin(self.from));
            let Some(answer) = Rc::clone(&self.handler).handle_ahead(head) else {
                return;
            };
            let task = spawn(answer);
            *entry = Entry::Started(Ahead { head: known, task });
        }
    }
}

/// Returns whether hyper has read the same head.
fn is_same(head: &Request<()>, read: &Request<Incoming>) -> bool {
    head.method() == read.method()
        && head.uri() == read.uri()
        && head.version() == read.version()
        && head.headers() == read.headers()
}
