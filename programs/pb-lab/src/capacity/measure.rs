//! Measures slopes of memory, time and snapshot size inside one process.

use std::hint::black_box;
use std::process::Command;
use std::rc::Rc;
use std::time::Instant;

use anyhow::Context;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use persimmonbend_core::board::Board;
use persimmonbend_core::clock::System;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::State;
use persimmonbend_core::key::Secret;

use crate::capacity::fit::slope;
use crate::capacity::samples;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;

/// Key checks over which the mean time is taken.
const KEY_CHECK_COUNT: u32 = 100_000;

/// Changes over which the mean time is taken.
const CHANGE_COUNT: u32 = 20;

/// Keys at the target size; the constants below are counts at the target size too.
const KEY_COUNT: usize = 126_000;
const TENANT_COUNT: usize = 63_000;
const ROUTE_COUNT: usize = 6_100;
const SERVICE_COUNT: usize = 1_600;
const UPSTREAM_COUNT: usize = 24_000;
const HOST_COUNT: usize = 2_800;

/// A slope measured by this process.
#[derive(Debug, Clone, PartialEq)]
pub struct Measurement {
    /// Name in the file of slopes.
    pub name: &'static str,
    /// Value in the unit of that file.
    pub value: f64,
}

/// The kind of items whose memory is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Key digests of a configuration.
    Keys,
    /// Tenants of a configuration.
    Tenants,
    /// Routes in force.
    Routes,
    /// Upstreams on a board.
    Upstreams,
    /// Hosts on a board.
    Hosts,
}

impl Content {
    const ALL: [Self; 5] = [
        Self::Keys,
        Self::Tenants,
        Self::Routes,
        Self::Upstreams,
        Self::Hosts,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Keys => "memory_key",
            Self::Tenants => "memory_tenant",
            Self::Routes => "memory_route",
            Self::Upstreams => "memory_upstream",
            Self::Hosts => "memory_host",
        }
    }

    const fn target_size(self) -> usize {
        match self {
            Self::Keys => KEY_COUNT,
            Self::Tenants => TENANT_COUNT,
            Self::Routes => ROUTE_COUNT,
            Self::Upstreams => UPSTREAM_COUNT,
            Self::Hosts => HOST_COUNT,
        }
    }
}

impl std::str::FromStr for Content {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|one| one.name() == text);
        found.ok_or_else(|| format!("there is no content {text}"))
    }
}

/// Measures all slopes that one process can measure.
///
/// The memory of an item is the slope over a quarter, a half and the whole of the target size. Each
/// size is measured in a new process, because a process would reuse the memory that it freed.
///
/// # Errors
///
/// Returns an error when a process cannot be started or its memory cannot be read.
pub fn measure() -> anyhow::Result<Vec<Measurement>> {
    let mut measurements = vec![measurement("memory_process", resident_bytes()?)];
    for content in Content::ALL {
        measurements.push(measurement(content.name(), memory_per_item(content)?));
    }
    measurements.extend(snapshot_sizes()?);
    measurements.extend(times()?);
    Ok(measurements)
}

/// Creates `size` items in this process and returns its resident memory in bytes.
///
/// # Errors
///
/// Returns an error when the memory of the process cannot be read.
pub fn fill(content: Content, size: usize) -> anyhow::Result<f64> {
    let state = match content {
        Content::Keys => state_with(size, |number| samples::key(number).0),
        Content::Tenants => state_with(size, samples::tenant),
        Content::Routes => return resident_with(&board_with_routes(size)),
        Content::Upstreams => return resident_with(&samples::upstreams(size)),
        Content::Hosts => return resident_with(&samples::hosts(size)),
    };
    resident_with(&state)
}

fn resident_with<T>(content: &T) -> anyhow::Result<f64> {
    let bytes = resident_bytes()?;
    black_box(content);
    Ok(bytes)
}

fn state_with<F: Fn(usize) -> Change>(size: usize, change: F) -> State {
    let mut state = samples::with_full_history();
    for number in 0..size {
        samples::apply(&mut state, change(number));
    }
    state
}

/// Returns a board with routes in force, as a proxy has it.
fn board_with_routes(size: usize) -> Board {
    let mut state = samples::with_full_history();
    let services = size * SERVICE_COUNT / ROUTE_COUNT;
    samples::apply(&mut state, samples::routes(services, size));
    let mut board = Board::new(Rc::new(System));
    board.put_config(state);
    board
}

