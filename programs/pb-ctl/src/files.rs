//! Finds, reads, checks and merges service files.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use persimmonbend_app::settings;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Route;
use persimmonbend_core::config::Service;

/// Suffix of a service file's name.
pub const FILE_SUFFIX: &str = "persimmonbend.jsonc";

/// Levels of folders below the first that are searched.
const MAX_DEPTH: usize = 16;

/// The reason why a set of service files cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A folder could not be read.
    Io(PathBuf, io::Error),
    /// Files are not valid.
    Faults(Vec<settings::Error>),
    /// A service name, or a route's prefix and method, occurs twice.
    Conflict(Vec<String>),
    /// No service file was found.
    NoFiles,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Faults(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                formatter.write_str(&lines.join("\n"))
            }
            Self::Conflict(lines) => formatter.write_str(&lines.join("\n")),
            Self::NoFiles => write!(formatter, "no file whose name ends in {FILE_SUFFIX}"),
        }
    }
}

impl std::error::Error for Error {}

/// Finds the service files below a folder, in the order of their paths.
///
/// # Errors
///
/// Returns [`Error::Io`] when a folder cannot be read.
pub fn find(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut found = Vec::new();
    search(folder, MAX_DEPTH, &mut found)?;
    found.sort();
    Ok(found)
}

/// Reads and merges service files.
///
/// # Errors
///
/// Returns the faults of all files or, when no file has a fault, every conflict between them.
pub fn read(files: &[PathBuf]) -> Result<Vec<Service>, Error> {
    if files.is_empty() {
        return Err(Error::NoFiles);
    }
    let mut services: Vec<(&PathBuf, Service)> = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        match settings::load::<File, Service>(file) {
            Ok(service) => services.push((file, service)),
            Err(error) => faults.push(error),
        }
    }
    if !faults.is_empty() {
        return Err(Error::Faults(faults));
    }
    let conflicts = conflicts(&services);
    if !conflicts.is_empty() {
        return Err(Error::Conflict(conflicts));
    }
    Ok(services.into_iter().map(|(_, service)| service).collect())
}

fn search(folder: &Path, depth: usize, found: &mut Vec<PathBuf>) -> Result<(), Error> {
    let failed = |error| Error::Io(folder.to_owned(), error);
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        let kind = entry.file_type().map_err(failed)?;
        let hidden = entry.file_name().to_string_lossy().starts_with('.');
        if kind.is_dir() && depth > 0 && !hidden {
            search(&entry.path(), depth - 1, found)?;
        }
        if kind.is_file() && entry.file_name().to_string_lossy().ends_with(FILE_SUFFIX) {
            found.push(entry.path());
        }
    }
    Ok(())
}

fn conflicts(services: &[(&PathBuf, Service)]) -> Vec<String> {
    let mut names: BTreeMap<&str, &PathBuf> = BTreeMap::new();
    let mut routes: Vec<Location<'_>> = Vec::new();
    let mut conflicts = Vec::new();
    for (file, service) in services {
        if let Some(other) = names.insert(&service.name, file) {
            let (here, there) = (locate(file, "service"), locate(other, "service"));
            conflicts.push(format!("{here}: {} is also at {there}", service.name));
        }
        for (index, route) in service.routes.iter().enumerate() {
            let location = Location { file, index, route };
            if let Some(other) = routes.iter().find(|other| other.conflicts_with(&location)) {
                let (here, there) = (location.describe(), other.describe());
                conflicts.push(format!("{here}: {} is also at {there}", route.prefix));
            }
            routes.push(location);
        }
    }
    conflicts
}

/// A route with the file and the index at which it is defined.
struct Location<'a> {
    file: &'a Path,
    index: usize,
    route: &'a Route,
}

impl Location<'_> {
    fn conflicts_with(&self, other: &Self) -> bool {
        self.route.prefix == other.route.prefix
            && methods_overlap(&self.route.methods, &other.route.methods)
    }

    fn describe(&self) -> String {
        locate(self.file, &format!("routes[{}].prefix", self.index))
    }
}

fn locate(file: &Path, field: &str) -> String {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    format!(
        "{}:{}: {field}",
        file.display(),
        settings::line(&text, field)
    )
}

fn methods_overlap(left: &[String], right: &[String]) -> bool {
    left.is_empty() || right.is_empty() || left.iter().any(|method| right.contains(method))
}
