//! Choice of the database for a read.

use std::{net::SocketAddr, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    control_state::{MemberRecord, MemberStanding},
    directory::{DatabaseRole, DatabaseStatus, DatabaseView, ObservedStatus},
    identity::{DataCentre, DatabaseName},
    positions::{BranchHistory, BranchStart, LogPosition, PrimarySamples},
    requests::RequestKind,
    routing::{DatabaseChoice, RouteQuery, choose_database},
};

const NOW: Moment = Moment::from_millis(10_000);

fn view(name: &str, role: DatabaseRole, offset: u64) -> DatabaseView {
    let record = MemberRecord {
        database: DatabaseName::new(name).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 5_432)),
        data_centre: DataCentre::new("tx-1").unwrap(),
        connections: 16,
        slots: 2,
        standing: MemberStanding::Counting,
    };
    let mut view = DatabaseView::new(record, 4);
    let status = DatabaseStatus {
        role,
        term: 1,
        fenced_below: 0,
        position: LogPosition::new(1, offset),
        history: BranchHistory::new([BranchStart { term: 1, base_offset: 0 }]),
    };
    view.record_report(ObservedStatus { status, sent_at: NOW, received_at: NOW });
    view
}

/// A primary whose log ends at offset 10, and two replicas: one up to date, one behind.
fn views() -> Vec<DatabaseView> {
    vec![
        view("primary", DatabaseRole::Primary, 10),
        view("level", DatabaseRole::Replica, 10),
        view("behind", DatabaseRole::Replica, 6),
    ]
}

struct ReadCase {
    kind: RequestKind,
    position: Option<LogPosition>,
    offload_to_primary: bool,
    samples: PrimarySamples,
}

impl ReadCase {
    fn new(kind: RequestKind, position: Option<u64>) -> Self {
        let mut samples = PrimarySamples::default();
        samples.record(Moment::from_millis(9_000), LogPosition::new(1, 6));
        samples.record(Moment::from_millis(9_900), LogPosition::new(1, 10));
        let position = position.map(|offset| LogPosition::new(1, offset));
        Self { kind, position, offload_to_primary: false, samples }
    }

    fn choose(&self, views: &[DatabaseView]) -> Option<String> {
        let primary = DatabaseName::new("primary").unwrap();
        let data_centre = DataCentre::new("tx-1").unwrap();
        let query = RouteQuery {
            now: NOW,
            kind: self.kind,
            offload_to_primary: self.offload_to_primary,
            transaction: false,
            position: self.position,
            primary: Some(&primary),
            term: 1,
            data_centre: &data_centre,
            samples: &self.samples,
        };
        match choose_database(&query, views.iter()) {
            DatabaseChoice::Use(database) => Some(database.to_string()),
            DatabaseChoice::Wait => None,
        }
    }
}

#[test]
fn writes_at_primary() {
    assert_eq!(
        ReadCase::new(RequestKind::Write, Some(0)).choose(&views()).as_deref(),
        Some("primary")
    );
}

#[test]
fn position_is_held() {
    let read = |position| ReadCase::new(RequestKind::SessionRead, position).choose(&views());
    assert_eq!(read(Some(8)).as_deref(), Some("level"));
    assert_eq!(read(Some(11)).as_deref(), Some("primary"), "no replica holds entry 11");
    assert_eq!(read(None).as_deref(), Some("primary"), "an unknown position goes to the primary");
}

#[test]
fn bounded_staleness() {
    let behind =
        [view("primary", DatabaseRole::Primary, 10), view("behind", DatabaseRole::Replica, 6)];
    let read = |millis| {
        let kind = RequestKind::BoundedStaleness(Duration::from_millis(millis));
        ReadCase::new(kind, Some(0)).choose(&behind)
    };
    assert_eq!(read(1_100).as_deref(), Some("behind"), "its data is 1 s old");
    assert_eq!(read(900).as_deref(), Some("primary"));
}

#[test]
fn busy_replicas() {
    let mut busy = views();
    for view in &mut busy[1..] {
        view.pending_statements = 2;
        view.in_use = 2;
    }
    let mut read = ReadCase::new(RequestKind::SessionRead, Some(8));
    assert_eq!(read.choose(&busy), None, "it waits for a replica");
    read.offload_to_primary = true;
    assert_eq!(read.choose(&busy).as_deref(), Some("primary"), "the primary serves it instead");
    busy[0].pending_statements = 1;
    assert_eq!(read.choose(&busy), None, "the remaining slots of the primary are for writes");
}

#[test]
fn ejected_and_draining() {
    let mut databases = views();
    for _ in 0..3 {
        databases[1].record_failure(NOW);
    }
    let read = ReadCase::new(RequestKind::SessionRead, Some(6));
    assert_eq!(
        read.choose(&databases).as_deref(),
        Some("behind"),
        "a database with consecutive failures is ejected"
    );
    databases[2].record.standing = MemberStanding::Draining;
    assert_ne!(
        read.choose(&databases).as_deref(),
        Some("behind"),
        "a draining database gets no new requests"
    );
}
