use std::time::Duration;

use tokio::sync::watch;

/// What is wrong with a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The process is gone: connections break, new ones are refused.
    Stopped,
    /// The process does nothing until it is thawed.
    Frozen,
    /// Hosts of the system get no answers; replication goes on.
    CutFromHosts,
    /// Replicas get no records; hosts are served.
    CutFromGroup,
    /// Cut from hosts and from the group.
    Isolated,
    /// Every statement takes this much longer.
    Slow(Duration),
}

/// Sets and watches the fault of one database.
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
    /// Changes the fault.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// The fault now.
    pub fn current(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Waits until hosts are answered.
    pub async fn answering(&self) {
        let silent =
            |fault: &Fault| matches!(fault, Fault::Frozen | Fault::CutFromHosts | Fault::Isolated);
        let _ = self.fault.subscribe().wait_for(|fault| !silent(fault)).await;
    }

    /// Waits until the process is stopped.
    pub async fn stopped(&self) {
        let _ = self.fault.subscribe().wait_for(|fault| *fault == Fault::Stopped).await;
    }

    /// Waits until the process is not stopped.
    pub async fn started(&self) {
        let _ = self.fault.subscribe().wait_for(|fault| *fault != Fault::Stopped).await;
    }

    /// True if log records flow to and from the database.
    pub fn replicates(&self) -> bool {
        matches!(self.current(), Fault::None | Fault::CutFromHosts | Fault::Slow(_))
    }

    /// Extra time of a statement.
    pub fn delay(&self) -> Duration {
        match self.current() {
            Fault::Slow(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}
