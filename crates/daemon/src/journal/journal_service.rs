use std::sync::{Arc, Mutex};

use hawthornstack_decisions::{agreement::JournalRecord, pg_host::HostEvent};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::JournalFile;
use crate::pg_host::HostMessage;

/// Requests to the journal.
#[derive(Debug)]
pub enum JournalMessage {
    /// Append records, sync, and report the number to the host.
    Persist {
        /// Number to report.
        number: u64,
        /// Records in order.
        records: Vec<JournalRecord>,
    },
}

/// Writes the voter's journal, one batch after the other.
#[derive(Debug)]
pub struct JournalService;

/// What the service needs at its start.
#[derive(Debug)]
pub struct JournalArguments {
    /// The open journal.
    pub file: JournalFile,
    /// Where to report.
    pub host: ActorRef<HostMessage>,
}

/// What the service holds while it runs.
#[derive(Debug)]
pub struct JournalState {
    file: Arc<Mutex<JournalFile>>,
    host: ActorRef<HostMessage>,
}

impl Actor for JournalService {
    type Msg = JournalMessage;
    type State = JournalState;
    type Arguments = JournalArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<JournalMessage>,
        arguments: JournalArguments,
    ) -> Result<JournalState, ActorProcessingErr> {
        let file = Arc::new(Mutex::new(arguments.file));
        Ok(JournalState { file, host: arguments.host })
    }

    async fn handle(
        &self,
        myself: ActorRef<JournalMessage>,
        message: JournalMessage,
        state: &mut JournalState,
    ) -> Result<(), ActorProcessingErr> {
        let JournalMessage::Persist { number, records } = message;
        let file = state.file.clone();
        let written = tokio::task::spawn_blocking(move || {
            let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            file.append(&records)
        })
        .await?;
        match written {
            Ok(()) => {
                let _ = state.host.send_message(HostMessage::Event(HostEvent::Persisted(number)));
            }
            Err(error) => {
                // Without a report nothing that depends on the records is
                // sent, so the voter falls silent instead of forgetting.
                log::error!(target: "journal", "The journal cannot be written: {error}.");
                myself.stop(None);
            }
        }
        Ok(())
    }
}
