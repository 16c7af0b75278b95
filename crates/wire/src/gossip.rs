//! Encoding of gossip messages as packed Cap'n Proto.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use persimmonbend_core::host;
use persimmonbend_core::key::Digest;
use persimmonbend_core::membership::message::Mark;
use persimmonbend_core::membership::message::Message;
use persimmonbend_core::membership::message::Observation;
use persimmonbend_core::membership::message::Record;
use persimmonbend_core::membership::message::Subject;
use persimmonbend_core::membership::message::Summary;
use persimmonbend_core::membership::message::Version;
use persimmonbend_core::upstream;
use persimmonbend_core::upstream::Stage;

use crate::error::Error;
use crate::fleet_capnp::gossip;
use crate::fleet_capnp::host_record;
use crate::fleet_capnp::mark;
use crate::fleet_capnp::upstream_record;

/// Largest encoded message in bytes.
pub const MAX_BYTES: usize = 64 * 1024;

/// Largest decoded message in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = 64 * 1024;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the message is larger than [`MAX_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>, Error> {
    let mut builder = Builder::new_default();
    write(message, builder.init_root());
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder)?;
    check_length(bytes.len())?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the bytes are not a message or exceed [`MAX_BYTES`], and
/// [`Error::Remote`] when the Cap'n Proto encoding is damaged.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    check_length(bytes.len())?;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let reader = serialize_packed::read_message(bytes, options)?;
    read(reader.get_root()?)
}

fn check_length(length: usize) -> Result<(), Error> {
    if length > MAX_BYTES {
        return Err(Error::Malformed(format!("{length} bytes of gossip")));
    }
    Ok(())
}

/// Returns the length of a list as Cap'n Proto counts it.
fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write(message: &Message, mut to: gossip::Builder<'_>) {
    write_host(&message.from, false, to.reborrow().init_from());
    to.set_revision(message.revision);
    if let Some(summary) = message.summary {
        to.set_compare(true);
        to.set_view(summary.view);
        to.set_withdrawals(summary.withdrawals);
    }
    let mut buckets = to
        .reborrow()
        .init_buckets(list_length(message.buckets.len()));
    for (index, bucket) in (0..).zip(&message.buckets) {
        buckets.set(index, *bucket);
    }
    let mut compared = to
        .reborrow()
        .init_compared(list_length(message.compared.len()));
    for (index, bucket) in (0..).zip(&message.compared) {
        compared.set(index, *bucket);
    }
    let mut requested = to
        .reborrow()
        .init_wants(list_length(message.requested.len()));
    for (index, key) in (0..).zip(&message.requested) {
        requested.set(index, *key);
    }
    write_marks(&message.marks, |length| to.reborrow().init_marks(length));
    write_marks(&message.renewals, |length| {
        to.reborrow().init_renewals(length)
    });
    write_marks(&message.overdue, |length| to.reborrow().init_doubts(length));
    write_records(&message.records, to.reborrow());
    let mut withdrawn = to
        .reborrow()
        .init_withdrawn(list_length(message.withdrawn.len()));
    for (index, digest) in (0..).zip(&message.withdrawn) {
        withdrawn.set(index, digest.as_bytes());
    }
    to.set_whole(message.withdrawals_complete);
    let mut observations = to.init_stamps(list_length(message.observations.len()));
    for (index, observation) in (0..).zip(&message.observations) {
        let mut entry = observations.reborrow().get(index);
        entry.set_key(observation.key);
        entry.set_age_ms(u32::try_from(observation.age.as_millis()).unwrap_or(u32::MAX));
    }
}

fn write_marks<'a, F>(marks: &[Mark], init: F)
where
    F: FnOnce(u32) -> capnp::struct_list::Builder<'a, mark::Owned>,
{
    let mut list = init(list_length(marks.len()));
    for (index, mark) in (0..).zip(marks) {
        let mut entry = list.reborrow().get(index);
        entry.set_key(mark.key);
        entry.set_incarnation(mark.version.incarnation);
        entry.set_sequence(mark.version.sequence);
        entry.set_lapsed(mark.version.lapsed);
    }
}

fn write_records(records: &[Record], mut to: gossip::Builder<'_>) {
    let mut hosts = Vec::new();
    let mut upstreams = Vec::new();
    for record in records {
        match &record.subject {
            Subject::Host(host) => hosts.push((host, record.lapsed)),
            Subject::Upstream(upstream) => upstreams.push((upstream, record.lapsed)),
        }
    }
    let mut list = to.reborrow().init_hosts(list_length(hosts.len()));
    for (index, (host, lapsed)) in (0..).zip(hosts) {
        write_host(host, lapsed, list.reborrow().get(index));
    }
    let mut list = to.init_upstreams(list_length(upstreams.len()));
    for (index, (upstream, lapsed)) in (0..).zip(upstreams) {
        write_upstream(upstream, lapsed, list.reborrow().get(index));
    }
}

