use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::identity::RequestId;

/// Requests that wait, one lane for each caller's name. Lanes take turns, so
/// that one caller's many requests do not hold up another's few.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: IndexMap<Arc<str>, VecDeque<RequestId>>,
    /// The lane whose turn it is.
    turn: usize,
    length: usize,
}

impl FairQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request at the end of its caller's lane.
    pub fn push(&mut self, caller: &Arc<str>, request: RequestId) {
        self.lanes.entry(caller.clone()).or_default().push_back(request);
        self.length += 1;
    }

    /// The next `limit` requests in the order in which they would be served:
    /// the first of each lane, then the second of each.
    pub fn peek_next(&self, limit: usize) -> Vec<RequestId> {
        let lanes = self.lanes.len();
        let deepest = self.lanes.values().map(VecDeque::len).max().unwrap_or(0);
        let place = |depth: usize, step: usize| {
            let (_, lane) = self.lanes.get_index((self.turn + step) % lanes)?;
            lane.get(depth).copied()
        };
        (0..deepest)
            .flat_map(|depth| (0..lanes).filter_map(move |step| place(depth, step)))
            .take(limit)
            .collect()
    }

    /// Removes a request that is served now; the next lane has its turn.
    pub fn dequeue(&mut self, caller: &Arc<str>, request: RequestId) {
        let lane = self.lanes.get_index_of(caller);
        self.remove(caller, request);
        if let Some(lane) = lane {
            // An emptied lane is gone, and the next one stands in its place.
            let kept = self.lanes.contains_key(caller);
            self.turn = if kept { lane + 1 } else { lane };
        }
        if self.turn >= self.lanes.len() {
            self.turn = 0;
        }
    }

    /// Takes out a request that gave up.
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

    /// All requests, in no stated order.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.lanes.values().flatten().copied()
    }
}
