//! Checks and merges service files without a connection to a fleet.

use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use crate::exit::Answer;
use crate::exit::Exit;
use crate::files;

/// Checks service files.
pub fn check(paths: &[PathBuf]) -> Answer {
    match files::read(paths) {
        Ok(services) => {
            let text = format!("{} services can be published", services.len());
            Answer::new(Exit::Done, text, json!({ "services": services.len() }))
        }
        Err(error) => unusable(&error),
    }
}

/// Finds the service files below a folder, merges them and returns the services.
pub fn collect(folder: &Path) -> Answer {
    let services = files::find(folder).and_then(|found| files::read(&found));
    match services {
        Ok(services) => {
            let value = json!(services);
            Answer::new(Exit::Done, format!("{value:#}"), value)
        }
        Err(error) => unusable(&error),
    }
}

/// Returns the answer that lists the faults of service files.
pub fn unusable(error: &files::Error) -> Answer {
    let text = error.to_string();
    let faults: Vec<&str> = text.lines().collect();
    let value = json!({ "faults": faults });
    Answer::new(Exit::Usage, text, value)
}
