use std::time::Duration;

use tokio::sync::watch;

/// An injected fault of a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// The database works normally.
    #[default]
    None,
    /// The process has ended: open connections are closed, new ones are refused.
    Stopped,
    /// The process is suspended until the fault is cleared.
    Frozen,
    /// Hosts get no responses; replication continues.
    CutFromHosts,
    /// Log records flow neither to nor from the database; hosts are served.
    CutFromGroup,
    /// Network partition from both hosts and the group.
    Isolated,
    /// Every statement takes longer by this time.
    Slow(Duration),
}

/// The current fault of one database. Tasks of the database wait for changes.
#[derive(Debug)]
pub struct FaultSwitch {
    fault: watch::Sender<Fault>,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self { fault: watch::Sender::new(Fault::None) }
    }
}

impl FaultSwitch {
    /// Replaces the current fault; tasks that wait for a change are woken.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// The fault that is in effect now.
    pub fn current(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Waits until the database responds to hosts; returns at once if it does.
    pub async fn wait_until_answering(&self) {
        let unresponsive =
            |fault: &Fault| matches!(fault, Fault::Frozen | Fault::CutFromHosts | Fault::Isolated);
        let _ = self.fault.subscribe().wait_for(|fault| !unresponsive(fault)).await;
    }

    /// Waits until the process is stopped; returns at once if it is.
    pub async fn wait_until_stopped(&self) {
        let _ = self.fault.subscribe().wait_for(|fault| *fault == Fault::Stopped).await;
    }

    /// Waits until the process is not stopped; returns at once if it is not.
    pub async fn wait_until_started(&self) {
        let _ = self.fault.subscribe().wait_for(|fault| *fault != Fault::Stopped).await;
    }

    /// True if log records flow to and from the database.
    pub fn replicates(&self) -> bool {
        matches!(self.current(), Fault::None | Fault::CutFromHosts | Fault::Slow(_))
    }

    /// Time added to the execution of every statement; zero unless the database
    /// is slow.
    pub fn statement_delay(&self) -> Duration {
        match self.current() {
            Fault::Slow(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}