/// Returns the bytes of memory per item.
fn memory_per_item(content: Content) -> anyhow::Result<f64> {
    let program = std::env::current_exe()?;
    let mut points = Vec::new();
    for size in [
        content.target_size() / 4,
        content.target_size() / 2,
        content.target_size(),
    ] {
        let output = Command::new(&program)
            .args(["fill", content.name(), &size.to_string()])
            .output()?;
        let text = String::from_utf8(output.stdout)?;
        points.push((as_float(size), text.trim().parse()?));
    }
    Ok(slope(&points))
}

/// Returns the bytes per key and per tenant in a snapshot.
fn snapshot_sizes() -> anyhow::Result<Vec<Measurement>> {
    let length = |state: &State| anyhow::Ok(as_float(serde_json::to_vec(state)?.len()));
    let mut keys = Vec::new();
    let mut tenants = Vec::new();
    for size in [1_000, 2_000, 4_000] {
        let state = state_with(size, |number| samples::key(number).0);
        keys.push((as_float(size), length(&state)?));
        let state = state_with(size, samples::tenant);
        tenants.push((as_float(size), length(&state)?));
    }
    Ok(vec![
        measurement("snapshot_key", slope(&keys)),
        measurement("snapshot_tenant", slope(&tenants)),
    ])
}

/// Returns the size of a snapshot and the times of a snapshot, a key check and a change, all at the
/// target size.
fn times() -> anyhow::Result<Vec<Measurement>> {
    let mut state = samples::with_full_history();
    let mut last = None;
    for number in 0..TENANT_COUNT {
        samples::apply(&mut state, samples::tenant(number));
    }
    for number in 0..KEY_COUNT {
        let (change, secret) = samples::key(number % TENANT_COUNT);
        samples::apply(&mut state, change);
        last = Some(secret);
    }
    samples::apply(&mut state, samples::routes(SERVICE_COUNT, ROUTE_COUNT));
    let last = last.context("no key was issued")?;
    let started = Instant::now();
    let snapshot = serde_json::to_vec(&state)?;
    let encode = started.elapsed();
    let started = Instant::now();
    let decoded: State = serde_json::from_slice(&snapshot)?;
    let decode = started.elapsed();
    anyhow::ensure!(decoded == state, "the snapshot is not the state");
    let mut board = Board::new(Rc::new(System));
    board.put_config(state);
    Ok(vec![
        measurement("snapshot_bytes", as_float(snapshot.len())),
        measurement("snapshot_encode_ms", encode.as_secs_f64() * 1_000.0),
        measurement("snapshot_decode_ms", decode.as_secs_f64() * 1_000.0),
        measurement("key_check_us", key_check_us(&board, &last)?),
        measurement("change_ms", change_ms(&mut board)),
    ])
}

fn key_check_us(board: &Board, secret: &Secret) -> anyhow::Result<f64> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("Bearer {}", secret.reveal()))?;
    headers.insert(AUTHORIZATION, value);
    let started = Instant::now();
    for _ in 0..KEY_CHECK_COUNT {
        let digest = pb_proxy::auth::digest(black_box(&headers));
        let tenant = digest.and_then(|digest| pb_proxy::auth::tenant(board, &digest));
        anyhow::ensure!(tenant.is_ok(), "the key is not known");
    }
    Ok(started.elapsed().as_secs_f64() * 1_000_000.0 / f64::from(KEY_CHECK_COUNT))
}

/// Returns the mean time that a proxy takes to apply a change, in milliseconds.
fn change_ms(board: &mut Board) -> f64 {
    let started = Instant::now();
    for _ in 0..CHANGE_COUNT {
        let mut state = State::clone(&board.config());
        samples::apply(&mut state, samples::tenant(0));
        board.put_config(state);
    }
    started.elapsed().as_secs_f64() * 1_000.0 / f64::from(CHANGE_COUNT)
}

const fn measurement(name: &'static str, value: f64) -> Measurement {
    Measurement { name, value }
}

fn resident_bytes() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("statm has no second field")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

#[allow(clippy::cast_precision_loss)]
const fn as_float(size: usize) -> f64 {
    size as f64
}
