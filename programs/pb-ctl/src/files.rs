//! Service files: found, read, checked and merged.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use persimmonbend_app::settings;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Route;
use persimmonbend_core::config::Service;

/// Ending of a service file's name.
pub const ENDING: &str = "persimmonbend.jsonc";

/// Folders below the start that are searched.
const MAX_DEPTH: usize = 16;

/// What is wrong with a set of service files.
#[derive(Debug)]
pub enum Error {
    /// A folder could not be read.
    Io(PathBuf, io::Error),
    /// Files with faults.
    Faults(Vec<settings::Error>),
    /// Two files claim the same thing.
    Clash(Vec<String>),
    /// No service file was found.
    Nothing,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Faults(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                formatter.write_str(&lines.join("\n"))
            }
            Self::Clash(lines) => formatter.write_str(&lines.join("\n")),
            Self::Nothing => write!(formatter, "no file whose name ends in {ENDING}"),
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
/// Returns the faults of all files, or every clash between them.
pub fn read(files: &[PathBuf]) -> Result<Vec<Service>, Error> {
    if files.is_empty() {
        return Err(Error::Nothing);
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
    let clashes = clashes(&services);
    if !clashes.is_empty() {
        return Err(Error::Clash(clashes));
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
        if kind.is_file() && entry.file_name().to_string_lossy().ends_with(ENDING) {
            found.push(entry.path());
        }
    }
    Ok(())
}

fn clashes(services: &[(&PathBuf, Service)]) -> Vec<String> {
    let mut names: BTreeMap<&str, &PathBuf> = BTreeMap::new();
    let mut routes: Vec<Claim<'_>> = Vec::new();
    let mut clashes = Vec::new();
    for (file, service) in services {
        if let Some(other) = names.insert(&service.name, file) {
            let (here, there) = (place(file, "service"), place(other, "service"));
            clashes.push(format!("{here}: {} is also at {there}", service.name));
        }
        for (index, route) in service.routes.iter().enumerate() {
            let claim = Claim { file, index, route };
            if let Some(other) = routes.iter().find(|other| other.clashes_with(&claim)) {
                let (here, there) = (claim.place(), other.place());
                clashes.push(format!("{here}: {} is also at {there}", route.prefix));
            }
            routes.push(claim);
        }
    }
    clashes
}

/// A route with the place that claims it.
struct Claim<'a> {
    file: &'a Path,
    index: usize,
    route: &'a Route,
}

impl Claim<'_> {
    fn clashes_with(&self, other: &Self) -> bool {
        self.route.prefix == other.route.prefix
            && share_a_method(&self.route.methods, &other.route.methods)
    }

    fn place(&self) -> String {
        place(self.file, &format!("routes[{}].prefix", self.index))
    }
}

fn place(file: &Path, field: &str) -> String {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    format!(
        "{}:{}: {field}",
        file.display(),
        settings::line(&text, field)
    )
}

fn share_a_method(left: &[String], right: &[String]) -> bool {
    left.is_empty() || right.is_empty() || left.iter().any(|method| right.contains(method))
}
