//! The journal after cuts, damage and rewriting.

use std::path::PathBuf;

use hawthornstack_daemon::journal::JournalFile;
use hawthornstack_decisions::{
    agreement::{EntryPayload, HardState, JournalRecord, LogEntry, StateSnapshot},
    control_state::{ControlCommand, ControlState},
    identity::HostId,
};

struct Folder(PathBuf);

impl Folder {
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

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64) -> JournalRecord {
    let payload = EntryPayload::Command(ControlCommand::HostLeft(HostId(index as u32)));
    JournalRecord::Entry(LogEntry { index, term: 1, payload })
}

fn records() -> Vec<JournalRecord> {
    let hard = HardState { term: 3, voted_for: Some(HostId(2)), eligible: true, incarnation: 9 };
    vec![JournalRecord::Hard(hard), entry(1), entry(2), entry(3)]
}

fn written(folder: &Folder) -> Vec<u8> {
    let (mut file, found) = JournalFile::open(&folder.0).unwrap();
    assert!(found.is_empty());
    for record in records() {
        file.append(&[record]).unwrap();
    }
    std::fs::read(folder.file()).unwrap()
}

#[test]
fn cut_anywhere() {
    let folder = Folder::new("cut");
    let whole = written(&folder);
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

#[test]
fn damage_in_the_middle() {
    let folder = Folder::new("damage");
    let whole = written(&folder);
    let last = whole.windows(4).rposition(|at| at == b"HSJ1").unwrap();
    for place in 0..last {
        let mut damaged = whole.clone();
        damaged[place] ^= 0x40;
        std::fs::write(folder.file(), &damaged).unwrap();
        let error = JournalFile::open(&folder.0).unwrap_err().to_string();
        assert!(error.contains("601"), "byte {place}: {error}");
    }
}

#[test]
fn snapshot_replaces_beginning() {
    let folder = Folder::new("snapshot");
    let before = written(&folder).len();
    let (mut file, _) = JournalFile::open(&folder.0).unwrap();
    let snapshot = StateSnapshot {
        index: 2,
        term: 1,
        voters: [HostId(1), HostId(2), HostId(3)].into(),
        state: ControlState::default(),
    };
    let snapshot = JournalRecord::Snapshot(Box::new(snapshot));
    file.append(std::slice::from_ref(&snapshot)).unwrap();
    file.append(&[entry(4)]).unwrap();
    drop(file);
    let (_, found) = JournalFile::open(&folder.0).unwrap();
    assert_eq!(found, vec![records()[0].clone(), snapshot, entry(3), entry(4)]);
    assert_ne!(std::fs::read(folder.file()).unwrap().len(), before);
}
