//! The schedule of gossip: which messages [`Membership::tick`] sends, and when.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::board::Board;
use crate::id::HostId;
use crate::membership::Envelope;
use crate::membership::Membership;
use crate::membership::exchange::MAX_RECORD_BYTES;
use crate::membership::message::Key;
use crate::membership::message::Mark;
use crate::membership::message::Message;
use crate::membership::message::Record;
use crate::membership::message::Subject;
use crate::membership::message::Version;
use crate::membership::message::host_key;
use crate::membership::view::Identity;

/// Time between two calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two exchanges with random hosts.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two exchanges with one of the watchers of this host.
const WATCHER_EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between two reports of overdue subjects to one host.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two messages of renewals to one host, well below the lifetime of an announcement.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts that each change is pushed to.
const FAN_OUT: usize = 3;

/// One exchange in this many goes to an address at which no live host is known.
const UNREACHABLE_EXCHANGE_RATIO: u32 = 6;

/// Divisor of the lifetime of a watched host that gives the silence after which this host opens an
/// exchange with the watched host.
const PROBE_LIFETIME_DIVISOR: u32 = 2;

/// When the next message of each kind is due.
#[derive(Debug)]
pub struct Schedule {
    exchange: Instant,
    watcher_exchange: Instant,
    reports: Instant,
    renewals: Instant,
    next_watcher: usize,
}

impl Schedule {
    /// Creates a schedule on which all messages are due at once.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            exchange: now,
            watcher_exchange: now,
            reports: now,
            renewals: now,
            next_watcher: 0,
        }
    }
}

