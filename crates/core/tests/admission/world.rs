//! Upstreams whose calls are delayed, before a leader that may change, or lose its memory with all replicas.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Commands;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Published;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::roster::Effect;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::admission::Admission;
use persimmonbend_core::roster::admission::Bounds;
use persimmonbend_core::roster::admission::Context;
use persimmonbend_core::roster::admission::Decision;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

/// Longest delay of a call in milliseconds.
pub const DELAY_MS: u64 = 4_500;

/// Difference between clocks that must not matter, in milliseconds.
pub const SKEW_MS: u64 = 1_000;

/// Time between two announcements of a start in milliseconds.
pub const INTERVAL_MS: u64 = 1_500;

/// Unix milliseconds at the start of a world.
const EPOCH_MS: u64 = 1_780_000_000_000;

/// Time that the commit of a command takes in milliseconds.
const COMMIT_MS: u64 = 20;

/// Step in which time passes, in milliseconds.
const STEP_MS: u64 = 10;

/// Shortest time between the start of an upstream and its departure in milliseconds, longer than clocks differ.
const MIN_LIFE_MS: u64 = 900;

/// Index of a start.
pub type Start = usize;

/// One start of an upstream.
#[derive(Debug, Clone)]
struct Life {
    id: String,
    port: u16,
    born: u64,
    /// When it truly began.
    since: u64,
    sequence: u64,
    /// When it announces itself next, if it does so by itself.
    next: Option<u64>,
    /// Time that its announcements are on their way, in milliseconds.
    delay_ms: u64,
    stage: Stage,
    runs: bool,
}

/// A call of an upstream on its way.
#[derive(Debug, Clone)]
enum Call {
    Announce(Announcement, Option<Start>),
    Leave(String, Option<u64>, Option<Start>),
}

/// A command in the log that is not applied yet.
#[derive(Debug, Clone)]
struct Pending {
    at: u64,
    command: Command,
    /// Start whose departure is acknowledged once the command is applied.
    departs: Option<Start>,
}

