use std::sync::{Arc, Mutex};

use hawthornstack_decisions::{agreement::JournalRecord, pg_host::HostEvent};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::JournalFile;
use crate::pg_host::HostMessage;

/// Messages to the [`JournalService`].
#[derive(Debug)]
pub enum JournalMessage {
    /// Append records, sync, and report the number to the host.
    Persist {
        /// Number to report once the records are synced.
        number: u64,
        /// Records in order.
        records: Vec<JournalRecord>,
    },
}

/// Actor that writes the voter's journal, one batch at a time.
#[derive(Debug)]
pub struct JournalService;

/// Start arguments of a [`JournalService`].
#[derive(Debug)]
pub struct JournalArguments {
    /// The open journal.
    pub file: JournalFile,
    /// Actor that gets the numbers of synced batches.
    pub host: ActorRef<HostMessage>,
}

/// State of a running [`JournalService`].
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
        let result = tokio::task::spawn_blocking(move || {
            let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            file.append(&records)
        })
        .await?;
        match result {
            Ok(()) => {
                let _ = state.host.send_message(HostMessage::Event(HostEvent::Persisted(number)));
            }
            Err(error) => {
                // The number is not reported, so the host sends nothing that
                // depends on these records: a voter that cannot store its
                // state stops answering instead of losing what it promised.
                log::error!(
                    target: "journal",
                    "The journal cannot be written: {error}. The journal service stops."
                );
                myself.stop(None);
            }
        }
        Ok(())
    }
}
