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

/// Numbers requests of one daemon.
#[derive(Debug, Clone, Default)]
pub struct RequestNumbers(Arc<AtomicU64>);

impl RequestNumbers {
    /// The next number.
    pub fn next(&self) -> RequestId {
        RequestId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// A caller task's hold on one request. Dropping it tells the host that the
/// caller is gone and that nothing runs any more.
#[derive(Debug)]
pub struct RequestHandle {
    host: ActorRef<HostMessage>,
    request: RequestId,
    signals: UnboundedReceiver<RequestSignal>,
    running: bool,
    over: bool,
}

impl RequestHandle {
    /// Hands the request to the host.
    pub fn arrive(host: &ActorRef<HostMessage>, arrival: RequestArrival) -> Self {
        let (sender, signals) = unbounded_channel();
        let request = arrival.request;
        let _ = host.send_message(HostMessage::Arrive(arrival, sender));
        Self { host: host.clone(), request, signals, running: false, over: false }
    }

    /// Waits for the next signal; a host that is gone concludes the request.
    pub async fn next(&mut self) -> RequestSignal {
        let signal = self.signals.recv().await.unwrap_or(RequestSignal::Conclude(RequestResult {
            result: ResultCode::ShuttingDown,
            session_position: None,
            retry_after: None,
        }));
        match signal {
            RequestSignal::Dispatch { .. } => self.running = true,
            RequestSignal::Forward(_) | RequestSignal::Conclude(_) => self.over = true,
        }
        signal
    }

    /// Tells the host what became of the request at its database.
    pub fn report(&mut self, report: ExecutionReport) {
        self.running = false;
        let event = HostEvent::RequestExecuted(self.request, report);
        let _ = self.host.send_message(HostMessage::Event(event));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        if self.running {
            self.report(ExecutionReport::RolledBack);
        }
        let event = HostEvent::RequestAbandoned(self.request);
        let _ = self.host.send_message(HostMessage::Event(event));
    }
}
