//! Exchanges: how a host opens one, answers a message and handles the answer.

use std::collections::BTreeMap;
use std::time::Instant;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::board::Board;
use crate::key::Digest;
use crate::membership::Membership;
use crate::membership::message::Key;
use crate::membership::message::Mark;
use crate::membership::message::Message;
use crate::membership::message::Record;
use crate::membership::message::Subject;
use crate::membership::message::Summary;
use crate::membership::message::Version;
use crate::membership::message::host_key;
use crate::membership::view::BUCKETS;

/// Upper bound on the bytes of records in one message.
pub(super) const MAX_RECORD_BYTES: usize = 24 * 1024;

/// Upper bound on the withdrawals in one message.
const MAX_WITHDRAWN: usize = 512;

/// Upper bound on the buckets that one message compares.
const MAX_COMPARED_BUCKETS: usize = 8;

/// Upper bound on the versions in one message.
const MAX_MARKS: usize = 1_024;

impl Membership {
    /// Returns a message that opens an exchange.
    pub fn open(&mut self, board: &Board) -> Message {
        self.refresh(board);
        let mut message = Message::new(self.own.clone(), board.config().revision());
        message.summary = Some(self.summary(board));
        message
    }

    /// Applies a message and returns the answer to it.
    pub fn answer(&mut self, board: &mut Board, message: &Message) -> Message {
        self.record_sender(board, message);
        let mut requested = self.merge(board, message);
        self.refresh(board);
        let mut answer = Message::new(self.own.clone(), board.config().revision());
        answer.renewals = self.refute_overdue(board, message);
        let mut bytes_left = MAX_RECORD_BYTES;
        for key in &message.requested {
            self.add_record(board, *key, &mut answer.records, &mut bytes_left);
        }
        self.compare(board, message, &mut answer, &mut requested, &mut bytes_left);
        requested.truncate(MAX_MARKS);
        answer.requested = requested;
        if let Some(theirs) = message.summary {
            self.add_summary(board, theirs, &mut answer);
        }
        self.budget.spend(answer.payload_bytes());
        answer
    }

    /// Applies the answer to a message that was sent at `sent`.
    ///
    /// Returns the message that continues the exchange, if there is anything left to send.
    pub fn handle_answer(
        &mut self,
        board: &mut Board,
        sent: Instant,
        answer: &Message,
    ) -> Option<Message> {
        self.record_sender(board, answer);
        let mut requested = self.merge(board, answer);
        self.refresh(board);
        self.merge_observations(board, sent, answer);
        let mut next = Message::new(self.own.clone(), board.config().revision());
        let mut bytes_left = MAX_RECORD_BYTES;
        for key in &answer.requested {
            self.add_record(board, *key, &mut next.records, &mut bytes_left);
        }
        requested.truncate(MAX_MARKS);
        next.requested = requested;
        if let Some(theirs) = answer.summary {
            self.follow_up(board, theirs, answer, &mut next);
        }
        self.budget.spend(next.payload_bytes());
        (!next.is_empty()).then_some(next)
    }

    /// Merges the observations of an answer if this host holds all withdrawals and the
    /// configuration that the sender holds.
    pub fn merge_observations(&mut self, board: &Board, sent: Instant, answer: &Message) {
        let is_up_to_date =
            answer.withdrawals_complete && answer.revision <= board.config().revision();
        if answer.summary.is_none() || !is_up_to_date {
            return;
        }
        self.reachability
            .record_contact(host_key(&answer.from.id), sent);
        self.reachability.merge(&answer.observations, sent);
    }

    fn summary(&self, board: &Board) -> Summary {
        Summary {
            view: self.view.root(),
            withdrawals: hash_withdrawals(board),
        }
    }

    /// Records contact with the sender, and its announcement if that changed.
    fn record_sender(&mut self, board: &mut Board, message: &Message) {
        let from = Record {
            subject: Subject::Host(message.from.clone()),
            lapsed: false,
        };
        let known = board.hosts().get(&message.from.id);
        let known = known.map(|host| &host.announcement);
        if known != Some(&message.from) {
            self.put_record(board, from);
        }
        if message.from.id != self.own.id {
            board.touch_host(&message.from.id);
            self.watches.touch(host_key(&message.from.id), board.now());
        }
    }

    /// Applies withdrawals, records and renewals and returns the keys of renewals that are unknown.
    fn merge(&mut self, board: &mut Board, message: &Message) -> Vec<Key> {
        for digest in message.withdrawn.iter().take(MAX_WITHDRAWN) {
            self.apply_withdrawal(board, *digest);
        }
        for record in &message.records {
            self.put_record(board, record.clone());
        }
        self.refresh(board);
        let mut requested = Vec::new();
        for mark in &message.renewals {
            if !self.apply_renewal(board, *mark) {
                requested.push(mark.key);
            }
        }
        requested
    }

