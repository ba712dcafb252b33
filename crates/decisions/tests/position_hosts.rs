//! Which stored positions are kept when a host joins or leaves.

use std::collections::BTreeSet;

use hawthornstack_decisions::{
    identity::{GroupName, HostId, SessionId},
    positions::LogPosition,
    sessions::{PositionStore, StoredPosition, session_position_hosts},
};
use proptest::{prelude::*, test_runner::RngSeed};

fn stored(session: u32) -> StoredPosition {
    StoredPosition {
        session: SessionId::new(&format!("s{session}")).unwrap(),
        group: GroupName::new("shiftbook.1").unwrap(),
        position: LogPosition::new(1, 7),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// A position is kept exactly if the session's position hosts stay the same.
    #[test]
    fn kept_if_position_hosts_unchanged(
        hosts in prop::collection::btree_set(0_u32..40, 3..12),
        changed in 0_u32..40,
        sessions in prop::collection::btree_set(0_u32..1_000, 1..40),
    ) {
        let before: BTreeSet<HostId> = hosts.into_iter().map(HostId).collect();
        let mut after = before.clone();
        if !after.remove(&HostId(changed)) {
            after.insert(HostId(changed));
        }
        let mut store = PositionStore::default();
        for session in &sessions {
            let position = stored(*session);
            let position_hosts = session_position_hosts(&position.session, before.iter().copied());
            store.raise(position, &position_hosts);
        }
        store.remove_moved(HostId(changed));
        for session in &sessions {
            let position = stored(*session);
            let same = session_position_hosts(&position.session, before.iter().copied())
                == session_position_hosts(&position.session, after.iter().copied());
            prop_assert_eq!(store.find(&position.session, &position.group).is_some(), same);
        }
    }
}
