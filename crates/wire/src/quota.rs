//! Encoding of quota batches and of the replies to them.

use std::time::Duration;

use persimmonbend_core::quota::Account;
use persimmonbend_core::quota::Batch;
use persimmonbend_core::quota::Demand;
use persimmonbend_core::quota::Grant;
use persimmonbend_core::quota::MAX_DEMANDS;
use persimmonbend_core::quota::Reply;
use persimmonbend_core::quota::Seat;
use persimmonbend_core::quota::Timestamp;

use crate::error::Error;
use crate::fleet_capnp::ask;
use crate::fleet_capnp::batch;
use crate::fleet_capnp::grants;
use crate::fleet_capnp::issue_stamp;

/// Writes a batch into a message.
pub fn write_batch(batch: &Batch, mut to: batch::Builder<'_>) {
    to.set_host(&batch.host);
    to.set_incarnation(batch.incarnation);
    to.set_sequence(batch.sequence);
    if let Some(echo) = batch.echo {
        write_timestamp(echo, to.reborrow().init_echo());
    }
    if let Some(term) = batch.complete_for {
        to.set_whole(true);
        to.set_whole_term(term);
    }
    let length = u32::try_from(batch.demands.len()).unwrap_or(u32::MAX);
    let mut list = to.init_asks(length);
    for (index, demand) in (0..length).zip(&batch.demands) {
        write_demand(demand, list.reborrow().get(index));
    }
}

/// Reads a batch from a message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the batch has more than [`MAX_DEMANDS`] demands or a text is
/// not UTF-8, and [`Error::Remote`] when the Cap'n Proto encoding is damaged.
pub fn read_batch(from: batch::Reader<'_>) -> Result<Batch, Error> {
    let list = from.get_asks()?;
    if list.len() as usize > MAX_DEMANDS {
        return Err(Error::Malformed("too many demands in a batch".to_owned()));
    }
    let demands: Result<Vec<Demand>, Error> = list.iter().map(read_demand).collect();
    let echo = from.has_echo().then(|| from.get_echo()).transpose()?;
    Ok(Batch {
        host: from.get_host()?.to_str()?.to_owned(),
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        echo: echo.map(read_timestamp),
        complete_for: from.get_whole().then(|| from.get_whole_term()),
        demands: demands?,
    })
}

/// Writes a reply into a message.
pub fn write_reply(reply: &Reply, mut to: grants::Builder<'_>) {
    write_timestamp(reply.timestamp, to.reborrow().init_stamp());
    if let Some(seat) = reply.seat {
        to.set_seated(true);
        to.set_seat(seat.number);
        to.set_seats(seat.of);
    }
    to.set_opens_in_us(micros(reply.opens_in));
    let length = u32::try_from(reply.grants.len()).unwrap_or(u32::MAX);
    let mut list = to.init_grants(length);
    for (index, grant) in (0..length).zip(&reply.grants) {
        let mut to = list.reborrow().get(index);
        to.set_tokens(grant.tokens);
        to.set_retry_after_us(micros(grant.retry_after));
    }
}

/// Reads a reply from a message.
///
/// # Errors
///
/// Returns [`Error::Remote`] when the Cap'n Proto encoding is damaged.
pub fn read_reply(from: grants::Reader<'_>) -> Result<Reply, Error> {
    let seat = Seat {
        number: from.get_seat(),
        of: from.get_seats(),
    };
    let list = from.get_grants()?;
    let grants = list.iter().map(|grant| Grant {
        tokens: grant.get_tokens(),
        retry_after: duration(grant.get_retry_after_us()),
    });
    Ok(Reply {
        timestamp: read_timestamp(from.get_stamp()?),
        seat: from.get_seated().then_some(seat),
        opens_in: duration(from.get_opens_in_us()),
        grants: grants.collect(),
    })
}

fn write_demand(demand: &Demand, mut to: ask::Builder<'_>) {
    to.set_tenant(&demand.account.tenant);
    to.set_service(demand.account.service.as_deref().unwrap_or_default());
    to.set_waiting(demand.waiting);
    to.set_ahead(demand.ahead);
    to.set_returned(demand.returned);
    to.set_held(demand.held);
}

fn read_demand(from: ask::Reader<'_>) -> Result<Demand, Error> {
    let service = from.get_service()?.to_str()?;
    Ok(Demand {
        account: Account {
            tenant: from.get_tenant()?.to_str()?.to_owned(),
            service: (!service.is_empty()).then(|| service.to_owned()),
        },
        waiting: from.get_waiting(),
        ahead: from.get_ahead(),
        returned: from.get_returned(),
        held: from.get_held(),
    })
}

fn write_timestamp(timestamp: Timestamp, mut to: issue_stamp::Builder<'_>) {
    to.set_term(timestamp.term);
    let micros = u64::try_from(timestamp.since_start.as_micros()).unwrap_or(u64::MAX);
    to.set_since_start_us(micros);
}

fn read_timestamp(from: issue_stamp::Reader<'_>) -> Timestamp {
    Timestamp {
        term: from.get_term(),
        since_start: Duration::from_micros(from.get_since_start_us()),
    }
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

fn duration(micros: u32) -> Duration {
    Duration::from_micros(u64::from(micros))
}
