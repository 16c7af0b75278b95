//! The console's pages on a running fleet, read and sent as by a browser without scripts.

#![allow(clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use pb_ctl::fleet::Fleet;
use pb_lab::fleet;
use pb_lab::fleet::Files;
use pb_lab::upstream::Ledger;
use pb_lab::upstream::Setup;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Secret;
use serde_json::json;

/// An HTTP client that keeps the session cookie.
struct Browser {
    address: SocketAddr,
    cookie: String,
}

impl Browser {
    fn send(&self, head: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        let request = format!(
            "{head} HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncookie: {}\r\n\
             content-length: {}\r\n\r\n{body}",
            self.cookie,
            body.len()
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn get(&self, path: &str) -> String {
        self.send(&format!("GET {path}"), "")
    }

    fn post(&self, path: &str, fields: &[(String, String)]) -> String {
        let pairs = fields.iter().map(|(name, value)| format!("{name}={value}"));
        let body = pairs.collect::<Vec<_>>().join("&");
        self.send(&format!("POST {path}"), &body)
    }

    /// Signs in and keeps the session cookie, whose attributes are checked.
    fn sign_in(&mut self, operator: &str, token: &str) -> String {
        let fields = [("operator", operator), ("token", token)];
        let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let answer = self.post("/sign-in", &fields);
        let mut lines = answer.lines();
        if let Some(line) = lines.find_map(|line| line.strip_prefix("set-cookie: ")) {
            assert!(line.contains("HttpOnly") && line.contains("SameSite=Strict"));
            line.split(';').next().unwrap().clone_into(&mut self.cookie);
        }
        answer
    }
}

/// Returns the hidden fields of the last form of a page.
fn hidden_fields(page: &str) -> Vec<(String, String)> {
    let form = page.rsplit_once("<form").unwrap().1;
    let fields = form.split("type=\"hidden\" name=\"").skip(1);
    let field = |field: &str| {
        let (name, rest) = field.split_once("\" value=\"").unwrap();
        let value = rest.split('"').next().unwrap();
        (name.to_owned(), value.to_owned())
    };
    fields.map(field).collect()
}

/// Waits until the overview contains a text and returns the page.
fn wait_for_overview(browser: &Browser, text: &str) -> String {
    for _ in 0..100 {
        let overview = browser.get("/");
        assert!(overview.starts_with("HTTP/1.1 200"), "{overview}");
        if overview.contains(text) {
            return overview;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("the overview did not contain {text:?} in time");
}

/// Submits changes and waits after each until it is in force on every host.
fn submit_all(operator: &Fleet, changes: Vec<Change>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for change in changes {
            let outcome = operator.submit(change, None).await.unwrap();
            let Outcome::Accepted { revision } = outcome else {
                panic!("{outcome:?}");
            };
            let limit = Duration::from_secs(20);
            let progress = operator.wait_in_force(revision, limit, |_| ()).await;
            assert!(progress.unwrap().is_complete());
        }
    });
}

/// Returns the changes that publish a service, set a tenant and issue a key.
///
/// The label of the key holds markup, which the pages have to escape.
fn initial_changes(secret: &Secret) -> Vec<Change> {
    let file: File = serde_json::from_value(json!({
        "service": "herd",
        "owner": "registry",
        "floor": 0.4,
        "routes": [{ "id": "register", "prefix": "/herd" }],
    }))
    .unwrap();
    let rate = Rate {
        per_second: 50.0,
        burst: 50,
    };
    let tenant = "farm".to_owned();
    let services = vec![Service::try_from(file).unwrap()];
    let set = Tenant {
        id: tenant.clone(),
        rate,
    };
    let issue = Change::IssueKey {
        digest: secret.digest(),
        tenant,
        label: "<b>phone</b>".to_owned(),
    };
    vec![
        Change::Publish { services },
        Change::SetTenant { tenant: set },
        issue,
    ]
}

/// Guards against pages that act without a session or with a forged form token, that repeat a
/// change when a form is sent twice, that eject below the floor unless the operator insists, that
/// show markup from a label, or that fail while control cannot be reached.
#[test]
fn an_operator_manages_the_fleet_from_the_pages() {
    let files = Files::create().unwrap();
    let (control, control_address) = fleet::control(&files, "control-0").unwrap();
    let (proxy, addresses) = fleet::proxy(&files, "host-0", "a", &[control_address], &[]).unwrap();
    let peers = [addresses.peers];
    let upstreams: Vec<_> = (0..2)
        .map(|number| {
            let setup = Setup {
                id: format!("upstream-{number}"),
                service: "herd".to_owned(),
                zone: "a".to_owned(),
                listen: "127.0.0.1:0".parse().unwrap(),
                slots: 3,
                work: Duration::from_millis(1),
                proxies: vec![addresses.platform],
                seed: number,
            };
            fleet::upstream(setup, Ledger::new()).unwrap().0
        })
        .collect();
    let operator = fleet::operator_with(&files, &[control_address], &peers).unwrap();
    let secret = Secret::generate(&mut rand::rng());
    submit_all(&operator, initial_changes(&secret));
    let (console, address, token) =
        fleet::console(&files, "ada", &[control_address], &peers).unwrap();

    let cookie = "pb_session=guess".to_owned();
    let mut browser = Browser { address, cookie };
    assert!(
        browser.get("/").starts_with("HTTP/1.1 303"),
        "a request without a valid session is redirected"
    );
    assert!(browser.sign_in("ada", "wrong").starts_with("HTTP/1.1 403"));
    assert!(
        browser
            .sign_in("eve", token.reveal())
            .starts_with("HTTP/1.1 403")
    );
    assert!(
        browser
            .sign_in("ada", token.reveal())
            .starts_with("HTTP/1.1 303")
    );

    let overview = wait_for_overview(&browser, "Nothing is wrong");
    for text in ["6 of 6 slots in use, floor 3", "<svg"] {
        assert!(overview.contains(text), "{text}: {overview}");
    }
    assert!(overview.len() < 30_000 && !overview.contains("<script"));

    let confirm_page = browser.get("/confirm?action=eject&target=upstream-0");
    assert!(
        confirm_page.contains("3 of 6 slots in use; its floor is 3"),
        "{confirm_page}"
    );
    let form = hidden_fields(&confirm_page);
    let mut forged = form.clone();
    forged[0].1 = "0".repeat(64);
    assert!(browser.post("/act", &forged).starts_with("HTTP/1.1 403"));
    let first = browser.post("/act", &form);
    assert!(first.contains("in force on 1 of 1 hosts"), "{first}");
    let again = browser.post("/act", &form);
    let revision = |page: &str| page.split("revision ").nth(1).unwrap()[..2].to_owned();
    assert_eq!(
        revision(&first),
        revision(&again),
        "a form sent twice makes one change"
    );
    let confirm_page = browser.get("/confirm?action=eject&target=upstream-1");
    assert!(
        confirm_page.contains("Do it all the same"),
        "{confirm_page}"
    );
    let refused = browser.post("/act", &hidden_fields(&confirm_page));
    assert!(refused.starts_with("HTTP/1.1 409"), "{refused}");
    let overview = browser.get("/");
    assert!(
        overview.contains("An operator ordered it to be ejected."),
        "{overview}"
    );
    assert!(
        overview.contains("eject upstream upstream-0, by ada"),
        "{overview}"
    );
    let report = browser.get("/explain?about=upstream&name=upstream-0");
    assert!(report.contains("ordered it to be ejected"), "{report}");

    let confirm_page = browser.get("/confirm?action=rollback&target=1");
    assert!(
        browser
            .post("/act", &hidden_fields(&confirm_page))
            .starts_with("HTTP/1.1 200")
    );
    let stale = browser.post("/act", &{
        let mut form = hidden_fields(&confirm_page);
        let change = form.iter_mut().find(|(name, _)| name == "change");
        change.unwrap().1 = "another".to_owned();
        form
    });
    assert!(stale.contains("came first"), "{stale}");

    let keys = browser.get("/keys?tenant=farm");
    assert!(keys.contains("&lt;b&gt;phone&lt;/b&gt;"), "{keys}");
    let confirm_page = browser.get(&format!(
        "/confirm?action=withdraw&target={}",
        secret.digest()
    ));
    assert!(
        browser
            .post("/act", &hidden_fields(&confirm_page))
            .starts_with("HTTP/1.1 200")
    );
    assert!(!browser.get("/keys").contains("phone"));
    for bad in ["/nothing", "/confirm?action=x&target=y", "/explain?about=x"] {
        let answer = browser.get(bad);
        assert!(answer.starts_with("HTTP/1.1 40"), "{bad}: {answer}");
    }

    control.end().unwrap();
    let overview = browser.get("/");
    assert!(overview.contains("Control is away"), "{overview}");
    assert!(overview.contains("6 of 6 slots") || overview.contains("3 of 6 slots"));
    let form = hidden_fields(&overview.replace("action=\"/explain\"", ""));
    assert!(
        form.is_empty(),
        "without control the overview offers no form that changes anything"
    );
    for part in upstreams {
        part.end().unwrap();
    }
    proxy.end().unwrap();
    console.end().unwrap();
}
