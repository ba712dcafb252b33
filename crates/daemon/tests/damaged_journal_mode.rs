//! Guards against a damaged journal of an earlier release that stays readable by other
//! users after it was moved aside: it holds the keys of callers.

use std::{
    fs::{self, Permissions},
    os::unix::fs::PermissionsExt,
    path::Path,
};

use hawthornstack_daemon::journal::JournalFile;
use hawthornstack_decisions::{
    agreement::{EntryPayload, JournalRecord, LogEntry},
    control_state::ControlCommand,
    identity::HostId,
};

fn entry(index: u64) -> JournalRecord {
    let payload = EntryPayload::Command(ControlCommand::HostLeft(HostId(index as u32)));
    JournalRecord::Entry(LogEntry { index, term: 1, payload })
}

#[test]
fn damaged_journal_is_private() {
    let name = format!("damaged-mode-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    let path = folder.join("journal");
    let (mut journal, _) = JournalFile::open(&folder).expect("a new journal");
    journal.append(&[entry(1), entry(2)]).expect("written");
    drop(journal);
    let mut bytes = fs::read(&path).expect("read");
    bytes[20] ^= 0xff;
    fs::write(&path, bytes).expect("written");
    fs::set_permissions(&path, Permissions::from_mode(0o644)).expect("changed");
    assert!(JournalFile::open(&folder).is_err(), "the damage was not noticed");
    let mode = fs::metadata(&path).expect("a file").permissions().mode() & 0o777;
    fs::remove_dir_all(&folder).expect("removed");
    assert_eq!(mode, 0o600);
}
