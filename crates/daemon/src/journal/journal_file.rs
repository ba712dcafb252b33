use std::{
    collections::BTreeSet,
    fs::{self, File, OpenOptions, Permissions},
    io::{self, Write},
    os::unix::fs::{OpenOptionsExt, PermissionsExt},
    path::{Path, PathBuf},
};

use hawthornstack_decisions::agreement::{EntryLog, JournalRecord, StateSnapshot};
use snafu::ResultExt;

use crate::kernel::{
    KernelError,
    kernel_error::{DataFolderSnafu, JournalDamagedSnafu},
};

/// File name of the journal in the data folder.
const JOURNAL_FILE_NAME: &str = "journal";
/// File name of the rewritten journal until it replaces the old one.
const REWRITTEN_FILE_NAME: &str = "journal.new";
/// Magic bytes at the start of a record.
const RECORD_MAGIC: [u8; 4] = *b"HSJ1";
/// Mode of the journal files, which hold the keys of callers: only their owner may
/// read them.
const JOURNAL_MODE: u32 = 0o600;
/// Bytes before a record's body: magic bytes, length, checksum.
const HEADER_BYTES: usize = 12;
/// Largest body of a record, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The journal on disk: one file of records, rewritten when a snapshot
/// replaces its beginning.
#[derive(Debug)]
pub struct JournalFile {
    folder: PathBuf,
    file: File,
    /// Length of the records that are synced, in bytes.
    length: u64,
}

/// Result of reading a record at an offset of the file.
enum ParsedRecord {
    Valid { record: Box<JournalRecord>, end: usize },
    Invalid,
}

