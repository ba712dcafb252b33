//! Frames of builds that lack newer fields, as in a release that replaces hosts in turn.

use hawthornstack_decisions::control_role::{EntryReport, EntryUpdate, LinkFrame};
use serde_json::json;

/// Guards against links that close between an older and a newer host, and against a host
/// that is sent changes to a state which it did not report.
#[test]
fn older_frames_are_read() {
    let report =
        json!({ "Renew": { "sent_at": 900, "applied": 12, "routes_version": 9, "leaving": true } });
    let report: EntryReport = serde_json::from_value(report).expect("a report");
    assert!(matches!(
        report,
        EntryReport::Renew { received: None, follows: None, applied: 12, .. }
    ));
    let update = json!({ "State": { "index": 12, "routes": null, "terms": [] } });
    let update: EntryUpdate = serde_json::from_value(update).expect("an update");
    assert!(matches!(update, EntryUpdate::State { since: 0, index: 12, packed_terms: None, .. }));
    let hello = json!({ "Hello": { "role": "Entry", "host": 4 } });
    let hello: LinkFrame = serde_json::from_value(hello).expect("a frame");
    assert!(matches!(hello, LinkFrame::Hello { unpacks_records: false, .. }));
}
