use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use hawthornstack_decisions::{agreement::JournalRecord, control_role::ControlEvent};
use tokio::sync::mpsc::UnboundedSender;

use crate::{journal::JournalFile, kernel::KernelError};

/// Pause before a write that the disk refused is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Name that a damaged journal is moved to.
const DAMAGED_NAME: &str = "journal.damaged";

struct JournalBatch {
    number: u64,
    records: Vec<JournalRecord>,
}

/// Writes and syncs records on a thread of its own, since both wait for the
/// disk, and reports each number once it is durable.
pub(super) struct JournalThread {
    batches: Sender<JournalBatch>,
}

impl JournalThread {
    /// Opens the journal. A damaged one is moved aside: the host then counts as
    /// one that lost its disk and is caught up by the others.
    ///
    /// # Errors
    /// `KernelError` if the data folder cannot be used.
    pub(super) fn open(
        folder: &Path,
        events: UnboundedSender<ControlEvent>,
    ) -> Result<(Self, Vec<JournalRecord>), KernelError> {
        let (file, records) = match JournalFile::open(folder) {
            Err(KernelError::JournalDamaged { path, offset }) => {
                tracing::error!(target: "journal", offset, "journal damaged, starting empty");
                let moved = folder.join(DAMAGED_NAME);
                fs::rename(&path, moved)
                    .map_err(|source| KernelError::DataFolder { path, source })?;
                JournalFile::open(folder)?
            }
            opened => opened?,
        };
        let (batches, received) = channel();
        let writer = JournalWriter { folder: folder.to_owned(), file, events };
        thread::spawn(move || writer.run(&received));
        Ok((Self { batches }, records))
    }

    pub(super) fn persist(&self, number: u64, records: Vec<JournalRecord>) {
        // The thread ends only with the process.
        let _ = self.batches.send(JournalBatch { number, records });
    }
}

struct JournalWriter {
    folder: PathBuf,
    file: JournalFile,
    events: UnboundedSender<ControlEvent>,
}

impl JournalWriter {
    fn run(mut self, batches: &Receiver<JournalBatch>) {
        while let Ok(first) = batches.recv() {
            let mut number = first.number;
            let mut records = first.records;
            // What waits already shares one sync.
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
            tracing::warn!(target: "journal", %error, "the disk refused a write");
            thread::sleep(RETRY_PAUSE);
            if let Err(error) = self.reopen() {
                tracing::warn!(target: "journal", %error, "the journal cannot be opened");
            }
        }
    }

    /// Drops what a failed write may have left at the end.
    fn reopen(&mut self) -> Result<(), io::Error> {
        let (file, _) = JournalFile::open(&self.folder).map_err(io::Error::other)?;
        self.file = file;
        Ok(())
    }
}