impl JournalFile {
    /// Opens the journal in `folder` and returns its records. Creates the folder
    /// and the file if they are missing. An invalid record at the end, left by an
    /// incomplete write, is cut off.
    ///
    /// # Errors
    /// `KernelError::JournalDamaged` if a valid record follows an invalid one;
    /// `KernelError::DataFolder` if the file cannot be used.
    pub fn open(folder: &Path) -> Result<(Self, Vec<JournalRecord>), KernelError> {
        fs::create_dir_all(folder).context(DataFolderSnafu { path: folder })?;
        let path = folder.join(JOURNAL_FILE_NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => {
                // A damaged journal is moved aside as it is.
                fs::set_permissions(&path, Permissions::from_mode(JOURNAL_MODE))
                    .context(DataFolderSnafu { path: &path })?;
                bytes
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(source) => return Err(KernelError::DataFolder { path, source }),
        };
        let mut records = Vec::new();
        let mut end = 0;
        while end < bytes.len() {
            match read_record(&bytes, end) {
                ParsedRecord::Valid { record, end: next } => {
                    records.push(*record);
                    end = next;
                }
                ParsedRecord::Invalid if has_valid_record_after(&bytes, end) => {
                    return JournalDamagedSnafu { path, offset: end as u64 }.fail();
                }
                ParsedRecord::Invalid => break,
            }
        }
        let file =
            Self::open_truncated(&path, end as u64).context(DataFolderSnafu { path: &path })?;
        sync_folder(folder).context(DataFolderSnafu { path: folder })?;
        Ok((Self { folder: folder.to_owned(), file, length: end as u64 }, records))
    }

    fn open_truncated(path: &Path, length: u64) -> io::Result<File> {
        let file = open_private(OpenOptions::new().create(true).append(true), path)?;
        file.set_len(length)?;
        file.sync_all()?;
        Ok(file)
    }

    /// Appends records and returns once they are synced. A snapshot among them
    /// causes the file to be rewritten.
    ///
    /// # Errors
    /// The system's error. The call may be repeated: it first cuts off what a failed
    /// one wrote.
    pub fn append(&mut self, records: &[JournalRecord]) -> io::Result<()> {
        let has_snapshot = records.iter().any(|r| matches!(r, JournalRecord::Snapshot(_)));
        if has_snapshot {
            return self.rewrite(records);
        }
        let mut bytes = Vec::new();
        for record in records {
            write_record(&mut bytes, record)?;
        }
        if self.file.metadata()?.len() != self.length {
            self.file.set_len(self.length)?;
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Writes the compacted records to a new file and renames it over the old
    /// one.
    fn rewrite(&mut self, added: &[JournalRecord]) -> io::Result<()> {
        let path = self.folder.join(JOURNAL_FILE_NAME);
        let mut bytes = fs::read(&path)?;
        bytes.truncate(self.length as usize);
        let mut records = Vec::new();
        let mut end = 0;
        while let ParsedRecord::Valid { record, end: next } = read_record(&bytes, end) {
            records.push(*record);
            end = next;
        }
        records.extend(added.iter().cloned());
        let mut rewritten = Vec::new();
        for record in compact_records(records) {
            write_record(&mut rewritten, &record)?;
        }
        let new_path = self.folder.join(REWRITTEN_FILE_NAME);
        let mut file =
            open_private(OpenOptions::new().create(true).write(true).truncate(true), &new_path)?;
        file.write_all(&rewritten)?;
        file.sync_all()?;
        let file = OpenOptions::new().append(true).open(&new_path)?;
        fs::rename(&new_path, &path)?;
        self.file = file;
        self.length = rewritten.len() as u64;
        sync_folder(&self.folder)
    }
}

/// Opens a file that only its owner may read, also if an earlier release created it
/// with another mode.
fn open_private(options: &mut OpenOptions, path: &Path) -> io::Result<File> {
    let file = options.mode(JOURNAL_MODE).open(path)?;
    file.set_permissions(Permissions::from_mode(JOURNAL_MODE))?;
    Ok(file)
}

/// Keeps the newest hard state, and the snapshot and the entries that replaying the records
/// gives. An entry that another leader's snapshot or entry has replaced must not come back:
/// it has an older term, so that the host would vote for leaders that lack what is committed.
fn compact_records(records: Vec<JournalRecord>) -> Vec<JournalRecord> {
    let mut hard = None;
    let mut log = EntryLog::new(StateSnapshot::initial(BTreeSet::new()));
    for record in records {
        match record {
            JournalRecord::Hard(state) => hard = Some(state),
            JournalRecord::Entry(entry) => log.append(entry),
            JournalRecord::Snapshot(snapshot) => log.install(*snapshot),
        }
    }
    let snapshot = log.snapshot().clone();
    let entries = log.entries_from(snapshot.index + 1, usize::MAX, usize::MAX);
    let has_snapshot = snapshot.index > 0;
    hard.map(JournalRecord::Hard)
        .into_iter()
        .chain(has_snapshot.then(|| JournalRecord::Snapshot(Box::new(snapshot))))
        .chain(entries.into_iter().map(JournalRecord::Entry))
        .collect()
}

fn write_record(bytes: &mut Vec<u8>, record: &JournalRecord) -> io::Result<()> {
    let mut body = Vec::new();
    ciborium::into_writer(record, &mut body).map_err(io::Error::other)?;
    bytes.extend_from_slice(&RECORD_MAGIC);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

fn read_record(bytes: &[u8], start: usize) -> ParsedRecord {
    let Some(header) = bytes.get(start..start + HEADER_BYTES) else {
        return ParsedRecord::Invalid;
    };
    let read_u32 = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let length = read_u32(4) as usize;
    if header[..4] != RECORD_MAGIC || length > MAX_BODY_BYTES {
        return ParsedRecord::Invalid;
    }
    let end = start + HEADER_BYTES + length;
    let Some(body) = bytes.get(start + HEADER_BYTES..end) else {
        return ParsedRecord::Invalid;
    };
    if crc32fast::hash(body) != read_u32(8) {
        return ParsedRecord::Invalid;
    }
    match ciborium::from_reader(body) {
        Ok(record) => ParsedRecord::Valid { record: Box::new(record), end },
        Err(_) => ParsedRecord::Invalid,
    }
}

/// True if a valid record begins anywhere after the invalid one at `start`.
fn has_valid_record_after(bytes: &[u8], start: usize) -> bool {
    (start + 1..bytes.len().saturating_sub(HEADER_BYTES))
        .filter(|at| bytes[*at..].starts_with(&RECORD_MAGIC))
        .any(|at| matches!(read_record(bytes, at), ParsedRecord::Valid { .. }))
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
