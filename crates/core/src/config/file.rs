//! The service file, which a team keeps with the code of its service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Rate;
use crate::config::Route;
use crate::config::Service;
use crate::fault::Faults;

/// Default floor: share of the healthy capacity that stays in use.
const DEFAULT_FLOOR: f64 = 0.7;

/// Default deadline of a route in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 2_000;

/// Maximum deadline of a route.
const MAX_DEADLINE: Duration = Duration::from_secs(300);

/// A service file as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name of the service.
    pub service: String,
    /// Team that owns the service.
    pub owner: String,
    /// Share of the healthy capacity that ejection must leave in use.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// Rate of tenants without a rate of their own.
    #[serde(default)]
    pub default_rate: Option<Rate>,
    /// Routes of the service.
    pub routes: Vec<FileRoute>,
}

/// A route as written in a service file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileRoute {
    /// Name, unique in the service.
    pub id: String,
    /// Path prefix.
    pub prefix: String,
    /// Accepted methods; empty means all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether the route needs no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request runs at most once.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Whether a non-idempotent request without an idempotency key is forwarded unrecorded.
    #[serde(default)]
    pub allow_unrecorded: bool,
    /// Deadline of a request in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

impl TryFrom<File> for Service {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        faults.require(is_name(&file.service), "service", INVALID_NAME);
        faults.require(!file.owner.is_empty(), "owner", "must not be empty");
        faults.require(
            (0.0..=1.0).contains(&file.floor),
            "floor",
            "must be from 0 to 1",
        );
        faults.require(
            !file.routes.is_empty(),
            "routes",
            "must name at least one route",
        );
        if let Some(rate) = file.default_rate {
            check_rate(&mut faults, "default_rate", rate);
        }
        let mut ids = Vec::new();
        for (index, route) in file.routes.iter().enumerate() {
            check_route(&mut faults, index, route);
            let is_duplicate = ids.contains(&route.id);
            faults.require(
                !is_duplicate,
                &format!("routes[{index}].id"),
                "duplicate id",
            );
            ids.push(route.id.clone());
        }
        let service = Self {
            name: file.service,
            owner: file.owner,
            floor: file.floor,
            routes: file.routes.into_iter().map(Route::from).collect(),
            default_rate: file.default_rate,
        };
        faults.into_result(Some(service))
    }
}

impl From<FileRoute> for Route {
    fn from(route: FileRoute) -> Self {
        Self {
            id: route.id,
            prefix: route.prefix,
            methods: route.methods,
            open: route.open,
            non_idempotent: route.non_idempotent,
            allow_unrecorded: route.allow_unrecorded,
            deadline_ms: route.deadline_ms,
        }
    }
}

const INVALID_NAME: &str = "must have 1 to 64 letters, digits, '-', '_' or '.'";
const KNOWN_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

fn check_route(faults: &mut Faults, index: usize, route: &FileRoute) {
    let field = |name: &str| format!("routes[{index}].{name}");
    faults.require(is_name(&route.id), &field("id"), INVALID_NAME);
    let plain = route.prefix.starts_with('/') && !route.prefix.contains(['?', '#', ' ']);
    faults.require(
        plain,
        &field("prefix"),
        "must be a path that starts with '/'",
    );
    let deadline = Duration::from_millis(route.deadline_ms);
    let within = !deadline.is_zero() && deadline <= MAX_DEADLINE;
    faults.require(within, &field("deadline_ms"), "must be 1 to 300000");
    for (at, method) in route.methods.iter().enumerate() {
        let known = KNOWN_METHODS.contains(&method.as_str());
        faults.require(known, &field(&format!("methods[{at}]")), "unknown method");
    }
    let both = route.open && route.non_idempotent;
    faults.require(!both, &field("open"), "a non-idempotent route needs a key");
    let misplaced = route.allow_unrecorded && !route.non_idempotent;
    faults.require(
        !misplaced,
        &field("allow_unrecorded"),
        "is for non-idempotent routes only",
    );
}

fn check_rate(faults: &mut Faults, field: &str, rate: Rate) {
    let positive = rate.per_second.is_finite() && rate.per_second > 0.0;
    faults.require(positive, &format!("{field}.per_second"), "must be above 0");
    faults.require(
        rate.burst > 0,
        &format!("{field}.burst"),
        "must be at least 1",
    );
}

fn is_name(text: &str) -> bool {
    let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    !text.is_empty() && text.len() <= 64 && text.chars().all(plain)
}

const fn default_floor() -> f64 {
    DEFAULT_FLOOR
}

const fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}
