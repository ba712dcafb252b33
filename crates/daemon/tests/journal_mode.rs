//! Guards against a journal that other users of the machine can read: it holds the keys
//! of callers.

use std::{
    fs::{self, Permissions},
    os::unix::fs::PermissionsExt,
    path::Path,
};

use hawthornstack_daemon::journal::JournalFile;
use hawthornstack_decisions::{
    agreement::{JournalRecord, StateSnapshot},
    control_state::ControlState,
};

fn mode(path: &Path) -> u32 {
    fs::metadata(path).expect("a file").permissions().mode() & 0o777
}

#[test]
fn journal_is_private() {
    let name = format!("journal-mode-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    let path = folder.join("journal");
    drop(JournalFile::open(&folder).expect("a new journal"));
    assert_eq!(mode(&path), 0o600);
    // As earlier releases left it.
    fs::set_permissions(&path, Permissions::from_mode(0o644)).expect("changed");
    fs::write(folder.join("journal.new"), "").expect("written");
    let (mut journal, _) = JournalFile::open(&folder).expect("the journal");
    assert_eq!(mode(&path), 0o600);
    let snapshot =
        StateSnapshot { index: 1, term: 1, voters: [].into(), state: ControlState::default() };
    journal.append(&[JournalRecord::Snapshot(Box::new(snapshot))]).expect("rewritten");
    assert_eq!(mode(&path), 0o600);
    fs::remove_dir_all(&folder).expect("removed");
}
