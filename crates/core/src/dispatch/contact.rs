//! Which hosts are in contact with upstreams, by the results of their attempts.
//!
//! An attempt without any response of its upstream speaks against the upstream, or against the path of the
//! host. If a host has none from two upstreams in a row, its path is the likelier cause.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::roster::Number;

/// What the dispatcher believes less of an upstream on the word of one host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// The upstream.
    pub upstream: Number,
    /// Factor by which the odds of the upstream to be grey were multiplied.
    pub ratio: f64,
}

/// What follows from an attempt without a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// It speaks against the upstream.
    Charged,
    /// It speaks against the path of the host, as does the earlier one.
    Withdrawn(Charge),
    /// It speaks against the path of the host.
    Ignored,
}

/// State of one host since an upstream last responded to it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// One upstream did not respond.
    Charging(Charge),
    /// Several upstreams did not respond.
    OutOfContact,
}

/// The hosts to which an upstream did not respond since one last did.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    hosts: BTreeMap<HostId, State>,
}

impl Contact {
    /// Records that an upstream responded to a host, or that the host is gone.
    pub fn note_response(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Records that an upstream did not respond to a host, which multiplies the odds of the upstream to be grey
    /// by `ratio` if it speaks against the upstream.
    pub fn note_silence(&mut self, host: &str, upstream: Number, ratio: f64) -> Effect {
        match self.hosts.get_mut(host) {
            None => {
                let charge = Charge { upstream, ratio };
                self.hosts.insert(host.to_owned(), State::Charging(charge));
                Effect::Charged
            }
            Some(State::Charging(charge)) if charge.upstream == upstream => {
                charge.ratio *= ratio;
                Effect::Charged
            }
            Some(state) => match std::mem::replace(state, State::OutOfContact) {
                State::Charging(charge) => Effect::Withdrawn(charge),
                State::OutOfContact => Effect::Ignored,
            },
        }
    }
}
