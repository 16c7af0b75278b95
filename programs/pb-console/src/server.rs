//! The HTTP server of the console: sessions, paths and forms.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_SECURITY_POLICY;
use hyper::header::COOKIE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::LOCATION;
use hyper::header::REFERRER_POLICY;
use hyper::header::RETRY_AFTER;
use hyper::header::SET_COOKIE;
use hyper::header::X_CONTENT_TYPE_OPTIONS;
use log::info;
use log::warn;
use pb_ctl::fleet::Fleet;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::http::Origin;
use persimmonbend_app::token::Digest;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::explain::Query;

use crate::form::Form;
use crate::html::Html;
use crate::page;
use crate::perform;
use crate::session::Limiter;
use crate::session::Session;
use crate::session::Sessions;
use crate::settings::Settings;
use crate::view::View;

/// Name of the cookie that holds the ID of the session.
const COOKIE_NAME: &str = "pb_session";

/// Time to look for the leader of control before a page is shown without it.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Content security policy: inline styles only, and forms that submit to the console only.
const POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
    frame-ancestors 'none'; base-uri 'none'";

/// Serves the pages and holds the sessions of the signed-in operators.
#[derive(Debug)]
pub struct Console {
    settings: Settings,
    clock: Rc<dyn Clock>,
    sessions: RefCell<Sessions>,
    limiter: RefCell<Limiter>,
}

impl Console {
    /// Creates a console without sessions.
    #[must_use]
    pub const fn new(settings: Settings, clock: Rc<dyn Clock>) -> Self {
        Self {
            settings,
            clock,
            sessions: RefCell::new(Sessions::new()),
            limiter: RefCell::new(Limiter::new()),
        }
    }

    /// Returns a client of the fleet whose changes are recorded under an operator's name.
    fn fleet(&self, operator: &str) -> Fleet {
        let settings = pb_ctl::settings::Settings {
            operator: operator.to_owned(),
            control: self.settings.control.clone(),
            proxies: self.settings.proxies.clone(),
            secret: self.settings.secret.clone(),
        };
        Fleet::new(settings).leader_timeout(LEADER_TIMEOUT)
    }

    fn session(&self, headers: &HeaderMap) -> Option<Session> {
        let id = session_id(headers)?;
        self.sessions.borrow_mut().find(&id, self.clock.now())
    }

    async fn sign_in(&self, request: Request<Incoming>) -> Response<Body> {
        let address = client_address(&request);
        let now = self.clock.now();
        if let Some(wait) = self.limiter.borrow().retry_delay(address, now) {
            let seconds = wait.as_secs() + 1;
            let note =
                format!("Too many failed sign-ins from your address. Try again in {seconds} s.");
            let mut response = respond(429, &page::sign_in(&note));
            let after = HeaderValue::from(seconds);
            response.headers_mut().insert(RETRY_AFTER, after);
            return response;
        }
        let Some(form) = Form::read(request).await else {
            return respond(400, &page::sign_in("The form is too large or incomplete."));
        };
        let entered = Digest::of(form.field("token"));
        let name = form.field("operator");
        let operators = self.settings.operators.iter();
        let mut matching =
            operators.filter(|operator| operator.name == name && operator.token == entered);
        let Some(operator) = matching.next() else {
            warn!("console: a sign-in from {address} failed");
            self.limiter.borrow_mut().record_failure(address, now);
            return respond(403, &page::sign_in("The operator or the token is wrong."));
        };
        info!("console: {} signed in from {address}", operator.name);
        let id = self.sessions.borrow_mut().start(&operator.name, now);
        let mut response = redirect("/");
        let cookie = self.set_cookie(&id);
        response
            .headers_mut()
            .extend(cookie.map(|value| (SET_COOKIE, value)));
        response
    }

    fn set_cookie(&self, id: &str) -> Option<HeaderValue> {
        let secure = if self.settings.secure_cookie {
            "; Secure"
        } else {
            ""
        };
        let text = format!("{COOKIE_NAME}={id}; Path=/; HttpOnly; SameSite=Strict{secure}");
        HeaderValue::from_str(&text).ok()
    }

