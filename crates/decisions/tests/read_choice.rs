//! Which database a read goes to.

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

/// A primary at 10 and two replicas, one level and one behind.
fn views() -> Vec<DatabaseView> {
    vec![
        view("primary", DatabaseRole::Primary, 10),
        view("level", DatabaseRole::Replica, 10),
        view("behind", DatabaseRole::Replica, 6),
    ]
}

struct Ask {
    kind: RequestKind,
    mark: Option<LogPosition>,
    crowded: bool,
    samples: PrimarySamples,
}

impl Ask {
    fn new(kind: RequestKind, mark: Option<u64>) -> Self {
        let mut samples = PrimarySamples::default();
        samples.record(Moment::from_millis(9_000), LogPosition::new(1, 6));
        samples.record(Moment::from_millis(9_900), LogPosition::new(1, 10));
        let mark = mark.map(|offset| LogPosition::new(1, offset));
        Self { kind, mark, crowded: false, samples }
    }

    fn choose(&self, views: &[DatabaseView]) -> Option<String> {
        let primary = DatabaseName::new("primary").unwrap();
        let data_centre = DataCentre::new("tx-1").unwrap();
        let query = RouteQuery {
            now: NOW,
            kind: self.kind,
            offload_to_primary: self.crowded,
            transaction: false,
            position: self.mark,
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
    assert_eq!(Ask::new(RequestKind::Write, Some(0)).choose(&views()).as_deref(), Some("primary"));
}

#[test]
fn marks_are_held() {
    let read = |mark| Ask::new(RequestKind::SessionRead, mark).choose(&views());
    assert_eq!(read(Some(8)).as_deref(), Some("level"));
    assert_eq!(read(Some(11)).as_deref(), Some("primary"), "no replica holds entry 11");
    assert_eq!(read(None).as_deref(), Some("primary"), "an unknown mark goes to the primary");
}

#[test]
fn stated_age() {
    let behind =
        [view("primary", DatabaseRole::Primary, 10), view("behind", DatabaseRole::Replica, 6)];
    let read = |millis| {
        let kind = RequestKind::BoundedStaleness(Duration::from_millis(millis));
        Ask::new(kind, Some(0)).choose(&behind)
    };
    assert_eq!(read(1_100).as_deref(), Some("behind"), "it is 1 s old");
    assert_eq!(read(900).as_deref(), Some("primary"));
}

#[test]
fn busy_replicas() {
    let mut busy = views();
    for view in &mut busy[1..] {
        view.pending_statements = 2;
        view.in_use = 2;
    }
    let mut ask = Ask::new(RequestKind::SessionRead, Some(8));
    assert_eq!(ask.choose(&busy), None, "it waits for the replica");
    ask.crowded = true;
    assert_eq!(ask.choose(&busy).as_deref(), Some("primary"), "the primary helps out");
    busy[0].pending_statements = 1;
    assert_eq!(ask.choose(&busy), None, "the rest of the primary is for writes");
}

#[test]
fn ejected_and_draining() {
    let mut few = views();
    for _ in 0..3 {
        few[1].record_failure(NOW);
    }
    let ask = Ask::new(RequestKind::SessionRead, Some(6));
    assert_eq!(ask.choose(&few).as_deref(), Some("behind"), "one that kept failing is left out");
    few[2].record.standing = MemberStanding::Draining;
    assert_ne!(ask.choose(&few).as_deref(), Some("behind"), "a draining one gets no new work");
}
