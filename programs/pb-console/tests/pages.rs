//! Tests of pages, sessions and the limit on failed sign-ins, without a fleet.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use pb_console::action::Action;
use pb_console::form::Form;
use pb_console::html::Html;
use pb_console::html::escape;
use pb_console::page;
use pb_console::session::FAILURE_WINDOW;
use pb_console::session::IDLE_LIFETIME;
use pb_console::session::LIFETIME;
use pb_console::session::Limiter;
use pb_console::session::MAX_FAILURES;
use pb_console::session::MAX_SESSIONS;
use pb_console::session::Session;
use pb_console::session::Sessions;
use pb_console::view::View;
use persimmonbend_check::properties;
use persimmonbend_core::event::Event;
use persimmonbend_core::explain::Capacity;
use persimmonbend_core::explain::Exclusion;
use persimmonbend_core::explain::Overview;
use persimmonbend_core::explain::Peer;
use persimmonbend_core::explain::Query;
use persimmonbend_core::explain::Report;
use persimmonbend_core::explain::Statistics;
use persimmonbend_core::traffic::Point;

/// Largest page in bytes.
const MAX_PAGE_BYTES: usize = 30_000;

/// Longest name of an upstream or a tenant in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A name with markup, which a page must escape.
const UNESCAPED_NAME: &str = "<script>alert('x')</script>\"&";

fn session() -> Session {
    let mut sessions = Sessions::new();
    let name = sessions.start(UNESCAPED_NAME, Instant::now());
    sessions.find(&name, Instant::now()).unwrap()
}

fn event(text: &str) -> Event {
    Event {
        number: 1,
        at: SystemTime::UNIX_EPOCH,
        part: "health".to_owned(),
        subject: UNESCAPED_NAME.to_owned(),
        text: text.to_owned(),
    }
}

fn statistics(name: String) -> Statistics {
    Statistics {
        name,
        answered: 3,
        failed: BTreeMap::from([("rate_exceeded".to_owned(), u64::MAX / 4)]),
        success: 0.5,
        p50_ms: 1.0,
        p99_ms: 1e9,
    }
}

fn overview(host: usize) -> Overview {
    let long = "\"<&".repeat(400);
    let name = |number: usize| {
        format!(
            "{UNESCAPED_NAME}{number:02}{}",
            &long[..MAX_NAME_BYTES - 40]
        )
    };
    Overview {
        host: name(host),
        zone: long.clone(),
        ready: false,
        revision: host as u64,
        services: (0..100)
            .map(|number| Capacity {
                service: name(number),
                floor: 0.7,
                slots: 300,
                in_use: 10,
            })
            .collect(),
        excluded: (0..50)
            .map(|number| Exclusion {
                upstream: name(number),
                service: name(number),
                reason: long.clone(),
            })
            .collect(),
        tenants: (0..20).map(|number| statistics(name(number))).collect(),
        routes: Vec::new(),
        hosts: (0..48)
            .map(|number| Peer {
                host: name(number),
                zone: long.clone(),
                peers: "127.0.0.1:1".parse().unwrap(),
                suspected: true,
                stopping: false,
            })
            .collect(),
        series: vec![
            Point {
                answered: u64::from(u32::MAX),
                failed: u64::from(u32::MAX),
                p50_us: u64::from(u32::MAX),
                p99_us: u64::from(u32::MAX),
            };
            60
        ],
        events: (0..40).map(|_| event(&long)).collect(),
    }
}

fn is_escaped(html: &Html) -> bool {
    let text = html.as_str();
    !text.contains("<script") && !text.contains("='x'") && !text.contains("src=")
}

#[test]
fn largest_overview_is_bounded_and_escaped() {
    let view = View {
        progress: None,
        config: None,
        overviews: (0..8).map(overview).collect(),
    };
    let html = page::home(&view, &session(), SystemTime::UNIX_EPOCH);
    assert!(is_escaped(&html));
    let length = html.as_str().len();
    assert!(length < MAX_PAGE_BYTES, "{length} bytes");
}

