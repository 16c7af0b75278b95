//! The operators' page: what control knows, for a phone.

pub mod settings;

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use log::info;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::link::Link;
use serde_json::Value;

use crate::settings::Settings;

/// Runs the console until `stop` is asked for; tells `bound` the address it listens on.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn run<B>(settings: Settings, stop: Stop, bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let server = Server::bind(settings.listen).await?;
    info!("console: listens on {}", server.address()?);
    bound(server.address()?);
    server.serve(Rc::new(Page { settings }), stop).await;
    Ok(())
}

#[derive(Debug)]
struct Page {
    settings: Settings,
}

impl Page {
    async fn status(&self) -> Option<Value> {
        for address in &self.settings.control {
            if let Ok(status) = self.ask(*address).await {
                return Some(status);
            }
        }
        None
    }

    async fn ask(&self, address: SocketAddr) -> Result<Value, Error> {
        let link = Link::connect(address, "console", &self.settings.secret).await?;
        link.control()?.status().await
    }
}

impl Handler for Page {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != "/" {
            return http::answer(404, "text/plain", "There is no such page.");
        }
        let text = match self.status().await {
            Some(status) => status_text(&status),
            None => "<p>No control replica answers.</p>".to_owned(),
        };
        http::answer(200, "text/html; charset=utf-8", page(&text))
    }
}

fn page(content: &str) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>persimmonbend</title><h1>persimmonbend</h1>{content}</html>"
    )
}

fn status_text(status: &Value) -> String {
    let revision = &status["revision"];
    let hosts = status["hosts"].as_array().map_or(&[][..], Vec::as_slice);
    let current = hosts
        .iter()
        .filter(|host| host["revision"] == *revision)
        .count();
    format!(
        "<p>Revision {revision} is in force on {current} of {} hosts.</p>",
        hosts.len()
    )
}
