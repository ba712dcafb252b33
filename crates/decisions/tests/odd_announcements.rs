//! Announcements of other writers to a host of `hawthornstackd`.

mod host_settings;

use hawthornstack_decisions::{
    clock::Moment,
    directory::{Announcement, DatabaseRole},
    identity::{DataCentre, DatabaseName, GroupName, HostId},
    outcomes::ResultCode,
    pg_host::{HostEffect, HostEvent, HostState, PeerMessage},
};
use host_settings::settings;

fn announcement() -> Announcement {
    Announcement {
        database: DatabaseName::new("books-1").expect("a name"),
        group: GroupName::new("books").expect("a name"),
        address: ([10, 0, 0, 9], 5_432).into(),
        data_centre: DataCentre::new("tx-1").expect("a name"),
        connections: 16,
        slots: 2,
        role: DatabaseRole::Primary,
        term: 1,
        leaving: false,
    }
}

fn refused(effects: &[HostEffect]) -> bool {
    effects.iter().any(|effect| {
        matches!(
            effect,
            HostEffect::AnnouncementRefused { result: ResultCode::UnusableAnnouncement, .. }
        )
    })
}

/// An entry with numbers or an address that no database has must not become the primary of a
/// group that is formed: its term could not be counted on, also after a restart.
#[test]
fn announcements_that_name_no_database_are_refused() {
    let odd = |change: fn(&mut Announcement)| {
        let mut odd = announcement();
        change(&mut odd);
        odd
    };
    let entries = [
        odd(|entry| entry.address.set_port(0)),
        odd(|entry| entry.address.set_ip([0, 0, 0, 0].into())),
        odd(|entry| entry.address.set_ip([224, 0, 0, 1].into())),
        odd(|entry| entry.connections = 0),
        odd(|entry| entry.slots = 0),
        odd(|entry| entry.term = u64::MAX),
    ];
    let now = Moment::from_millis(1_000);
    let mut host = HostState::new(settings(), Vec::new(), now);
    assert!(!refused(&host.step(now, HostEvent::Announced(announcement()))));
    for entry in entries {
        assert!(refused(&host.step(now, HostEvent::Announced(entry.clone()))), "{entry:?}");
        let forwarded = PeerMessage::Announced(entry.clone());
        let effects = host.step(now, HostEvent::Peer(HostId(2), forwarded));
        assert!(refused(&effects), "forwarded: {entry:?}");
    }
}
