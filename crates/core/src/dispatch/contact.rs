//! Which hosts are in contact with upstreams, and which upstreams are dead, by the results of their attempts.
//!
//! An attempt without any response of its upstream speaks against the upstream, or against the path of the
//! host. If a host has none from several upstreams in a row, its path is the likelier cause. What it reported
//! counts after all if an upstream responds to it a moment later: its path is in order then. An upstream at
//! which several hosts in contact find no listener is dead until it responds or announces itself.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;
use crate::id::Zone;
use crate::roster::Number;

/// Doubt in the path of a host by an upstream that refused a connection, and by one that gave no sign. A refusal
/// comes from the machine of the upstream more often than from the path.
const REFUSAL_DOUBT: u32 = 1;
const SILENCE_DOUBT: u32 = 2;

/// Most doubt with which the path of a host still counts as in order.
const MAX_DOUBT: u32 = 3;

/// Time after its first silence within which a response proves that the path of a host was in order all the
/// time; a cut lasts longer.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// Time for which an announcement may be on its way.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);

/// Time since a response for which an upstream counts as reached by others, so that a few failures say little.
const REACHED_TIME: Duration = Duration::from_millis(250);

/// Most silences that are kept for a host, and most witnesses for an upstream.
const MAX_KEPT: usize = 6;

/// Witnesses that make an upstream dead, wherever they are; two are enough if their zones differ.
const WITNESSES: usize = 3;

/// Time for which an upstream that was found dead gets no requests, at first and at most.
const FIRST_DEAD_TIME: Duration = Duration::from_millis(500);
const MAX_DEAD_TIME: Duration = Duration::from_secs(4);

/// Multiple of the time of contact by which an upstream that is well again must be tried.
const MAX_DEAD_CONTACTS: u32 = 2;

/// What the dispatcher has to change in its belief in an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// The upstream.
    pub upstream: Number,
    /// Factor by which the odds of the upstream to be grey change.
    pub ratio: f64,
    /// Until when the upstream counts as dead, if it does.
    pub dead_until: Option<Instant>,
}

/// What an attempt without a response found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The connection was refused.
    Refused,
    /// No connection was made in time.
    Unreachable,
    /// A connection was made, or the request is still running.
    Unanswered,
}

/// An attempt without a response of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Silence {
    /// The upstream.
    pub upstream: Number,
    /// Factor by which it multiplies the odds of the upstream to be grey if it speaks against the upstream.
    pub ratio: f64,
    /// What was found.
    pub finding: Finding,
    /// When the attempt began.
    pub since: Instant,
}

/// A host to which no upstream has responded since `since`.
#[derive(Debug, Clone)]
struct Doubt {
    since: Instant,
    silences: Vec<Kept>,
    /// Whether its path counts as the cause.
    is_out_of_contact: bool,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    silence: Silence,
    is_charged: bool,
}

/// What is known of an upstream from all hosts.
#[derive(Debug, Clone, Default)]
struct Record {
    last_response: Option<Instant>,
    /// Hosts in contact that found no listener since, with their zones.
    witnesses: Vec<(HostId, Zone, Instant)>,
    /// Factor by which these have multiplied the odds.
    ratio: f64,
    dead_until: Option<Instant>,
    dead_time: Duration,
}

/// Times that follow from the time within which processes find each other again.
#[derive(Debug, Clone, Copy)]
struct Times {
    /// Time for which hosts that found no listener count as witnesses.
    witness: Duration,
    /// Longest time for which an upstream that was found dead gets no requests.
    max_dead: Duration,
}

/// The hosts to which upstreams did not respond since one last did, and the upstreams that are dead.
#[derive(Debug, Clone)]
pub struct Contact {
    times: Times,
    hosts: BTreeMap<HostId, Doubt>,
    upstreams: BTreeMap<Number, Record>,
}