    /// Applies a renewal and returns whether its subject is known.
    fn apply_renewal(&mut self, board: &mut Board, mark: Mark) -> bool {
        let Some(mut record) = self.view.record(board, mark.key) else {
            return false;
        };
        if record.lapsed && mark.version > record.version() {
            set_version(&mut record, mark.version);
            self.put_record(board, record);
            return true;
        }
        self.watches.renew(mark, board.now());
        true
    }

    /// Records the sender's reports of overdue subjects and returns the renewals that refute them.
    fn refute_overdue(&mut self, board: &Board, message: &Message) -> Vec<Mark> {
        let reporter = host_key(&message.from.id);
        let now = board.now();
        let mut refuted = Vec::new();
        for report in message.overdue.iter().take(MAX_MARKS) {
            refuted.extend(self.watches.report_overdue(reporter, *report, now));
        }
        refuted
    }

    /// Adds the record of a key, if there is one, and returns `false` if it does not fit.
    pub(super) fn add_record(
        &self,
        board: &Board,
        key: Key,
        records: &mut Vec<Record>,
        bytes_left: &mut usize,
    ) -> bool {
        let Some(record) = self.view.record(board, key) else {
            return true;
        };
        let Some(left) = bytes_left.checked_sub(record.size()) else {
            return false;
        };
        *bytes_left = left;
        records.push(record);
        true
    }

    /// Adds the records that the sender lacks in the compared buckets, and the keys of those that
    /// this host lacks.
    fn compare(
        &self,
        board: &Board,
        message: &Message,
        answer: &mut Message,
        requested: &mut Vec<Key>,
        bytes_left: &mut usize,
    ) {
        let theirs: BTreeMap<Key, Version> = message
            .marks
            .iter()
            .map(|mark| (mark.key, mark.version))
            .collect();
        for bucket in message.compared.iter().take(MAX_COMPARED_BUCKETS) {
            for mark in self.view.marks(board, *bucket) {
                let older = theirs.get(&mark.key).is_none_or(|one| *one < mark.version);
                if older {
                    self.add_record(board, mark.key, &mut answer.records, bytes_left);
                }
            }
        }
        for (key, version) in &theirs {
            let own = self.view.version(board, *key);
            if own.is_none_or(|own| own < *version) {
                requested.push(*key);
            }
        }
    }

    /// Adds the summary of this host and what a sender with a different one needs to compare.
    fn add_summary(&self, board: &Board, theirs: Summary, answer: &mut Message) {
        let own = self.summary(board);
        if own.view != theirs.view {
            answer.buckets = self.view.buckets().to_vec();
        }
        if own.withdrawals != theirs.withdrawals {
            let withdrawn = board.withdrawn().iter().copied();
            answer.withdrawn = withdrawn.take(MAX_WITHDRAWN).collect();
        }
        answer.withdrawals_complete = board.withdrawn().len() <= MAX_WITHDRAWN;
        answer.observations = self.reachability.observations(board.now());
        answer.summary = Some(own);
    }

    /// Adds withdrawals and the marks of some differing buckets to the next message.
    fn follow_up(&mut self, board: &Board, theirs: Summary, answer: &Message, next: &mut Message) {
        if hash_withdrawals(board) != theirs.withdrawals {
            let withdrawn = board.withdrawn().iter().copied();
            next.withdrawn = withdrawn.take(MAX_WITHDRAWN).collect();
        }
        if answer.buckets.len() != BUCKETS || !self.budget.has_tokens(board.now()) {
            return;
        }
        let mut differing = self.view.differing(&answer.buckets);
        if differing.is_empty() {
            return;
        }
        let first = self.rng.random_range(0..differing.len());
        differing.rotate_left(first);
        for bucket in differing.into_iter().take(MAX_COMPARED_BUCKETS) {
            let marks = self.view.marks(board, bucket);
            if next.marks.len() + marks.len() > MAX_MARKS {
                break;
            }
            next.marks.extend(marks);
            next.compared.push(bucket);
        }
    }
}

/// Returns a hash that does not depend on the order of the withdrawals.
fn hash_withdrawals(board: &Board) -> u64 {
    let hash = |digest: &Digest| xxh3_64(digest.as_bytes());
    board
        .withdrawn()
        .iter()
        .map(hash)
        .fold(0, |all, one| all ^ one)
}

/// Sets the sequence and the lapse of a record to those of `version`.
const fn set_version(record: &mut Record, version: Version) {
    record.lapsed = version.lapsed;
    match &mut record.subject {
        Subject::Host(host) => host.sequence = version.sequence,
        Subject::Upstream(upstream) => upstream.sequence = version.sequence,
    }
}
