use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use hawthornstack_decisions::{
    identity::RequestId,
    outcomes::ResultCode,
    pg_host::{ExecutionReport, HostEvent, RequestResult},
    requests::RequestArrival,
};
use ractor::ActorRef;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::{HostMessage, RequestSignal};

/// Counter from which a daemon's requests get their ids; clones share it.
#[derive(Debug, Clone, Default)]
pub struct RequestNumbers(Arc<AtomicU64>);

impl RequestNumbers {
    /// Takes the next id, unique in this run of the daemon.
    pub fn next(&self) -> RequestId {
        RequestId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Handle of a caller's task to one request. If it is dropped before the request
/// ends, the host service is told that the caller is gone and that nothing runs at
/// the database any more.
#[derive(Debug)]
pub struct RequestHandle {
    host: ActorRef<HostMessage>,
    request: RequestId,
    signals: UnboundedReceiver<RequestSignal>,
    running: bool,
    finished: bool,
}

impl RequestHandle {
    /// Submits the request to the host service.
    pub fn submit(host: &ActorRef<HostMessage>, arrival: RequestArrival) -> Self {
        let (sender, signals) = unbounded_channel();
        let request = arrival.request;
        let _ = host.send_message(HostMessage::Submit(arrival, sender));
        Self { host: host.clone(), request, signals, running: false, finished: false }
    }

    /// Waits for the next signal. If the host service has stopped, the request ends
    /// with `ResultCode::ShuttingDown`.
    pub async fn next(&mut self) -> RequestSignal {
        let signal = self.signals.recv().await.unwrap_or(RequestSignal::Complete(RequestResult {
            result: ResultCode::ShuttingDown,
            session_position: None,
            retry_after: None,
        }));
        match signal {
            RequestSignal::Dispatch { .. } => self.running = true,
            RequestSignal::Forward(_) | RequestSignal::Complete(_) => self.finished = true,
        }
        signal
    }

    /// Reports to the host service how the request ended at its database.
    pub fn report(&mut self, report: ExecutionReport) {
        self.running = false;
        let event = HostEvent::RequestExecuted(self.request, report);
        let _ = self.host.send_message(HostMessage::Event(event));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        if self.running {
            self.report(ExecutionReport::RolledBack);
        }
        let event = HostEvent::RequestAbandoned(self.request);
        let _ = self.host.send_message(HostMessage::Event(event));
    }
}
