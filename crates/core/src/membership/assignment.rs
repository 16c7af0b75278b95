//! Assignment of watchers to hosts and upstreams.
//!
//! Keys are spread over partitions. The live hosts that rank first for a partition by rendezvous
//! hashing watch the subjects in it. Hosts with the same view of the live hosts compute the same
//! watchers.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::board::Board;
use crate::id::HostId;
use crate::membership::message::Key;
use crate::membership::message::host_key;

/// Number of hosts that watch one subject.
pub const WATCHERS_PER_SUBJECT: usize = 3;

/// Number of partitions that the keys are spread over.
const PARTITION_COUNT: u64 = 1_024;

/// The watchers of each partition.
#[derive(Debug, Default)]
pub struct Assignment {
    host_changes: Option<u64>,
    hosts: Vec<(Key, HostId)>,
    partitions: BTreeMap<u64, Vec<HostId>>,
}

impl Assignment {
    /// Reads the live hosts from the board and returns whether any host changed.
    pub fn refresh(&mut self, board: &Board) -> bool {
        if self.host_changes == Some(board.host_changes()) {
            return false;
        }
        self.host_changes = Some(board.host_changes());
        self.partitions.clear();
        let live = board.live_hosts();
        self.hosts = live.map(|id| (host_key(id), id.to_owned())).collect();
        true
    }

    /// Returns the hosts that watch the subject of a key; a host does not watch itself.
    pub fn watchers(&mut self, key: Key) -> Vec<HostId> {
        let partition = key % PARTITION_COUNT;
        let hosts = &self.hosts;
        let ranked = self
            .partitions
            .entry(partition)
            .or_insert_with(|| rank(hosts, partition));
        let others = ranked.iter().filter(|id| host_key(id) != key);
        others.take(WATCHERS_PER_SUBJECT).cloned().collect()
    }
}

/// Returns the hosts that rank first for a partition.
///
/// There is one more than the number of watchers, since a host does not watch itself.
fn rank(hosts: &[(Key, HostId)], partition: u64) -> Vec<HostId> {
    let mut first: Vec<(u64, &HostId)> = Vec::with_capacity(WATCHERS_PER_SUBJECT + 2);
    for (key, id) in hosts {
        let weight = xxh3_64_with_seed(&key.to_le_bytes(), partition);
        let position = first.partition_point(|(other, _)| *other > weight);
        if position <= WATCHERS_PER_SUBJECT {
            first.insert(position, (weight, id));
            first.truncate(WATCHERS_PER_SUBJECT + 1);
        }
    }
    first.into_iter().map(|(_, id)| id.clone()).collect()
}
