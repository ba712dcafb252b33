use std::{
    fs,
    path::Path,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use hawthornstack_decisions::{agreement::JournalRecord, control_role::ControlEvent};
use tokio::sync::mpsc::UnboundedSender;

use crate::{journal::JournalFile, kernel::KernelError};

/// Delay before a failed journal write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// File name to which a damaged journal is moved in the data folder.
const DAMAGED_FILE_NAME: &str = "journal.damaged";

struct JournalBatch {
    number: u64,
    records: Vec<JournalRecord>,
}

/// Writes and syncs records on a dedicated thread, since both block on the disk,
/// and reports the number up to which batches are durable.
pub(super) struct JournalThread {
    batches: Sender<JournalBatch>,
}

impl JournalThread {
    /// Opens the journal. A damaged journal is moved aside and replaced by an empty
    /// one: the host then counts as one that lost its disk, and the other hosts
    /// bring it up to date.
    ///
    /// # Errors
    /// `KernelError` if the data folder cannot be used.
    pub(super) fn open(
        folder: &Path,
        events: UnboundedSender<ControlEvent>,
    ) -> Result<(Self, Vec<JournalRecord>), KernelError> {
        let (file, records) = match JournalFile::open(folder) {
            Err(KernelError::JournalDamaged { path, offset }) => {
                tracing::error!(
                    target: "journal", offset,
                    "journal is damaged; moving it aside and starting with an empty one"
                );
                let moved = folder.join(DAMAGED_FILE_NAME);
                fs::rename(&path, moved)
                    .map_err(|source| KernelError::DataFolder { path, source })?;
                JournalFile::open(folder)?
            }
            opened => opened?,
        };
        let (batches, received) = channel();
        let writer = JournalWriter { file, events };
        thread::spawn(move || writer.run(&received));
        Ok((Self { batches }, records))
    }

    pub(super) fn persist(&self, number: u64, records: Vec<JournalRecord>) {
        // Sending cannot fail: the thread runs until the process exits.
        let _ = self.batches.send(JournalBatch { number, records });
    }
}

struct JournalWriter {
    file: JournalFile,
    events: UnboundedSender<ControlEvent>,
}

impl JournalWriter {
    fn run(mut self, batches: &Receiver<JournalBatch>) {
        while let Ok(first) = batches.recv() {
            let mut number = first.number;
            let mut records = first.records;
            // Batches that are already queued share one sync.
            while let Ok(next) = batches.try_recv() {
                number = next.number;
                records.extend(next.records);
            }
            self.write(&records);
            if self.events.send(ControlEvent::Persisted(number)).is_err() {
                return;
            }
        }
    }

    fn write(&mut self, records: &[JournalRecord]) {
        while let Err(error) = self.file.append(records) {
            tracing::warn!(target: "journal", %error, "journal write failed; retrying");
            thread::sleep(RETRY_DELAY);
        }
    }
}