fn write_host(host: &host::Announcement, lapsed: bool, mut to: host_record::Builder<'_>) {
    to.set_id(&host.id);
    to.set_zone(&host.zone);
    to.set_peers(host.peers.to_string());
    to.set_incarnation(host.incarnation);
    to.set_sequence(host.sequence);
    to.set_stopping(host.stopping);
    to.set_lapsed(lapsed);
}

fn write_upstream(
    upstream: &upstream::Announcement,
    lapsed: bool,
    mut to: upstream_record::Builder<'_>,
) {
    to.set_id(&upstream.id);
    to.set_service(&upstream.service);
    to.set_zone(&upstream.zone);
    to.set_address(upstream.address.to_string());
    to.set_slots(upstream.slots);
    to.set_stage(stage_code(upstream.stage));
    to.set_lapsed(lapsed);
    to.set_incarnation(upstream.incarnation);
    to.set_sequence(upstream.sequence);
}

fn read(from: gossip::Reader<'_>) -> Result<Message, Error> {
    let (sender, _) = read_host(from.get_from()?)?;
    let mut message = Message::new(sender, from.get_revision());
    message.summary = from.get_compare().then(|| Summary {
        view: from.get_view(),
        withdrawals: from.get_withdrawals(),
    });
    message.buckets = from.get_buckets()?.iter().collect();
    message.compared = from.get_compared()?.iter().collect();
    message.requested = from.get_wants()?.iter().collect();
    message.marks = read_marks(from.get_marks()?);
    message.renewals = read_marks(from.get_renewals()?);
    message.overdue = read_marks(from.get_doubts()?);
    message.records = read_records(from)?;
    for digest in from.get_withdrawn()? {
        let bytes = <[u8; DIGEST_BYTES]>::try_from(digest?);
        let bytes = bytes.map_err(|_| Error::Malformed("a digest".to_owned()))?;
        message.withdrawn.push(Digest::from(bytes));
    }
    message.withdrawals_complete = from.get_whole();
    for observation in from.get_stamps()? {
        message.observations.push(Observation {
            key: observation.get_key(),
            age: Duration::from_millis(u64::from(observation.get_age_ms())),
        });
    }
    Ok(message)
}

fn read_marks(from: capnp::struct_list::Reader<'_, mark::Owned>) -> Vec<Mark> {
    let read = |one: mark::Reader<'_>| Mark {
        key: one.get_key(),
        version: Version {
            incarnation: one.get_incarnation(),
            sequence: one.get_sequence(),
            lapsed: one.get_lapsed(),
        },
    };
    from.iter().map(read).collect()
}

fn read_records(from: gossip::Reader<'_>) -> Result<Vec<Record>, Error> {
    let mut records = Vec::new();
    for record in from.get_hosts()? {
        let (host, lapsed) = read_host(record)?;
        records.push(Record {
            subject: Subject::Host(host),
            lapsed,
        });
    }
    for record in from.get_upstreams()? {
        records.push(Record {
            subject: Subject::Upstream(read_upstream(record)?),
            lapsed: record.get_lapsed(),
        });
    }
    Ok(records)
}

fn read_host(from: host_record::Reader<'_>) -> Result<(host::Announcement, bool), Error> {
    let announcement = host::Announcement {
        id: from.get_id()?.to_string()?,
        zone: from.get_zone()?.to_string()?,
        peers: address(from.get_peers()?.to_str()?)?,
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        stopping: from.get_stopping(),
    };
    announcement.check().map_err(Error::Malformed)?;
    Ok((announcement, from.get_lapsed()))
}

fn read_upstream(from: upstream_record::Reader<'_>) -> Result<upstream::Announcement, Error> {
    let announcement = upstream::Announcement {
        id: from.get_id()?.to_string()?,
        service: from.get_service()?.to_string()?,
        address: address(from.get_address()?.to_str()?)?,
        zone: from.get_zone()?.to_string()?,
        slots: from.get_slots(),
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        stage: stage(from.get_stage())?,
    };
    announcement.check().map_err(Error::Malformed)?;
    Ok(announcement)
}

fn address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::Malformed("an address".to_owned()))
}

const fn stage_code(stage: Stage) -> u8 {
    match stage {
        Stage::Starting => 0,
        Stage::Ready => 1,
        Stage::Draining => 2,
        Stage::Left => 3,
    }
}

fn stage(code: u8) -> Result<Stage, Error> {
    match code {
        0 => Ok(Stage::Starting),
        1 => Ok(Stage::Ready),
        2 => Ok(Stage::Draining),
        3 => Ok(Stage::Left),
        other => Err(Error::Malformed(format!("stage {other}"))),
    }
}
