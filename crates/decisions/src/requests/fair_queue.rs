use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::identity::RequestId;

/// Waiting requests, with one lane for each caller's name. Lanes are served round
/// robin, so that one caller's many requests do not delay another's few.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: IndexMap<Arc<str>, VecDeque<RequestId>>,
    /// Index of the lane to be served next.
    next_lane: usize,
    length: usize,
}

impl FairQueue {
    /// Number of waiting requests, over all lanes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request at the end of its caller's lane.
    pub fn push(&mut self, caller: &Arc<str>, request: RequestId) {
        self.lanes.entry(caller.clone()).or_default().push_back(request);
        self.length += 1;
    }

    /// The next `limit` requests in the order in which they would be served: the
    /// first of each lane, then the second of each, and so on.
    pub fn peek_next(&self, limit: usize) -> Vec<RequestId> {
        let lanes = self.lanes.len();
        let deepest = self.lanes.values().map(VecDeque::len).max().unwrap_or(0);
        let request_at = |depth: usize, step: usize| {
            let (_, lane) = self.lanes.get_index((self.next_lane + step) % lanes)?;
            lane.get(depth).copied()
        };
        (0..deepest)
            .flat_map(|depth| (0..lanes).filter_map(move |step| request_at(depth, step)))
            .take(limit)
            .collect()
    }

    /// Removes a request that is served now, and moves on to the next lane.
    pub fn dequeue(&mut self, caller: &Arc<str>, request: RequestId) {
        let lane = self.lanes.get_index_of(caller);
        self.remove(caller, request);
        if let Some(lane) = lane {
            // An empty lane was removed, so the next one has its index now.
            let has_requests = self.lanes.contains_key(caller);
            self.next_lane = if has_requests { lane + 1 } else { lane };
        }
        if self.next_lane >= self.lanes.len() {
            self.next_lane = 0;
        }
    }

    /// Removes a request that is no longer waiting, without moving on to the next lane.
    pub fn remove(&mut self, caller: &Arc<str>, request: RequestId) {
        let Some(lane) = self.lanes.get_mut(caller) else {
            return;
        };
        let before = lane.len();
        lane.retain(|waiting| *waiting != request);
        self.length -= before - lane.len();
        if lane.is_empty() {
            self.lanes.shift_remove(caller);
        }
    }

    /// All waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.lanes.values().flatten().copied()
    }
}