#[test]
fn largest_report_is_bounded_and_escaped() {
    let long = "<\"".repeat(500);
    let report = Report {
        host: UNESCAPED_NAME.to_owned(),
        subject: UNESCAPED_NAME.to_owned(),
        known: true,
        sentences: vec![long.clone(); 50],
        events: vec![event(&long); 50],
        capacity: None,
        slots_in_use: 0,
    };
    let query = Query::Upstream(UNESCAPED_NAME.to_owned());
    let reports = vec![report; 40];
    let html = page::reports(&query, &reports, &session(), SystemTime::UNIX_EPOCH);
    assert!(is_escaped(&html));
    let length = html.as_str().len();
    assert!(length < MAX_PAGE_BYTES, "{length} bytes");
}

#[test]
fn missing_control_and_proxies_are_problems() {
    let problems = View::default().problems();
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems[0].contains("Control is away"));
}

#[test]
fn tenants_are_summed_over_hosts() {
    let mut one = overview(0);
    one.tenants = vec![statistics("farm".to_owned())];
    one.tenants[0].failed = BTreeMap::from([("shed".to_owned(), 1)]);
    let view = View {
        overviews: vec![one.clone(), one],
        ..View::default()
    };
    let tenants = view.tenants();
    assert_eq!(tenants.len(), 1);
    assert_eq!((tenants[0].answered, tenants[0].failed["shed"]), (6, 2));
    assert!((tenants[0].success - 0.75).abs() < 1e-9);
}

#[test]
fn forms_without_a_valid_action_are_refused() {
    let cases = [
        "",
        "action=eject",
        "action=explode&target=a",
        "action=withdraw&target=short",
        "action=rollback&target=-1",
        "action=rollback&target=1e3",
    ];
    for case in cases {
        assert!(
            Action::try_from(&Form::from(case.as_bytes())).is_err(),
            "{case}"
        );
    }
    let form = Form::from(&b"action=eject&target=a%26b&target=c"[..]);
    assert_eq!(Action::try_from(&form).unwrap().target(), "a&b");
}

#[test]
fn sessions_expire_and_end() {
    let start = Instant::now();
    let mut sessions = Sessions::new();
    let name = sessions.start("ada", start);
    assert!(sessions.find("other", start).is_none());
    let mut now = start;
    while now.duration_since(start) + IDLE_LIFETIME / 2 < LIFETIME {
        now += IDLE_LIFETIME / 2;
        assert!(sessions.find(&name, now).is_some(), "a used session lasts");
    }
    assert!(sessions.find(&name, start + LIFETIME).is_none());
    let idle = sessions.start("ada", start);
    assert!(sessions.find(&idle, start + IDLE_LIFETIME).is_none());
    let left = sessions.start("ada", start);
    sessions.end(&left);
    assert!(sessions.find(&left, start).is_none());
}

#[test]
fn oldest_session_ends_at_the_limit() {
    let start = Instant::now();
    let mut sessions = Sessions::new();
    let first = sessions.start("ada", start);
    for number in 1..=MAX_SESSIONS {
        let at = start + Duration::from_millis(number as u64);
        sessions.start("ada", at);
    }
    assert!(sessions.find(&first, start).is_none());
}

#[test]
fn failed_sign_ins_are_limited_by_network() {
    let now = Instant::now();
    let mut limiter = Limiter::new();
    let address: IpAddr = "2001:db8::1".parse().unwrap();
    let neighbour: IpAddr = "2001:db8::2".parse().unwrap();
    let other: IpAddr = "192.0.2.1".parse().unwrap();
    for _ in 0..MAX_FAILURES {
        assert!(limiter.retry_delay(address, now).is_none());
        limiter.record_failure(address, now);
    }
    assert_eq!(limiter.retry_delay(address, now), Some(FAILURE_WINDOW));
    assert!(limiter.retry_delay(neighbour, now).is_some());
    assert!(limiter.retry_delay(other, now).is_none());
    assert!(limiter.retry_delay(address, now + FAILURE_WINDOW).is_none());
    limiter.record_failure(address, now + FAILURE_WINDOW);
    assert!(limiter.retry_delay(address, now + FAILURE_WINDOW).is_none());
}

properties! {
    fn escaped_text_has_no_markup(text: String) -> bool {
        let escaped = escape(&text);
        let restored = escaped
            .replace("&lt;", "<")
            .replace("&gt;", ">")
            .replace("&quot;", "\"")
            .replace("&#39;", "'")
            .replace("&amp;", "&");
        !escaped.contains(['<', '>', '"', '\'']) && restored == text
    }
}
