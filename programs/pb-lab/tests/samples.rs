//! The sample settings and service files in config/ are valid.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::path::PathBuf;

use pb_lab::fleet::Files;
use persimmonbend_app::settings;
use persimmonbend_core::fault::Faults;
use serde::de::DeserializeOwned;

/// Folders in config/, one for each fleet.
const FLEETS: [&str; 3] = ["sample", "trinacria", "haugland"];

fn sample_folder(fleet: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config");
    root.join(fleet)
}

/// Checks that a settings file is valid once it names the secret file of the test.
fn check_settings<R, C>(path: &Path, files: &Files)
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = Faults>,
{
    let text = std::fs::read_to_string(path).unwrap();
    assert!(text.contains("\"fleet-secret\""), "{}", path.display());
    let text = text.replace("fleet-secret", &files.secret().display().to_string());
    let checked = settings::parse::<R, C>(&text);
    assert!(
        checked.is_ok(),
        "{}: {:?}",
        path.display(),
        checked.err().unwrap()
    );
}

/// Guards against a change of the settings that the samples did not follow.
#[test]
fn every_sample_settings_file_is_valid() {
    let files = Files::create().unwrap();
    let mut checked = 0;
    for fleet in FLEETS {
        for entry in std::fs::read_dir(sample_folder(fleet)).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            match name.split(['-', '.']).next().unwrap() {
                "control" => {
                    check_settings::<pb_control::settings::File, pb_control::settings::Settings>(
                        &path, &files,
                    );
                }
                "proxy" => {
                    check_settings::<pb_proxy::settings::File, pb_proxy::settings::Settings>(
                        &path, &files,
                    );
                }
                "ctl" => check_settings::<pb_ctl::settings::File, pb_ctl::settings::Settings>(
                    &path, &files,
                ),
                "console" => {
                    check_settings::<pb_console::settings::File, pb_console::settings::Settings>(
                        &path, &files,
                    );
                }
                "services" => continue,
                other => panic!("no program reads settings named {other}"),
            }
            checked += 1;
        }
    }
    assert!(
        checked >= 4 * FLEETS.len(),
        "only {checked} settings files were checked"
    );
}

/// Guards against a service file that cannot be published or that loses a service or the mark of
/// its non-idempotent route.
#[test]
fn every_sample_service_file_is_valid() {
    for (fleet, services, non_idempotent) in
        [("sample", 1, 1), ("trinacria", 3, 1), ("haugland", 3, 1)]
    {
        let found = pb_ctl::files::find(&sample_folder(fleet)).unwrap();
        let read = pb_ctl::files::read(&found).unwrap_or_else(|error| panic!("{error}"));
        let routes = read.iter().flat_map(|service| &service.routes);
        let marked = routes.filter(|route| route.non_idempotent).count();
        assert_eq!((read.len(), marked), (services, non_idempotent), "{fleet}");
    }
}
