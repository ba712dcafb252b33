use std::{rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{QueuedStatement, ReleaseChoice, WaitingStatement},
};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until, timeout_at},
};

use super::database_pool::{AcquireError, ConnectionGrant, DatabasePool, PoolState};
use crate::clock::BootClock;

/// Interval at which a waiting statement tries again by itself. What it waited for may
/// have changed meanwhile from a free part of the window to a time without a release.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Resolution of the runtime's timers.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// The sending half of what a waiting statement is granted.
type GrantSender = oneshot::Sender<ConnectionGrant>;

/// Statements that wait for a connection, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct PoolWaiters {
    statements: Vec<WaitingStatement>,
    /// At the same index as the statement.
    senders: Vec<GrantSender>,
}

impl PoolWaiters {
    pub(super) fn len(&self) -> usize {
        self.statements.len()
    }

    pub(super) fn statements(&self) -> &[WaitingStatement] {
        &self.statements
    }

    /// The statements that still wait.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &WaitingStatement> + Clone {
        let pairs = self.statements.iter().zip(&self.senders);
        pairs.filter(|(_, sender)| !sender.is_closed()).map(|(waiting, _)| waiting)
    }

    /// Adds a statement; one that waits again keeps its position in the queue.
    fn insert(&mut self, waiting: WaitingStatement, sender: GrantSender) {
        let arrived = waiting.statement.arrived;
        let index = self.statements.partition_point(|other| other.statement.arrived <= arrived);
        self.statements.insert(index, waiting);
        self.senders.insert(index, sender);
    }

    fn remove(&mut self, index: usize) -> (WaitingStatement, GrantSender) {
        (self.statements.remove(index), self.senders.remove(index))
    }

    /// Removes statements that no longer wait.
    fn remove_ended(&mut self) {
        let mut keep = self.senders.iter().map(|sender| !sender.is_closed());
        self.statements.retain(|_| keep.next().unwrap_or(false));
        self.senders.retain(|sender| !sender.is_closed());
    }
}

impl PoolState {
    /// Takes the next statement that can be served out of the queue, with what it is
    /// granted.
    fn next_served(&mut self, now: Moment) -> Option<(WaitingStatement, GrantSender)> {
        self.waiters.remove_ended();
        let ReleaseChoice::Serve { waiter, passed_over, .. } = self.choose_waiter(now) else {
            return None;
        };
        if let Some(index) = passed_over {
            self.waiters.statements[index].passed_over += 1;
        }
        Some(self.waiters.remove(waiter))
    }
}

impl DatabasePool {
    /// Waits for a connection, or the place of one, that another statement released;
    /// `None` if the caller should try again to get one.
    pub(super) async fn wait_for_grant(
        self: &Rc<Self>,
        statement: QueuedStatement,
        workspace: Option<&Arc<str>>,
        retry_at: Option<Moment>,
        deadline: Instant,
    ) -> Result<Option<ConnectionGrant>, AcquireError> {
        let (sender, granted) = oneshot::channel();
        let waiting = WaitingStatement { statement, workspace: workspace.cloned(), passed_over: 0 };
        {
            let mut state = self.state.borrow_mut();
            state.waiters.remove_ended();
            state.waiters.insert(waiting, sender);
        }
        let retry_after = retry_at.map_or(RETRY_INTERVAL, |at| at.since(BootClock.now()));
        // The timer counts whole milliseconds, and may end before the time on this clock.
        let retry_at = Instant::now() + retry_after.min(RETRY_INTERVAL) + TIMER_RESOLUTION;
        let outcome = timeout_at(deadline, async {
            tokio::select! {
                biased;
                granted = granted => granted.ok(),
                () = sleep_until(retry_at) => None,
            }
        });
        outcome.await.map_err(|_| AcquireError::OutOfTime)
    }

    /// Serves waiting statements as long as the in-flight window allows another one and
    /// one of them can be served.
    pub(super) fn serve_waiters(self: &Rc<Self>) {
        loop {
            let now = BootClock.now();
            let served = self.state.borrow_mut().next_served(now);
            let Some((waiting, sender)) = served else {
                return;
            };
            let Ok(grant) =
                self.try_grant(waiting.workspace.as_ref(), waiting.statement.priority, now)
            else {
                // Its idle connection turned out to be broken and no other one can be
                // opened now; it waits on, and the next released connection is chosen
                // for all waiting statements again.
                self.state.borrow_mut().waiters.insert(waiting, sender);
                return;
            };
            // If the statement stopped waiting meanwhile, dropping the grant outside of
            // the borrow gives it back.
            if let Err(grant) = sender.send(grant) {
                grant.give_back();
            }
        }
    }
}
