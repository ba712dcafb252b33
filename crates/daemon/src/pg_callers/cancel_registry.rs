use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicI32, Ordering},
    },
};

use tokio::sync::Notify;

#[derive(Debug)]
struct CancelEntry {
    secret: i32,
    notify: Arc<Notify>,
}

/// Callers whose requests can be cancelled, by the id and secret of their connection.
#[derive(Debug, Clone, Default)]
pub struct CancelRegistry {
    next_id: Arc<AtomicI32>,
    entries: Arc<Mutex<HashMap<i32, CancelEntry>>>,
}

/// Registration of a caller; dropping it removes the caller from the registry.
#[derive(Debug)]
pub(super) struct CancelTicket {
    registry: CancelRegistry,
    pub(super) id: i32,
    pub(super) secret: i32,
    /// Notified when the caller asks to cancel.
    pub(super) notify: Arc<Notify>,
}

impl CancelRegistry {
    pub(super) fn register(&self) -> CancelTicket {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let secret = rand::random();
        let notify = Arc::new(Notify::new());
        let entry = CancelEntry { secret, notify: notify.clone() };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(id, entry);
        CancelTicket { registry: self.clone(), id, secret, notify }
    }

    /// Cancels the running request of a caller if id and secret match.
    pub(super) fn cancel(&self, id: i32, secret: i32) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = entries.get(&id).filter(|entry| entry.secret == secret) {
            entry.notify.notify_waiters();
        }
    }
}

impl Drop for CancelTicket {
    fn drop(&mut self) {
        let mut entries = self.registry.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.remove(&self.id);
    }
}
