//! Publications: lookup of routes, weights, checks and deltas.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::key::Digest;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Published;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Part;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Route;
use persimmonbend_core::publication::Service;
use persimmonbend_core::publication::Table;
use persimmonbend_core::publication::Tenant;
use persimmonbend_core::publication::has_dot_segment;

fn route(host: &str, prefix: &str, parts: &[(&str, f64)]) -> Route {
    let part = |(service, weight): &(&str, f64)| Part {
        service: (*service).to_owned(),
        weight: *weight,
    };
    Route {
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        priority: 1,
        parts: parts.iter().map(part).collect(),
        attempts: 2,
        open: false,
    }
}

fn publication(version: u64, routes: &[(&str, Route)]) -> Publication {
    let services = ["herd", "tags"].map(|name| (name.to_owned(), Service::default()));
    let routes = routes
        .iter()
        .map(|(name, route)| ((*name).to_owned(), route.clone()));
    Publication {
        version: Some(version),
        routes: routes.collect(),
        services: BTreeMap::from(services),
        ..Publication::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let one = publication(
        1,
        &[
            ("all", route("farm.example", "/", &[("herd", 1.0)])),
            ("herd", route("farm.example", "/herd/", &[("herd", 1.0)])),
            (
                "deep",
                route("farm.example", "/herd/old/", &[("herd", 1.0)]),
            ),
            ("other", route("lab.example", "/herd/", &[("herd", 1.0)])),
        ],
    );
    let table = Table::from(&one);
    let cases = [
        ("farm.example", "/herd/old/7", Some("deep")),
        ("farm.example", "/herd/old/", Some("deep")),
        ("farm.example", "/herd/old", Some("herd")),
        ("farm.example", "/herd/7", Some("herd")),
        ("farm.example", "/herds/7", Some("all")),
        ("FARM.example:8080", "/herd/7", Some("herd")),
        ("lab.example", "/herd/7", Some("other")),
        ("lab.example", "/tags/7", None),
        ("nobody.example", "/herd/7", None),
        ("farm.example", "no-slash", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(String::as_str);
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn dot_segments_are_detected_plain_and_encoded() {
    for path in [
        "/open/../closed",
        "/a/./b",
        "/a/%2e%2E/b",
        "/a/.%2e",
        "/a%2f..%2fb",
        "/a/..\\b",
        "/..",
    ] {
        assert!(has_dot_segment(path), "{path}");
    }
    for path in ["/open/closed", "/a/..b/c", "/a/b.c", "/...", "/a/%2e%2e%2e"] {
        assert!(!has_dot_segment(path), "{path}");
    }
}

#[test]
fn each_fault_is_found() {
    let sound = publication(1, &[("r", route("h", "/", &[("herd", 1.0)]))]);
    assert!(sound.check().is_ok());
    let changed = |change: &dyn Fn(&mut Route)| {
        let mut one = sound.clone();
        change(one.routes.get_mut("r").unwrap());
        one
    };
    let faulty = [
        changed(&|route| route.parts[0].service = "nobody".to_owned()),
        changed(&|route| route.parts[0].weight = -0.5),
        changed(&|route| route.parts[0].weight = f64::NAN),
        changed(&|route| route.parts.clear()),
        changed(&|route| route.timeout = Duration::ZERO),
        changed(&|route| route.timeout = Duration::from_millis(600_001)),
    ];
    let unnumbered = Publication {
        version: None,
        ..sound.clone()
    };
    for one in faulty.into_iter().chain([unnumbered]) {
        assert!(one.check().is_err(), "{one:?}");
    }
    let mut shared = sound;
    let tenant = Tenant {
        keys: [Digest::of("the same key")].into(),
        ..Tenant::default()
    };
    shared.tenants.insert("a".to_owned(), tenant.clone());
    assert!(shared.check().is_ok());
    shared.tenants.insert("b".to_owned(), tenant);
    assert!(shared.check().is_err());
}

#[test]
fn the_parts_of_a_route_get_requests_by_weight() {
    let split = route("h", "/", &[("herd", 90.0), ("tags", 10.0), ("none", 0.0)]);
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for step in 0..1_000 {
        let service = split.pick(f64::from(step) / 1_000.0).unwrap();
        *counts.entry(service.as_str()).or_default() += 1;
    }
    assert_eq!(counts, BTreeMap::from([("herd", 900), ("tags", 100)]));
    let even = route("h", "/", &[("herd", 0.0), ("tags", 0.0)]);
    assert_eq!(even.pick(0.2).unwrap(), "herd");
    assert_eq!(even.pick(0.7).unwrap(), "tags");
}

/// Version 0 was taken for "nothing published": a publication of that version was acknowledged and lost.
#[test]
fn version_zero_is_a_version_like_any_other() {
    let (none, zero, five) = (
        Publication::default(),
        publication(0, &[("r", route("h", "/", &[("herd", 1.0)]))]),
        publication(5, &[]),
    );
    let between = |old, new| Delta::between(old, new).expect("a change");
    assert_eq!(Delta::between(&zero, &none), None);
    let first = between(&none, &zero);
    assert_eq!((first.base(), first.to()), (None, 0));
    assert_eq!(first.clone().apply(&none), Some(zero.clone()));
    assert_eq!(first.apply(&zero), None);
    let next = between(&zero, &five);
    assert_eq!(next.base(), Some(0));
    assert_eq!(next.clone().apply(&none), None);
    assert_eq!(next.apply(&zero), Some(five));

    let mut machine = Machine::default();
    let published = Rc::new(Published {
        publication: Rc::new(zero.clone()),
        document: "{}".to_owned(),
    });
    let command = Command::Publish { published };
    assert_eq!(command.level(), 3, "older builds do not apply it");
    machine.apply(&command);
    let snapshot = serde_json::to_vec(&machine).unwrap();
    let restored: Machine = serde_json::from_slice(&snapshot).unwrap();
    assert_eq!(*restored.published().publication, zero);
}

/// A snapshot of a build that writes version 0 for "nothing published" must not put an empty publication in force.
#[test]
fn a_snapshot_of_an_older_build_without_a_publication_has_none() {
    let mut snapshot = serde_json::to_value(Machine::default()).unwrap();
    assert!(snapshot.get("published").is_none(), "older builds read it");
    let mut blank = serde_json::to_value(Published::default()).unwrap();
    blank["publication"]["version"] = 0.into();
    snapshot["published"] = blank;
    let machine: Machine = serde_json::from_value(snapshot).unwrap();
    assert_eq!(machine.published().publication.version, None);
}

fn drawn(version: u64, choices: &[(u8, u8)]) -> Publication {
    let mut one = publication(version, &[]);
    for (name, content) in choices {
        let made = route(
            "h",
            &format!("/{content}/"),
            &[("herd", f64::from(*content))],
        );
        one.routes.insert(format!("r{}", name % 8), made);
        let mut tenant = Tenant::default();
        tenant.keys.insert(Digest::of(&format!("key {content}")));
        one.tenants.insert(format!("t{}", name % 4), tenant);
        if content % 3 == 0 {
            one.services.remove("tags");
        }
        one.limits.head_bytes = usize::from(*content);
    }
    one
}

properties! {
    fn a_delta_leads_from_the_old_to_the_new(old: Vec<(u8, u8)>, new: Vec<(u8, u8)>) -> bool {
        let (old, new) = (drawn(3, &old), drawn(8, &new));
        let delta = Delta::between(&old, &new);
        delta.is_some_and(|delta| delta.apply(&old) == Some(new))
    }

    fn no_order_and_no_restart_brings_an_older_publication_back(steps: Vec<(u8, bool)>) -> bool {
        let mut machine = Machine::default();
        let mut newest = None;
        for (number, restarts) in steps {
            let version = u64::from(number);
            let published = Published {
                publication: Rc::new(drawn(version, &[(number, 1)])),
                document: version.to_string(),
            };
            let published = Rc::new(published);
            machine.apply(&Command::Publish { published });
            newest = newest.max(Some(version));
            if restarts {
                let snapshot = serde_json::to_vec(&machine).unwrap();
                machine = serde_json::from_slice(&snapshot).unwrap();
            }
            let in_force = machine.published();
            let is_newest = in_force.publication.version == newest;
            let document = newest.map_or_else(String::new, |version| version.to_string());
            if !is_newest || in_force.document != document {
                return false;
            }
        }
        true
    }

    fn a_delta_applies_to_its_version_only(old: Vec<(u8, u8)>, new: Vec<(u8, u8)>) -> bool {
        let (old, new) = (drawn(3, &old), drawn(8, &new));
        let between = |old: &_, new: &_| Delta::between(old, new).expect("a change");
        let delta = between(&old, &new);
        let backwards = between(&new, &old);
        delta.clone().apply(&drawn(2, &[])).is_none()
            && delta.apply(&new).is_none()
            && backwards.apply(&new).is_none()
    }
}
