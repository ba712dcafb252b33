//! Opens the journal after a truncation, a damaged byte and a rewrite.

use std::path::PathBuf;

use hawthornstack_daemon::journal::JournalFile;
use hawthornstack_decisions::{
    agreement::{EntryPayload, HardState, JournalRecord, LogEntry, StateSnapshot},
    control_state::{ControlCommand, ControlState},
    identity::HostId,
};

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("hawthornstack-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        Self(folder)
    }

    fn file(&self) -> PathBuf {
        self.0.join("journal")
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64) -> JournalRecord {
    let payload = EntryPayload::Command(ControlCommand::HostLeft(HostId(index as u32)));
    JournalRecord::Entry(LogEntry { index, term: 1, payload })
}

fn snapshot(index: u64, term: u64) -> JournalRecord {
    let voters = [HostId(1), HostId(2), HostId(3)].into();
    let state = ControlState::default();
    JournalRecord::Snapshot(Box::new(StateSnapshot { index, term, voters, state }))
}

fn records() -> Vec<JournalRecord> {
    let hard = HardState {
        term: 3,
        voted_for: Some(HostId(2)),
        eligible: true,
        incarnation: 9,
        committed_voters: 4,
    };
    vec![JournalRecord::Hard(hard), entry(1), entry(2), entry(3)]
}

fn write_journal(folder: &TempFolder) -> Vec<u8> {
    let (mut file, found) = JournalFile::open(&folder.0).unwrap();
    assert!(found.is_empty());
    for record in records() {
        file.append(&[record]).unwrap();
    }
    std::fs::read(folder.file()).unwrap()
}

/// A crash during a write can cut the file off at any byte: all records before
/// the cut must be read, and appended records must be readable after them.
#[test]
fn truncation_at_any_byte() {
    let folder = TempFolder::new("cut");
    let whole = write_journal(&folder);
    let mut most = 0;
    for length in 0..=whole.len() {
        std::fs::write(folder.file(), &whole[..length]).unwrap();
        let (mut file, found) = JournalFile::open(&folder.0).unwrap();
        assert_eq!(found, records()[..found.len()], "cut at {length}");
        assert!(found.len() >= most, "a longer file holds no fewer records");
        most = found.len();
        file.append(&[entry(7)]).unwrap();
        drop(file);
        let (_, again) = JournalFile::open(&folder.0).unwrap();
        assert_eq!(again.last(), Some(&entry(7)), "cut at {length}, then appended");
        assert_eq!(again.len(), found.len() + 1);
    }
    assert_eq!(most, records().len());
}

/// A failed write can leave a part of a record at the end: a repeated write must not put records
/// after it, since the next start would find the journal damaged and drop it.
#[test]
fn repeated_write_replaces_an_incomplete_record() {
    let folder = TempFolder::new("repeated");
    let whole = write_journal(&folder);
    let incomplete = &whole[..whole.len() / records().len()];
    let (mut file, _) = JournalFile::open(&folder.0).unwrap();
    for index in 4..6 {
        let mut bytes = std::fs::read(folder.file()).unwrap();
        bytes.extend_from_slice(&incomplete[..incomplete.len() / 2]);
        std::fs::write(folder.file(), &bytes).unwrap();
        file.append(&[entry(index)]).unwrap();
    }
    drop(file);
    let (_, found) = JournalFile::open(&folder.0).unwrap();
    assert_eq!(found, [records(), vec![entry(4), entry(5)]].concat());
}

/// A damaged byte before the last record must be reported. If it were treated
/// like a truncation, synced records after it would be lost.
#[test]
fn damage_before_last_record() {
    let folder = TempFolder::new("damage");
    let whole = write_journal(&folder);
    let last = whole.windows(4).rposition(|at| at == b"HSJ1").unwrap();
    for offset in 0..last {
        let mut damaged = whole.clone();
        damaged[offset] ^= 0x40;
        std::fs::write(folder.file(), &damaged).unwrap();
        let error = JournalFile::open(&folder.0).unwrap_err().to_string();
        assert!(error.contains("601"), "byte {offset}: {error}");
    }
}

/// Appending a snapshot rewrites the file: entries up to the snapshot's index are
/// dropped, the hard state and later entries stay.
#[test]
fn snapshot_replaces_beginning() {
    let folder = TempFolder::new("snapshot");
    let before = write_journal(&folder).len();
    let (mut file, _) = JournalFile::open(&folder.0).unwrap();
    let snapshot = snapshot(2, 1);
    file.append(std::slice::from_ref(&snapshot)).unwrap();
    file.append(&[entry(4)]).unwrap();
    drop(file);
    let (_, found) = JournalFile::open(&folder.0).unwrap();
    assert_eq!(found, vec![records()[0].clone(), snapshot, entry(3), entry(4)]);
    assert_ne!(std::fs::read(folder.file()).unwrap().len(), before);
}

/// Entries that another leader's snapshot has replaced came back with the next start. With their
/// old term at the end of its log the host would vote for a leader that lacks committed entries.
#[test]
fn replaced_entries_stay_away() {
    for (replacing, expected) in [
        // Of another log: nothing after it is left.
        (snapshot(2, 2), vec![snapshot(2, 2)]),
        (snapshot(9, 2), vec![snapshot(9, 2)]),
        // Of the same log.
        (snapshot(2, 1), vec![snapshot(2, 1), entry(3)]),
        (snapshot(3, 1), vec![snapshot(3, 1)]),
    ] {
        let folder = TempFolder::new("replaced");
        write_journal(&folder);
        let (mut file, _) = JournalFile::open(&folder.0).unwrap();
        file.append(&[replacing]).unwrap();
        drop(file);
        let (mut file, found) = JournalFile::open(&folder.0).unwrap();
        assert_eq!(found, [&records()[..1], &expected].concat());
        // The same snapshot again, as after a crash before its answer, changes nothing.
        file.append(&expected[..1]).unwrap();
        let (_, again) = JournalFile::open(&folder.0).unwrap();
        assert_eq!(again, found);
    }
}

/// An entry replaces those at and after its index, also in the rewritten file.
#[test]
fn overwritten_entries_stay_away() {
    let folder = TempFolder::new("overwritten");
    write_journal(&folder);
    let (mut file, _) = JournalFile::open(&folder.0).unwrap();
    file.append(&[entry(2), snapshot(1, 1)]).unwrap();
    drop(file);
    let (_, found) = JournalFile::open(&folder.0).unwrap();
    assert_eq!(found, [&records()[..1], &[snapshot(1, 1), entry(2)]].concat());
}