    async fn show(&self, request: &Request<Incoming>, session: &Session) -> Response<Body> {
        let fleet = self.fleet(&session.operator);
        let fields = Form::from_query(request.uri().query());
        let now = self.clock.wall();
        match request.uri().path() {
            "/" => {
                let view = View::gather(&fleet).await;
                respond(200, &page::home(&view, session, now))
            }
            "/keys" => match fleet.config_with_fallback().await {
                Ok((state, _)) => {
                    respond(200, &page::keys(&state, fields.field("tenant"), session))
                }
                Err(error) => unavailable(session, &error),
            },
            "/history" => match fleet.config_with_fallback().await {
                Ok((state, _)) => respond(200, &page::history(&state, session)),
                Err(error) => unavailable(session, &error),
            },
            "/explain" => match query(&fields) {
                Some(query) => match fleet.reports(&query).await {
                    Ok(found) => respond(200, &page::reports(&query, &found, session, now)),
                    Err(error) => unavailable(session, &error),
                },
                None => bad_request(session, "Choose what to explain and give its name."),
            },
            "/confirm" => match perform::prompt(&fleet, &fields).await {
                Ok(prompt) => respond(200, &page::confirm(&prompt, session)),
                Err(reason) => bad_request(session, &reason),
            },
            _ => not_found(session),
        }
    }

    async fn submit(&self, request: Request<Incoming>, session: &Session) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let id = session_id(request.headers()).unwrap_or_default();
        let Some(form) = Form::read(request).await else {
            return bad_request(
                session,
                "The form is too large or incomplete. Nothing was changed.",
            );
        };
        if form.field("form_token") != session.form_token {
            warn!("console: refused a form whose form token is not that of the session");
            let text = "This form does not belong to your session. Nothing was changed.";
            return respond(403, &page::message("Refused", Some(session), false, text));
        }
        match path.as_str() {
            "/sign-out" => {
                self.sessions.borrow_mut().end(&id);
                redirect("/sign-in")
            }
            "/act" => {
                let fleet = self.fleet(&session.operator);
                let feedback = perform::act(&fleet, &form).await;
                let text = &feedback.text;
                info!("console: {}: {text}", session.operator);
                let page =
                    page::message(feedback.title(), Some(session), feedback.is_success(), text);
                respond(feedback.http_status(), &page)
            }
            _ => not_found(session),
        }
    }
}

impl Handler for Console {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let session = self.session(request.headers());
        match (request.method(), request.uri().path(), session) {
            (&Method::GET, "/live", _) => http::answer(200, "text/plain", "live"),
            (&Method::GET, "/sign-in", _) => respond(200, &page::sign_in("")),
            (&Method::POST, "/sign-in", _) => self.sign_in(request).await,
            (&Method::GET, _, Some(session)) => self.show(&request, &session).await,
            (&Method::POST, _, Some(session)) => self.submit(request, &session).await,
            (&Method::GET | &Method::POST, _, None) => redirect("/sign-in"),
            _ => respond(
                405,
                &page::message(
                    "Refused",
                    None,
                    false,
                    "Only GET and POST requests are accepted.",
                ),
            ),
        }
    }
}

fn query(fields: &Form) -> Option<Query> {
    let name = fields.field("name").trim().to_owned();
    if name.is_empty() {
        return None;
    }
    match fields.field("about") {
        "upstream" => Some(Query::Upstream(name)),
        "tenant" => Some(Query::Tenant(name)),
        "request" => Some(Query::Request(name)),
        "host" => Some(Query::Host(name)),
        _ => None,
    }
}

fn session_id(headers: &HeaderMap) -> Option<String> {
    let values = headers.get_all(COOKIE).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut pairs = texts.flat_map(|text| text.split(';'));
    pairs.find_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == COOKIE_NAME).then(|| value.to_owned())
    })
}

fn client_address(request: &Request<Incoming>) -> IpAddr {
    let origin = request.extensions().get::<Origin>();
    origin.map_or(Ipv4Addr::UNSPECIFIED.into(), |origin| origin.0.ip())
}

fn not_found(session: &Session) -> Response<Body> {
    let text = "There is no such page.";
    respond(404, &page::message("Not found", Some(session), false, text))
}

fn bad_request(session: &Session, text: &str) -> Response<Body> {
    respond(400, &page::message("Not done", Some(session), false, text))
}

fn unavailable(session: &Session, error: &anyhow::Error) -> Response<Body> {
    let text = format!("Neither control nor a proxy answers: {error:#}.");
    respond(
        503,
        &page::message("Not available", Some(session), false, &text),
    )
}

fn redirect(to: &'static str) -> Response<Body> {
    let mut response = respond(303, &Html::new());
    response
        .headers_mut()
        .insert(LOCATION, HeaderValue::from_static(to));
    response
}

fn respond(status: u16, page: &Html) -> Response<Body> {
    let body = page.as_str().to_owned();
    let mut response = http::answer(status, "text/html; charset=utf-8", body);
    let fixed: [(HeaderName, &'static str); 4] = [
        (CACHE_CONTROL, "no-store"),
        (CONTENT_SECURITY_POLICY, POLICY),
        (REFERRER_POLICY, "no-referrer"),
        (X_CONTENT_TYPE_OPTIONS, "nosniff"),
    ];
    for (name, value) in fixed {
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static(value));
    }
    response
}
