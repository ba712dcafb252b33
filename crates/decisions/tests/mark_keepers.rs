//! Which marks outlive a change of the set of hosts.

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

    /// A mark is kept exactly if the session's keepers stay the same.
    #[test]
    fn kept_if_unmoved(
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
            let mark = stored(*session);
            let keepers = session_position_hosts(&mark.session, before.iter().copied());
            store.raise(mark, &keepers);
        }
        store.remove_moved(HostId(changed));
        for session in &sessions {
            let mark = stored(*session);
            let same = session_position_hosts(&mark.session, before.iter().copied())
                == session_position_hosts(&mark.session, after.iter().copied());
            prop_assert_eq!(store.find(&mark.session, &mark.group).is_some(), same);
        }
    }
}