impl Contact {
    /// Creates a record without hosts and upstreams; `contact` is the time after the end of a disturbance by
    /// which processes have found each other again.
    #[must_use]
    pub fn new(contact: Duration) -> Self {
        let times = Times {
            witness: contact,
            max_dead: MAX_DEAD_TIME.min(contact * MAX_DEAD_CONTACTS),
        };
        Self {
            times,
            hosts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    /// Forgets a host that is gone.
    pub fn forget_host(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Forgets an upstream that has left.
    pub fn forget_upstream(&mut self, upstream: Number) {
        self.upstreams.remove(&upstream);
    }

    /// Returns the number of upstreams that count as dead.
    #[must_use]
    pub fn dead(&self, now: Instant) -> usize {
        let records = self.upstreams.values();
        records
            .filter(|record| record.dead_until.is_some_and(|until| now < until))
            .count()
    }

    /// Returns the number of hosts whose own paths count as the cause of their failures.
    #[must_use]
    pub fn out_of_contact(&self) -> usize {
        let hosts = self.hosts.values();
        hosts.filter(|doubt| doubt.is_out_of_contact).count()
    }

    /// Returns whether an upstream responded to some host a moment ago.
    #[must_use]
    pub fn is_reached(&self, upstream: Number, now: Instant) -> bool {
        let record = self.upstreams.get(&upstream);
        record.is_some_and(|record| record.is_reached(now))
    }

    /// Records that an upstream has announced itself; returns whether it lives by that.
    ///
    /// An announcement that it sent before its end may arrive a little later.
    pub fn note_announcement(&mut self, upstream: Number, now: Instant) -> bool {
        let Some(record) = self.upstreams.get_mut(&upstream) else {
            return true;
        };
        let last_found = record.witnesses.iter().map(|(_, _, at)| *at).max();
        let lives = last_found.is_none_or(|at| now > at + MAX_ANNOUNCEMENT_DELAY);
        if lives {
            record.dead_until = None;
        }
        lives
    }

    /// Records that an upstream responded to a host of a zone.
    pub fn note_response(
        &mut self,
        host: &str,
        zone: &str,
        upstream: Number,
        now: Instant,
    ) -> Vec<Charge> {
        let mut charges = Vec::new();
        let record = self.upstreams.entry(upstream).or_default();
        let lately = |at: Instant| now.saturating_duration_since(at) < self.times.witness;
        let is_contradicted = record.witnesses.iter().any(|(_, _, at)| lately(*at));
        if is_contradicted || record.dead_until.is_some() {
            let ratio = if is_contradicted { record.ratio } else { 1.0 };
            charges.push(Charge {
                upstream,
                ratio: 1.0 / ratio,
                dead_until: None,
            });
        }
        *record = Record {
            last_response: Some(now),
            ..Record::default()
        };
        let Some(doubt) = self.hosts.remove(host) else {
            return charges;
        };
        if now.saturating_duration_since(doubt.since) < PROOF_TIME {
            for kept in doubt.silences {
                if !kept.is_charged && kept.silence.upstream != upstream {
                    charges.extend(self.charge(host, zone, kept.silence, now));
                }
            }
        }
        charges
    }

    /// Records that an upstream did not respond to a host of a zone.
    pub fn note_silence(
        &mut self,
        host: &str,
        zone: &str,
        silence: Silence,
        now: Instant,
    ) -> Vec<Charge> {
        let doubt = self.hosts.entry(host.to_owned()).or_insert_with(|| Doubt {
            since: now,
            silences: Vec::new(),
            is_out_of_contact: false,
        });
        let was_out_of_contact = doubt.is_out_of_contact;
        doubt.is_out_of_contact |= doubt.amount(silence) > MAX_DOUBT;
        let is_charged = !doubt.is_out_of_contact;
        let mut withdrawn = Vec::new();
        if doubt.is_out_of_contact && !was_out_of_contact {
            for kept in &mut doubt.silences {
                if std::mem::take(&mut kept.is_charged) {
                    withdrawn.push(kept.silence);
                }
            }
        }
        if doubt.silences.len() < MAX_KEPT {
            doubt.silences.push(Kept {
                silence,
                is_charged,
            });
        }
        if is_charged {
            return self.charge(host, zone, silence, now).into_iter().collect();
        }
        let withdrawn = withdrawn.into_iter();
        withdrawn
            .filter_map(|silence| self.withdraw(host, silence))
            .collect()
    }

    /// Returns the charge of a silence that speaks against its upstream, unless no listener was found and the
    /// upstream has responded to another host since.
    fn charge(&mut self, host: &str, zone: &str, silence: Silence, now: Instant) -> Option<Charge> {
        let record = self.upstreams.entry(silence.upstream).or_default();
        let is_proven_alive = record.last_response.is_some_and(|at| at > silence.since);
        // An upstream may answer some requests and lose others, but it listens for all of them or for none.
        if silence.finding != Finding::Unanswered {
            if is_proven_alive {
                return None;
            }
            record.note_witness(host, zone, silence.ratio, self.times, now);
        }
        Some(Charge {
            upstream: silence.upstream,
            ratio: silence.ratio,
            dead_until: record.dead_until,
        })
    }

    fn withdraw(&mut self, host: &str, silence: Silence) -> Option<Charge> {
        let record = self.upstreams.get_mut(&silence.upstream)?;
        if silence.finding != Finding::Unanswered {
            let is_witness = record.witnesses.iter().any(|(name, ..)| name == host);
            let is_confirmed = silence.finding == Finding::Refused && record.dead_until.is_some();
            if !is_witness || is_confirmed {
                return None;
            }
            record.forget_witness(host, silence.ratio);
        }
        Some(Charge {
            upstream: silence.upstream,
            ratio: 1.0 / silence.ratio,
            dead_until: record.dead_until,
        })
    }
}

impl Doubt {
    /// Returns the doubt in the path by all silences so far and another one.
    fn amount(&self, silence: Silence) -> u32 {
        let mut by_upstream = BTreeMap::new();
        let known = self.silences.iter().map(|kept| kept.silence);
        for one in known.chain([silence]) {
            let weight = match one.finding {
                Finding::Refused => REFUSAL_DOUBT,
                Finding::Unreachable | Finding::Unanswered => SILENCE_DOUBT,
            };
            by_upstream.insert(one.upstream, weight);
        }
        // One upstream alone says nothing about the path.
        if by_upstream.len() == 1 {
            return 0;
        }
        by_upstream.values().sum()
    }
}

impl Record {
    fn is_reached(&self, now: Instant) -> bool {
        let lately = |at| now.saturating_duration_since(at) < REACHED_TIME;
        self.last_response.is_some_and(lately)
    }

    /// Records a host that found no listener, and whether the upstream is dead by that.
    fn note_witness(&mut self, host: &str, zone: &str, ratio: f64, times: Times, now: Instant) {
        let lately = |at: Instant| now.saturating_duration_since(at) < times.witness;
        if !self.witnesses.iter().any(|(_, _, at)| lately(*at)) {
            self.ratio = 1.0;
        }
        self.ratio *= ratio;
        self.witnesses
            .retain(|(name, _, at)| name != host && lately(*at));
        self.witnesses.truncate(MAX_KEPT - 1);
        self.witnesses.push((host.to_owned(), zone.to_owned(), now));
        let are_zones_different = self.witnesses.iter().any(|(_, other, _)| other != zone);
        let are_enough = are_zones_different || self.witnesses.len() >= WITNESSES;
        if are_enough && !self.is_reached(now) {
            let time = (self.dead_time * 2)
                .max(FIRST_DEAD_TIME)
                .min(times.max_dead);
            let is_dead = self.dead_until.is_some_and(|until| now < until);
            if !is_dead {
                self.dead_time = time;
                self.dead_until = Some(now + time);
            }
        }
    }

    fn forget_witness(&mut self, host: &str, ratio: f64) {
        self.witnesses.retain(|(name, ..)| name != host);
        self.ratio /= ratio;
        if self.witnesses.len() < 2 {
            self.dead_until = None;
        }
    }
}
