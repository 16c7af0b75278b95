//! Encoding and decoding of frames, whose names are replaced by numbers.
//!
//! The encoder gives each name a number when it first uses the name, and sends both in a name
//! frame; the decoder keeps the table.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::error::Error;
use crate::fleet_capnp::slot_frame::Kind as Tag;
use crate::slots::Frame;
use crate::slots::codes;
use crate::slots::codes::OUTCOMES;
use crate::slots::raw;
use crate::slots::raw::MAX_LIST_LENGTH;
use crate::slots::raw::MAX_NAME_BYTES;
use crate::slots::raw::REFUSALS;
use crate::slots::raw::Raw;

/// Number of names in one direction of a connection before numbering starts anew.
const MAX_NAMES: usize = 16_384;

/// Encodes the frames of one direction of a connection.
#[derive(Debug, Default)]
pub struct Encoder {
    names: BTreeMap<String, u32>,
}

/// Decodes the frames of one direction of a connection.
#[derive(Debug, Default)]
pub struct Decoder {
    names: Vec<String>,
    buffer: Vec<u8>,
}

impl Encoder {
    /// Creates an encoder without names.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            names: BTreeMap::new(),
        }
    }

    /// Appends a frame to `bytes`, preceded by name frames for the names not sent before.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the frame is longer than
    /// [`MAX_FRAME_BYTES`](super::MAX_FRAME_BYTES).
    pub fn encode(&mut self, frame: &Frame, bytes: &mut Vec<u8>) -> Result<(), Error> {
        if self.names.len() + MAX_LIST_LENGTH * 2 > MAX_NAMES {
            self.names.clear();
        }
        let (tag, raw) = self.raw(frame, bytes)?;
        raw::write(tag, &raw, bytes)
    }

    fn raw(&mut self, frame: &Frame, bytes: &mut Vec<u8>) -> Result<(Tag, Raw), Error> {
        let mut raw = Raw::default();
        let tag = match frame {
            Frame::Hello { host, zone } => {
                raw.text.clone_from(host);
                raw.first = self.name_number(zone, bytes)?;
                Tag::Hello
            }
            Frame::Reserve {
                number,
                service,
                tenant,
                left,
                avoid,
                idempotent,
            } => {
                raw.number = *number;
                raw.flag = *idempotent;
                raw.first = self.name_number(service, bytes)?;
                raw.second = self.name_number(tenant.as_deref().unwrap_or_default(), bytes)?;
                raw.third = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
                for upstream in avoid.iter().take(MAX_LIST_LENGTH) {
                    raw.list.push(self.name_number(upstream, bytes)?);
                }
                Tag::Reserve
            }
            Frame::Granted { number, upstream } => {
                raw.number = *number;
                raw.first = self.name_number(upstream, bytes)?;
                Tag::Granted
            }
            Frame::Queued { number } => {
                raw.number = *number;
                Tag::Queued
            }
            Frame::Refused { number, kind } => {
                raw.number = *number;
                raw.code = codes::position(&REFUSALS, kind);
                Tag::Refused
            }
            Frame::Hold {
                number,
                service,
                tenant,
                upstream,
            } => {
                raw.number = *number;
                raw.first = self.name_number(service, bytes)?;
                raw.second = self.name_number(tenant.as_deref().unwrap_or_default(), bytes)?;
                raw.third = self.name_number(upstream, bytes)?;
                Tag::Hold
            }
            Frame::Release {
                number,
                service,
                outcome,
                latency,
                reused,
            } => {
                raw.number = *number;
                raw.second = self.name_number(service, bytes)?;
                raw.code = codes::position(&OUTCOMES, outcome);
                raw.first = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
                raw.flag = *reused;
                Tag::Release
            }
            Frame::Ping { number } => {
                raw.number = *number;
                Tag::Ping
            }
            Frame::Pong { number } => {
                raw.number = *number;
                Tag::Pong
            }
            Frame::Advice {
                service,
                upstream,
                verdict,
            } => {
                raw.third = self.name_number(service, bytes)?;
                raw.first = self.name_number(upstream, bytes)?;
                (raw.code, raw.second) = raw::verdict_code(*verdict);
                Tag::Advice
            }
        };
        Ok((tag, raw))
    }

    /// Returns the number of a name; appends a name frame if the name is new.
    fn name_number(&mut self, name: &str, bytes: &mut Vec<u8>) -> Result<u32, Error> {
        if name.is_empty() {
            return Ok(0);
        }
        if let Some(number) = self.names.get(name) {
            return Ok(*number);
        }
        if name.len() > MAX_NAME_BYTES {
            return Err(Error::Malformed("a name is too long".to_owned()));
        }
        let number = u32::try_from(self.names.len() + 1).unwrap_or(u32::MAX);
        self.names.insert(name.to_owned(), number);
        let raw = Raw {
            number,
            text: name.to_owned(),
            ..Raw::default()
        };
        raw::write(Tag::Name, &raw, bytes)?;
        Ok(number)
    }
}