impl Membership {
    /// Returns the messages that are due.
    pub fn tick(&mut self, board: &mut Board) -> Vec<Envelope> {
        let now = board.now();
        self.refresh(board);
        let mut envelopes = Vec::new();
        if now >= self.schedule.reports {
            self.schedule.reports = now + REPORT_INTERVAL;
            self.send_reports(board, &mut envelopes);
        }
        self.push_pending(board, &mut envelopes);
        if now >= self.schedule.exchange {
            self.schedule.exchange = now + self.jittered(EXCHANGE_INTERVAL);
            let to = self.pick_peer(board);
            self.exchange(board, to, &mut envelopes);
        }
        if now >= self.schedule.watcher_exchange {
            self.schedule.watcher_exchange = now + self.jittered(WATCHER_EXCHANGE_INTERVAL);
            let to = self.pick_watcher(board);
            self.exchange(board, to, &mut envelopes);
        }
        envelopes
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn exchange(&mut self, board: &Board, to: Option<SocketAddr>, envelopes: &mut Vec<Envelope>) {
        if let Some(to) = to {
            let message = self.open(board);
            envelopes.push(Envelope { to, message });
        }
    }

    /// Picks a live host, or now and then an address at which a host may have come back.
    fn pick_peer(&mut self, board: &Board) -> Option<SocketAddr> {
        let live = self.live_peers(board);
        let try_unreachable = self.rng.random_ratio(1, UNREACHABLE_EXCHANGE_RATIO);
        if live.is_empty() || try_unreachable {
            let others = self.unreachable_addresses(board, &live);
            if let Some(to) = others.choose(&mut self.rng) {
                return Some(*to);
            }
        }
        live.choose(&mut self.rng).copied()
    }

    fn live_peers(&self, board: &Board) -> Vec<SocketAddr> {
        let others = board.hosts().values().filter(|host| host.is_live());
        let others = others.map(|host| &host.announcement);
        let others = others.filter(|host| host.id != self.own.id);
        others.map(|host| host.peers).collect()
    }

    fn unreachable_addresses(&self, board: &Board, live: &[SocketAddr]) -> Vec<SocketAddr> {
        let suspected = board.hosts().values().filter(|host| host.suspected);
        let suspected = suspected.map(|host| host.announcement.peers);
        let all = suspected.chain(self.contacts.iter().copied());
        let unreachable = all.filter(|one| *one != self.own.peers && !live.contains(one));
        unreachable.collect()
    }

    /// Picks the next watcher of this host in turn.
    fn pick_watcher(&mut self, board: &Board) -> Option<SocketAddr> {
        let watchers = self.assignment.watchers(host_key(&self.own.id));
        if watchers.is_empty() {
            return None;
        }
        self.schedule.next_watcher = (self.schedule.next_watcher + 1) % watchers.len();
        address(board, &watchers[self.schedule.next_watcher])
    }

    /// Sends waiting renewals and reports of overdue subjects to the watchers of these subjects.
    fn send_reports(&mut self, board: &mut Board, envelopes: &mut Vec<Envelope>) {
        let mut messages: BTreeMap<HostId, Message> = BTreeMap::new();
        let empty_message = Message::new(self.own.clone(), board.config().revision());
        for (watcher, renewals) in self.due_renewals(board) {
            let message = messages
                .entry(watcher)
                .or_insert_with(|| empty_message.clone());
            let marks = renewals.into_iter();
            message.renewals = marks.map(|(key, version)| Mark { key, version }).collect();
        }
        for report in self.overdue(board) {
            let watchers = self.assignment.watchers(report.key);
            self.lapse_on_majority(board, report, &watchers);
            for watcher in watchers.into_iter().filter(|id| *id != self.own.id) {
                let message = messages
                    .entry(watcher)
                    .or_insert_with(|| empty_message.clone());
                message.overdue.push(report);
            }
        }
        for (watcher, message) in messages {
            if let Some(to) = address(board, &watcher) {
                envelopes.push(Envelope { to, message });
            }
        }
        self.probe_silent_hosts(board, envelopes);
    }

    fn due_renewals(&mut self, board: &Board) -> BTreeMap<HostId, BTreeMap<Key, Version>> {
        let now = board.now();
        if now < self.schedule.renewals {
            return BTreeMap::new();
        }
        self.schedule.renewals = now + self.jittered(RENEWAL_INTERVAL);
        std::mem::take(&mut self.renewals)
    }

    /// Returns the overdue subjects that this host watches.
    ///
    /// Leaves out upstreams while the fault is likely this host's own, and everything while this
    /// host does not reach most of the fleet.
    fn overdue(&mut self, board: &mut Board) -> Vec<Mark> {
        let now = board.now();
        let suspects_own_fault = self.watches.suspects_own_fault(now);
        if suspects_own_fault && !self.suspects_own_fault {
            let text = "Most upstreams fell silent at once, so the last view is kept.";
            board.record("members", &self.own.id, text.to_owned());
        }
        self.suspects_own_fault = suspects_own_fault;
        if !self.reachability.has_recent_majority(now) {
            return Vec::new();
        }
        let mut overdue = self.watches.overdue(now);
        if suspects_own_fault {
            overdue.retain(|mark| matches!(self.view.identity(mark.key), Some(Identity::Host(_))));
        }
        overdue
    }

    /// Lets a subject lapse once more than half of its watchers report it overdue.
    fn lapse_on_majority(&mut self, board: &mut Board, report: Mark, watchers: &[HostId]) {
        let keys: Vec<Key> = watchers.iter().map(|id| host_key(id)).collect();
        let reporters = 1 + self.watches.reporters(report.key, &keys, board.now());
        if reporters * 2 <= watchers.len() {
            return;
        }
        let Some(mut record) = self.view.record(board, report.key) else {
            return;
        };
        if record.lapsed || record.version() > report.version {
            return;
        }
        record.lapsed = true;
        let name = match &mut record.subject {
            Subject::Host(host) => {
                host.sequence = report.version.sequence;
                host.id.clone()
            }
            Subject::Upstream(upstream) => {
                upstream.sequence = report.version.sequence;
                upstream.id.clone()
            }
        };
        let text = format!(
            "It counts as gone: {reporters} of {} watchers have not heard from it lately.",
            watchers.len()
        );
        if self.put_record(board, record) {
            board.record("members", &name, text);
        }
    }

    /// Opens exchanges with watched hosts that were silent for part of their lifetime.
    fn probe_silent_hosts(&mut self, board: &Board, envelopes: &mut Vec<Envelope>) {
        let now = board.now();
        let min_silence = crate::host::LIFETIME / PROBE_LIFETIME_DIVISOR;
        let hosts: Vec<SocketAddr> = board
            .hosts()
            .values()
            .map(|host| &host.announcement)
            .filter(|host| {
                let silence = self.watches.silence(host_key(&host.id), now);
                silence.is_some_and(|silence| silence >= min_silence)
            })
            .map(|host| host.peers)
            .collect();
        for to in hosts {
            self.exchange(board, Some(to), envelopes);
        }
    }

    /// Pushes waiting changes to a few hosts.
    fn push_pending(&mut self, board: &mut Board, envelopes: &mut Vec<Envelope>) {
        let revision = board.config().revision();
        if !self.has_pending(board)
            || (self.pending.withdrawn.is_empty() && !self.budget.has_tokens(board.now()))
        {
            return;
        }
        let mut live = self.live_peers(board);
        if live.is_empty() {
            return;
        }
        let mut message = Message::new(self.own.clone(), revision);
        message.records = self.take_pending_records(board);
        message.withdrawn = std::mem::take(&mut self.pending.withdrawn)
            .into_iter()
            .collect();
        self.pending.pushed_revision = revision;
        live.shuffle(&mut self.rng);
        for to in live.into_iter().take(FAN_OUT) {
            self.budget.spend(message.payload_bytes());
            let message = message.clone();
            envelopes.push(Envelope { to, message });
        }
    }

    fn take_pending_records(&mut self, board: &Board) -> Vec<Record> {
        let mut records = Vec::new();
        let mut bytes_left = MAX_RECORD_BYTES;
        while let Some(key) = self.pending.records.pop_first() {
            if !self.add_record(board, key, &mut records, &mut bytes_left) {
                self.pending.records.insert(key);
                break;
            }
        }
        records
    }
}

fn address(board: &Board, host: &str) -> Option<SocketAddr> {
    let host = board.hosts().get(host)?;
    Some(host.announcement.peers)
}