pub struct World {
    machine: Machine,
    admission: Admission,
    started: Instant,
    now: u64,
    lives: Vec<Life>,
    calls: Vec<(u64, Call)>,
    log: Vec<Pending>,
    /// Starts whose departure or drain was acknowledged.
    departed: BTreeSet<Start>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            machine: Machine::default(),
            admission: new_admission(),
            started: Instant::now(),
            now: 0,
            lives: Vec::new(),
            calls: Vec::new(),
            log: Vec::new(),
            departed: BTreeSet::new(),
        };
        world.publish(&[]);
        world
    }

    /// Publishes the service of all starts, and others.
    pub fn publish(&mut self, others: &[&str]) {
        let mut publication = Publication {
            version: Some(self.machine.published().publication.version.unwrap_or(0) + 1),
            ..Publication::default()
        };
        for service in others.iter().chain(&["herd"]) {
            publication
                .services
                .insert((*service).to_owned(), Default::default());
        }
        self.apply(&Command::Publish {
            published: Rc::new(Published {
                publication: Rc::new(publication),
                document: String::new(),
            }),
        });
    }

    /// Starts an upstream whose clock is ahead by `ahead_ms`; it announces itself when told to.
    pub fn start(&mut self, id: &str, port: u16, ahead_ms: i64) -> Start {
        self.lives.push(Life {
            id: id.to_owned(),
            port,
            born: (EPOCH_MS + self.now).strict_add_signed(ahead_ms),
            since: self.now,
            sequence: 0,
            next: None,
            delay_ms: 0,
            stage: Stage::Ready,
            runs: true,
        });
        self.lives.len() - 1
    }

    pub fn crash(&mut self, start: Start) {
        let life = &mut self.lives[start];
        life.runs = false;
        life.next = None;
    }

    /// Returns the next announcement of a start.
    pub fn announcement(&mut self, start: Start, stage: Stage) -> Announcement {
        let life = &mut self.lives[start];
        life.sequence += 1;
        life.stage = stage;
        announcement(&life.id, life.port, "herd", life.born, life.sequence, stage)
    }

    /// Announces a start; returns whether that is acknowledged.
    pub fn announce(&mut self, start: Start) -> bool {
        let announcement = self.announcement(start, Stage::Ready);
        self.receive(&announcement, Some(start))
    }

    /// Delivers an announcement that was sent before.
    pub fn announce_late(&mut self, start: Start, sequence: u64) {
        let life = self.lives[start].clone();
        let late = announcement(
            &life.id,
            life.port,
            "herd",
            life.born,
            sequence,
            Stage::Ready,
        );
        self.receive(&late, None);
    }

    /// Announces another writer's upstream; returns whether that is acknowledged.
    pub fn announce_as(&mut self, id: &str, port: u16, service: &str, ahead_ms: u64) -> bool {
        let born = EPOCH_MS + self.now + ahead_ms;
        self.receive(
            &announcement(id, port, service, born, 1, Stage::Ready),
            None,
        )
    }

    /// Announces starts, one after the other in each interval, for some time.
    pub fn announce_for(&mut self, starts: &[Start], time_ms: u64) {
        let end = self.now + time_ms;
        while self.now < end {
            self.pass(INTERVAL_MS.min(end - self.now));
            for start in starts {
                self.announce(*start);
            }
        }
    }

    /// Drains a start; returns whether that is acknowledged.
    pub fn drain(&mut self, start: Start) -> bool {
        let announcement = self.announcement(start, Stage::Draining);
        self.receive(&announcement, Some(start))
    }

    /// Sends the departure of a start, without its name, that arrives after `delay_ms`.
    pub fn leave(&mut self, start: Start, delay_ms: u64) {
        let id = self.lives[start].id.clone();
        self.lives[start].next = None;
        self.lives[start].stage = Stage::Left;
        let at = self.now + delay_ms;
        self.calls.push((at, Call::Leave(id, None, Some(start))));
        self.pass(delay_ms);
        self.settle();
    }

    pub fn leave_by_name(&mut self, start: Start) {
        let life = &self.lives[start];
        let call = Call::Leave(life.id.clone(), Some(life.born), Some(start));
        self.calls.push((self.now, call));
        self.settle();
    }

    /// Sends a departure that no upstream has sent.
    pub fn leave_as(&mut self, id: &str) {
        self.calls
            .push((self.now, Call::Leave(id.to_owned(), None, None)));
        self.settle();
    }

    /// Sends a departure of a start that its upstream has not sent.
    pub fn leave_as_start(&mut self, id: &str, born: u64) {
        let call = Call::Leave(id.to_owned(), Some(born), None);
        self.calls.push((self.now, call));
        self.settle();
    }

    /// Another replica, which has applied the same, becomes the leader.
    pub fn change_leader(&mut self) {
        self.settle();
        let now = self.instant();
        self.admission = new_admission();
        self.admission.begin_term(self.machine.roster(), now);
    }

    /// Returns what a follower remembers that has applied the same.
    pub fn admission_of_a_follower(&self) -> Admission {
        let mut admission = new_admission();
        let entries: Vec<Entry> = self.machine.roster().entries().collect();
        admission.note_changes(&entries, self.instant());
        admission
    }

    /// A replica becomes the leader that has got the roster in a snapshot and remembers what it had applied before.
    pub fn lead_with(&mut self, admission: Admission) {
        let now = self.instant();
        self.admission = admission;
        self.admission.begin_term(self.machine.roster(), now);
    }

    /// Announces a start that has become cold; returns whether that is acknowledged.
    pub fn announce_as_starting(&mut self, start: Start) -> bool {
        let announcement = self.announcement(start, Stage::Starting);
        self.receive(&announcement, Some(start))
    }

    /// All replicas are killed and start again with what they had committed.
    pub fn kill_all(&mut self) {
        self.log.clear();
        let snapshot = serde_json::to_vec(&self.machine).expect("a snapshot");
        self.machine = serde_json::from_slice(&snapshot).expect("the state");
        let now = self.instant();
        self.admission = new_admission();
        self.admission.begin_term(self.machine.roster(), now);
    }

    pub fn is_used(&self, start: Start) -> bool {
        let life = &self.lives[start];
        let entry = self.machine.roster().get(&life.id);
        entry.is_some_and(|entry| {
            let known = &entry.announcement;
            known.incarnation == life.born && known.stage.takes_requests()
        })
    }

    pub fn roster_len(&self) -> usize {
        self.machine.roster().entries().count()
    }

    pub const fn level(&self) -> Commands {
        self.machine.commands()
    }

    pub const fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Lets time pass: starts announce themselves, calls arrive and commands are applied.
    pub fn pass(&mut self, time_ms: u64) {
        let end = self.now + time_ms;
        loop {
            for start in 0..self.lives.len() {
                self.announce_due(start);
            }
            self.deliver_due();
            self.apply_due();
            if self.now >= end {
                return;
            }
            self.now = (self.now + STEP_MS).min(end);
        }
    }

    /// Does what two bytes say: `action` what, `who` to whom.
    pub fn act(&mut self, action: u8, who: u8, delay: u8) {
        // Half of all calls are on time.
        let delay_ms = u64::from(delay).saturating_sub(128) * (DELAY_MS - STEP_MS) / 127;
        let id = ["u", "v"][usize::from(who % 2)];
        let port = 1 + u16::from(who / 2 % 2);
        let running = self
            .lives
            .iter()
            .position(|life| life.id == id && life.runs);
        match (action % 12, running) {
            (0..=2, None) => self.begin(id, port, who, delay_ms),
            (3, Some(start)) => self.crash(start),
            (4 | 5, Some(start)) => self.depart(start, delay_ms),
            (6, Some(start)) => self.begin_drain(start, delay_ms),
            (7, Some(start)) => self.lives[start].delay_ms = delay_ms,
            (8, _) => self.change_leader(),
            (9, _) => self.kill_all(),
            (10, _) => {
                let call = Call::Leave(id.to_owned(), None, None);
                self.calls.push((self.now + delay_ms, call));
            }
            (11, _) => {
                let service = ["herd", "nobody"][usize::from(who / 4 % 2)];
                let name = [id, "stranger"][usize::from(who / 8 % 2)];
                let born = EPOCH_MS + self.now + u64::from(who / 16) * 1_000;
                let foreign = announcement(name, port, service, born, 1, Stage::Ready);
                let at = self.now + delay_ms;
                self.calls.push((at, Call::Announce(foreign, None)));
            }
            _ => {}
        }
    }

    /// Lets all announcements from here on arrive at once.
    pub fn end_delays(&mut self) {
        for life in &mut self.lives {
            life.delay_ms = 0;
        }
    }

    /// Returns whether no start whose departure was acknowledged is used.
    pub fn departures_bind(&self) -> bool {
        self.departed.iter().all(|start| !self.is_used(*start))
    }

    /// Returns whether all starts that run and do not leave are used.
    pub fn all_sound_are_used(&self) -> bool {
        let sound = |life: &Life| life.runs && life.stage == Stage::Ready;
        (0..self.lives.len()).all(|start| !sound(&self.lives[start]) || self.is_used(start))
    }

    /// Starts an upstream that announces itself, unless another one runs at its address.
    fn begin(&mut self, id: &str, port: u16, who: u8, delay_ms: u64) {
        if self.lives.iter().any(|life| life.runs && life.port == port) {
            return;
        }
        let ahead_ms = i64::from(who / 16) * 120 - 900;
        let start = self.start(id, port, ahead_ms);
        self.lives[start].delay_ms = delay_ms;
        self.lives[start].next = Some(self.now);
    }

    fn depart(&mut self, start: Start, delay_ms: u64) {
        let life = &mut self.lives[start];
        if self.now < life.since + MIN_LIFE_MS {
            return;
        }
        life.next = None;
        life.stage = Stage::Left;
        let call = Call::Leave(life.id.clone(), None, Some(start));
        self.calls.push((self.now + delay_ms, call));
    }

    fn begin_drain(&mut self, start: Start, delay_ms: u64) {
        if self.lives[start].stage != Stage::Ready {
            return;
        }
        let draining = self.announcement(start, Stage::Draining);
        let at = self.now + delay_ms;
        self.calls.push((at, Call::Announce(draining, Some(start))));
    }

    fn announce_delayed(&mut self, start: Start) {
        let Life {
            stage, delay_ms, ..
        } = self.lives[start];
        if stage != Stage::Left {
            let announcement = self.announcement(start, stage);
            let at = self.now + delay_ms;
            self.calls
                .push((at, Call::Announce(announcement, Some(start))));
        }
    }

    fn announce_due(&mut self, start: Start) {
        if self.lives[start].next.is_some_and(|next| next <= self.now) {
            self.lives[start].next = Some(self.now + INTERVAL_MS);
            self.announce_delayed(start);
        }
    }

    fn deliver_due(&mut self) {
        while let Some(index) = self.calls.iter().position(|(at, _)| *at <= self.now) {
            match self.calls.remove(index).1 {
                Call::Announce(announcement, start) => {
                    self.decide(&announcement, start);
                }
                Call::Leave(id, named, start) => self.deregister(&id, named, start),
            }
        }
    }

    /// Delivers an announcement and waits for its effect; returns whether it is acknowledged.
    fn receive(&mut self, announcement: &Announcement, start: Option<Start>) -> bool {
        let is_acknowledged = self.decide(announcement, start);
        self.settle();
        is_acknowledged
    }

    /// Lets all calls that have arrived take effect.
    fn settle(&mut self) {
        self.pass(COMMIT_MS);
    }

    fn decide(&mut self, announcement: &Announcement, start: Option<Start>) -> bool {
        let decision =
            self.with_context(|admission, context| admission.decide(announcement, context));
        let departs = start.filter(|_| announcement.stage == Stage::Draining);
        let command = match decision {
            Decision::Renew | Decision::Ignore => {
                self.departed.extend(departs);
                return true;
            }
            Decision::Refuse(_) => return false,
            Decision::Apply(announcement) | Decision::Depart(announcement) => {
                Command::Announce { announcement }
            }
            Decision::Reinstate => Command::Reinstate {
                announcement: announcement.clone(),
            },
        };
        self.propose(command, departs);
        true
    }

    fn deregister(&mut self, id: &str, named: Option<u64>, start: Option<Start>) {
        let ids = self.machine.roster().surplus_departures();
        if !ids.is_empty() {
            self.propose(Command::ForgetDepartures { ids }, None);
        }
        let id = id.to_owned();
        let announcement =
            self.with_context(|admission, context| admission.departure(&id, named, context));
        self.propose(Command::Announce { announcement }, start);
    }

    fn propose(&mut self, command: Command, departs: Option<Start>) {
        self.log.push(Pending {
            at: self.now + COMMIT_MS,
            command,
            departs,
        });
    }

    fn apply_due(&mut self) {
        while self.log.first().is_some_and(|one| one.at <= self.now) {
            let pending = self.log.remove(0);
            let is_change = self.apply(&pending.command);
            if is_change || self.is_refused(&pending.command) {
                self.departed.extend(pending.departs);
            }
        }
    }

    /// Returns whether a command announces what the roster holds already: that a start has left.
    fn is_refused(&self, command: &Command) -> bool {
        let Command::Announce { announcement } = command else {
            return false;
        };
        let effect = self.machine.roster().evaluate(announcement);
        announcement.stage == Stage::Left && matches!(effect, Effect::Refused(_))
    }

    /// Applies a command; returns whether it changes upstreams.
    fn apply(&mut self, command: &Command) -> bool {
        let Reply::Registered { changed } = self.machine.apply(command) else {
            return false;
        };
        let now = self.instant();
        self.admission.note_changes(&changed, now);
        !changed.is_empty()
    }

    fn instant(&self) -> Instant {
        self.started + Duration::from_millis(self.now)
    }

    fn with_context<T, F>(&mut self, use_context: F) -> T
    where
        F: FnOnce(&mut Admission, &Context<'_>) -> T,
    {
        let context = Context {
            roster: self.machine.roster(),
            publication: &self.machine.published().publication,
            wall: EPOCH_MS + self.now,
            now: self.started + Duration::from_millis(self.now),
        };
        use_context(&mut self.admission, &context)
    }
}

fn new_admission() -> Admission {
    Admission::new(Bounds {
        delay: Duration::from_millis(DELAY_MS),
        skew: Duration::from_millis(SKEW_MS),
    })
}

fn announcement(
    id: &str,
    port: u16,
    service: &str,
    born: u64,
    sequence: u64,
    stage: Stage,
) -> Announcement {
    Announcement {
        id: id.to_owned(),
        service: service.to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".to_owned(),
        slots: 3,
        incarnation: born,
        sequence,
        stage,
    }
}
