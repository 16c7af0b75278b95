//! Tests of service files, differences, the progress of a revision and the check of the floor,
//! without a running fleet.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use pb_ctl::diff;
use pb_ctl::exit::Exit;
use pb_ctl::files;
use pb_ctl::fleet::Host;
use pb_ctl::fleet::Progress;
use pb_ctl::fleet::Status;
use pb_ctl::steering;
use pb_ctl::steering::Check;
use persimmonbend_check::properties;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Order;
use persimmonbend_core::config::Service;
use persimmonbend_core::explain::Capacity;
use persimmonbend_core::explain::Report;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("pb-ctl-{:016x}", rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    fn write(&self, path: &str, text: &str) {
        let path = self.0.join(path);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }

    fn read(&self) -> Result<Vec<Service>, files::Error> {
        files::find(&self.0).and_then(|found| files::read(&found))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn file(service: &str, prefix: &str, methods: &str, floor: f64) -> String {
    format!(
        "{{\"service\": \"{service}\", \"owner\": \"o\", \"floor\": {floor},\n\
         \"routes\": [\n{{\"id\": \"r\", \"prefix\": \"{prefix}\", \"methods\": [{methods}]}}]}}"
    )
}

fn service(service: &str, prefix: &str, floor: f64) -> Service {
    let raw: File = serde_json::from_str(&file(service, prefix, "", floor)).unwrap();
    Service::try_from(raw).unwrap()
}

#[test]
fn faults_and_conflicts_name_file_line_and_field() {
    let folder = Folder::new();
    folder.write("a/a.persimmonbend.jsonc", &file("a", "/x", "\"GET\"", 0.7));
    folder.write("b/b.persimmonbend.jsonc", &file("b", "/x", "\"POST\"", 0.7));
    assert_eq!(folder.read().unwrap().len(), 2);
    folder.write("c/c.persimmonbend.jsonc", &file("a", "/x", "", 0.7));
    let text = folder.read().unwrap_err().to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].contains("c.persimmonbend.jsonc:1: service: a is also at"));
    assert!(lines[1].contains("c.persimmonbend.jsonc:3: routes[0].prefix: /x is also at"));
    assert!(lines[1].contains("a.persimmonbend.jsonc:3: routes[0].prefix"));
    folder.write("d/d.persimmonbend.jsonc", &file("", "x", "", 2.0));
    folder.write(
        "e/e.persimmonbend.jsonc",
        &file("e", "/e", "\"FETCH\"", 0.7),
    );
    let text = folder.read().unwrap_err().to_string();
    assert_eq!(text.lines().count(), 4, "every fault of every file: {text}");
}

#[test]
fn a_folder_without_service_files_is_an_error() {
    let folder = Folder::new();
    assert!(matches!(folder.read(), Err(files::Error::NoFiles)));
    assert!(matches!(
        files::find(Path::new("/nonexistent")),
        Err(files::Error::Io(..))
    ));
}

#[test]
fn the_difference_lists_each_change() {
    let old = [service("a", "/a", 0.7), service("b", "/b", 0.7)];
    let old: BTreeMap<_, _> = old.into_iter().map(|one| (one.name.clone(), one)).collect();
    let same: Vec<Service> = old.values().cloned().collect();
    assert!(diff::lines(&old, &same).is_empty());
    let new = [service("a", "/aa", 0.8), service("c", "/c", 0.7)];
    let lines = diff::lines(&old, &new);
    assert_eq!(
        lines,
        [
            "~ service a: floor 0.7 -> 0.8",
            "~ route a/r (any method /a, 2000 ms) -> r (any method /aa, 2000 ms)",
            "- service b",
            "+ service c of o",
            "+ route c/r (any method /c, 2000 ms)",
        ]
    );
}

#[test]
fn progress_names_the_hosts_that_are_behind() {
    let host = |name: &str, revision, silent_ms| Host {
        host: name.to_owned(),
        revision,
        silent_ms,
    };
    let hosts = vec![host("a", 7, 10), host("b", 6, 40_000), host("c", 6, 100)];
    let progress = Progress::new(
        7,
        &Status {
            revision: 7,
            hosts,
            ..Status::default()
        },
    );
    assert!(!progress.is_complete());
    assert_eq!(
        progress.describe(),
        "revision 7 is in force on 1 of 3 hosts; b silent for 40 s; c has revision 6"
    );
    assert!(!Progress::new(7, &Status::default()).is_complete());
}

#[test]
fn exit_codes_are_stable() {
    let codes: Vec<u8> = Exit::ALL.iter().map(|exit| exit.code()).collect();
    assert_eq!(codes, [0, 1, 2, 3, 4, 5]);
}

properties! {
    fn the_check_finds_each_order_that_breaks_the_floor(
        in_use: u8, others: u8, own: u8, floor_percent: u8, restore: bool
    ) -> bool {
        let (in_use, others, own) = (u32::from(in_use), u32::from(others), u32::from(own));
        let own = own.min(in_use);
        let floor = f64::from(floor_percent.min(100)) / 100.0;
        let capacity = Capacity {
            service: "herd".to_owned(),
            floor,
            slots: in_use + others,
            in_use,
        };
        let report = Report {
            host: "host-0".to_owned(),
            subject: "upstream-0".to_owned(),
            known: true,
            sentences: Vec::new(),
            events: Vec::new(),
            capacity: Some(capacity),
            slots_in_use: own,
        };
        let order = if restore { Order::Restore } else { Order::Eject };
        let below = f64::from(in_use - own) < f64::from(in_use + others) * floor;
        let breaks = matches!(steering::evaluate(&report, order), Check::Breaks(_));
        breaks == (below && !restore)
    }
}
