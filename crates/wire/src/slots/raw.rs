//! Reads and writes frames in the form of the schema, with general-purpose fields.

use capnp::message::Builder;
use capnp::message::HeapAllocator;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Verdict;

use crate::error::Error;
use crate::fleet_capnp::slot_frame;
use crate::fleet_capnp::slot_frame::Kind as Tag;

/// Longest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Upper bound of the upstreams in one list.
pub const MAX_LIST_LENGTH: usize = 64;

/// Size in bytes of the length that precedes a frame.
const LENGTH_BYTES: usize = 2;

/// Size in words of the buffer in which a frame is built.
const SEGMENT_WORDS: u32 = 16;

/// Largest decoded message in words.
const MAX_MESSAGE_WORDS: usize = 1_024;

/// Factor that converts a weight from 0 to 1 to thousandths.
const WEIGHT_SCALE: f64 = 1_000.0;

/// Reasons of a refusal, ordered by code.
pub const REFUSALS: [Kind; 2] = [Kind::Overloaded, Kind::NoUpstream];

/// The fields of a frame in the schema; their meaning depends on the kind of frame.
#[derive(Debug, Clone, Default)]
pub struct Raw {
    /// Number of the reservation, name or heartbeat.
    pub number: u32,
    /// First value, whose meaning depends on the kind.
    pub first: u32,
    /// Second value, whose meaning depends on the kind.
    pub second: u32,
    /// Third value, whose meaning depends on the kind.
    pub third: u32,
    /// Code of an outcome, a reason or a verdict.
    pub code: u8,
    /// Whether an existing connection was used, or whether the request is idempotent.
    pub flag: bool,
    /// Name that a name frame or a hello carries.
    pub text: String,
    /// Numbers of names.
    pub list: Vec<u32>,
}

/// A frame without its length, and the bytes that follow the frame.
pub type Split<'a> = (&'a [u8], &'a [u8]);

/// Returns the first frame in `bytes` without its length, or `None` when the frame is incomplete.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for a length out of bounds.
pub fn split(bytes: &[u8]) -> Result<Option<Split<'_>>, Error> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::from(u16::from_le_bytes(*length));
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(Error::Malformed(format!("a frame of {length} bytes")));
    }
    Ok(rest.split_at_checked(length))
}

/// Appends a frame with its length to `bytes`.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the frame is too long.
pub fn write(tag: Tag, raw: &Raw, bytes: &mut Vec<u8>) -> Result<(), Error> {
    let allocator = HeapAllocator::new().first_segment_words(SEGMENT_WORDS);
    let mut message = Builder::new(allocator);
    let mut frame = message.init_root::<slot_frame::Builder<'_>>();
    frame.set_kind(tag);
    frame.set_number(raw.number);
    frame.set_first(raw.first);
    frame.set_second(raw.second);
    frame.set_third(raw.third);
    frame.set_code(raw.code);
    frame.set_flag(raw.flag);
    if !raw.text.is_empty() {
        frame.set_text(raw.text.as_str());
    }
    if !raw.list.is_empty() {
        frame.set_list(raw.list.as_slice())?;
    }
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_BYTES]);
    serialize_packed::write_message(&mut *bytes, &message)?;
    let length = bytes.len() - start - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        bytes.truncate(start);
        return Err(Error::Malformed(format!("a frame of {length} bytes")));
    }
    let length = u16::try_from(length).unwrap_or(u16::MAX).to_le_bytes();
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&length);
    Ok(())
}

/// Reads a frame without its length.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when a field is out of bounds.
pub fn read(mut body: &[u8]) -> Result<(Tag, Raw), Error> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let message = serialize_packed::read_message(&mut body, options)?;
    let frame = message.get_root::<slot_frame::Reader<'_>>()?;
    let tag = frame.get_kind().map_err(capnp::Error::from)?;
    Ok((tag, fields(frame)?))
}

fn fields(frame: slot_frame::Reader<'_>) -> Result<Raw, Error> {
    let text = frame.get_text()?.to_str()?;
    let list = frame.get_list()?;
    if text.len() > MAX_NAME_BYTES || list.len() as usize > MAX_LIST_LENGTH {
        return Err(Error::Malformed("a field is too long".to_owned()));
    }
    Ok(Raw {
        number: frame.get_number(),
        first: frame.get_first(),
        second: frame.get_second(),
        third: frame.get_third(),
        code: frame.get_code(),
        flag: frame.get_flag(),
        text: text.to_owned(),
        list: list.iter().collect(),
    })
}

/// Returns the code and the weight of a verdict.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn verdict_code(verdict: Verdict) -> (u8, u32) {
    match verdict {
        Verdict::Use { weight } => (0, (weight * WEIGHT_SCALE).round() as u32),
        Verdict::Trial => (1, 0),
        Verdict::Ejected => (2, 0),
    }
}

/// Returns the verdict of a code and a weight.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for an unknown code.
pub fn verdict(code: u8, weight: u32) -> Result<Verdict, Error> {
    match code {
        0 => Ok(Verdict::Use {
            weight: (f64::from(weight) / WEIGHT_SCALE).clamp(0.0, 1.0),
        }),
        1 => Ok(Verdict::Trial),
        2 => Ok(Verdict::Ejected),
        other => Err(Error::Malformed(format!("unknown verdict {other}"))),
    }
}