impl Decoder {
    /// Creates a decoder without names.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            names: Vec::new(),
            buffer: Vec::new(),
        }
    }

    /// Decodes received bytes and returns the frames that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the bytes are not frames; the connection cannot be used
    /// further.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Frame>, Error> {
        self.buffer.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.buffer);
        let mut rest = buffer.as_slice();
        let mut frames = Vec::new();
        while let Some((body, after)) = raw::split(rest)? {
            rest = after;
            frames.extend(self.decode(body)?);
        }
        self.buffer = rest.to_vec();
        Ok(frames)
    }

    fn decode(&mut self, body: &[u8]) -> Result<Option<Frame>, Error> {
        match raw::read(body)? {
            (Tag::Name, raw) => {
                self.define_name(raw)?;
                Ok(None)
            }
            (tag, raw) => self.frame(tag, raw).map(Some),
        }
    }

    fn define_name(&mut self, raw: Raw) -> Result<(), Error> {
        let number = raw.number as usize;
        if number == 0 || number > self.names.len() + 1 || number > MAX_NAMES {
            return Err(Error::Malformed("a name frame is out of order".to_owned()));
        }
        if number > self.names.len() {
            self.names.push(raw.text);
        } else {
            self.names[number - 1] = raw.text;
        }
        Ok(())
    }

    fn frame(&self, tag: Tag, raw: Raw) -> Result<Frame, Error> {
        let number = raw.number;
        Ok(match tag {
            Tag::Hello => Frame::Hello {
                host: raw.text,
                zone: self.name(raw.first)?,
            },
            Tag::Name => return Err(Error::Malformed("a name frame is no message".to_owned())),
            Tag::Reserve => Frame::Reserve {
                number,
                service: self.name(raw.first)?,
                tenant: self.optional_name(raw.second)?,
                left: Duration::from_millis(u64::from(raw.third)),
                avoid: self.name_list(&raw.list)?,
                idempotent: raw.flag,
            },
            Tag::Granted => Frame::Granted {
                number,
                upstream: self.name(raw.first)?,
            },
            Tag::Queued => Frame::Queued { number },
            Tag::Refused => Frame::Refused {
                number,
                kind: codes::item(&REFUSALS, raw.code)?,
            },
            Tag::Hold => Frame::Hold {
                number,
                service: self.name(raw.first)?,
                tenant: self.optional_name(raw.second)?,
                upstream: self.name(raw.third)?,
            },
            Tag::Release => Frame::Release {
                number,
                service: self.name(raw.second)?,
                outcome: codes::item(&OUTCOMES, raw.code)?,
                latency: Duration::from_micros(u64::from(raw.first)),
                reused: raw.flag,
            },
            Tag::Ping => Frame::Ping { number },
            Tag::Pong => Frame::Pong { number },
            Tag::Advice => Frame::Advice {
                service: self.name(raw.third)?,
                upstream: self.name(raw.first)?,
                verdict: raw::verdict(raw.code, raw.second)?,
            },
        })
    }

    fn name(&self, number: u32) -> Result<String, Error> {
        let unknown = || Error::Malformed(format!("name {number} is not defined"));
        let index = (number as usize).checked_sub(1);
        let name = index.and_then(|index| self.names.get(index));
        name.cloned().ok_or_else(unknown)
    }

    fn optional_name(&self, number: u32) -> Result<Option<String>, Error> {
        if number == 0 {
            return Ok(None);
        }
        self.name(number).map(Some)
    }

    fn name_list(&self, numbers: &[u32]) -> Result<Vec<String>, Error> {
        numbers.iter().map(|number| self.name(*number)).collect()
    }
}
