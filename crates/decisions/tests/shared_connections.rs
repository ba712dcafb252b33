//! Sessions of many callers on shared connections: each statement sees exactly the
//! values and prepared statements of its own session.

use std::{collections::BTreeMap, sync::Arc};

use hawthornstack_decisions::entry_role::{
    ConnectionState, PreparedStatement, RestoreStep, SessionState,
};
use proptest::prelude::*;

/// A simulated connection to a database that applies the restore steps.
#[derive(Default)]
struct FakeConnection {
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: BTreeMap<Arc<str>, PreparedStatement>,
}

impl FakeConnection {
    fn apply(&mut self, steps: &[RestoreStep]) {
        for step in steps {
            match step {
                RestoreStep::Reset => *self = Self::default(),
                RestoreStep::SetValue { name, value } => {
                    self.values.insert(name.clone(), value.clone());
                }
                RestoreStep::Prepare { name, prepared } => {
                    self.prepared.insert(name.clone(), prepared.clone());
                }
            }
        }
    }
}

fn session(values: &[(u8, u8)]) -> SessionState {
    let text = |number: u8| Arc::from(number.to_string());
    let values = values.iter().map(|(name, value)| (text(*name), text(*value))).collect();
    SessionState { values, ..SessionState::default() }
}

fn prepared_statement(number: u8) -> PreparedStatement {
    PreparedStatement { writes: number.is_multiple_of(2), shape: Arc::from(format!("q{number}")) }
}

#[test]
fn same_session_needs_no_restore() {
    let mut connection = ConnectionState::default();
    let session = session(&[(1, 1), (2, 2)]);
    assert_eq!(connection.restore_values(&session).len(), 2);
    assert_eq!(connection.restore_values(&session), Vec::new());
}

#[test]
fn value_of_another_session_is_cleared() {
    let mut connection = ConnectionState::default();
    connection.restore_values(&session(&[(1, 1)]));
    let steps = connection.restore_values(&session(&[(2, 2)]));
    assert_eq!(steps.first(), Some(&RestoreStep::Reset));
}

proptest! {
    #[test]
    fn every_statement_sees_its_session(
        sessions in prop::collection::vec(
            prop::collection::btree_map(0u8..4, 0u8..3, 0..4), 1..4),
        uses in prop::collection::vec((0usize..4, prop::option::of(0u8..6)), 1..60),
    ) {
        let sessions: Vec<SessionState> = sessions
            .into_iter()
            .map(|values| session(&values.into_iter().collect::<Vec<_>>()))
            .collect();
        let mut state = ConnectionState::default();
        let mut connection = FakeConnection::default();
        for (index, prepared) in uses {
            let session = &sessions[index % sessions.len()];
            connection.apply(&state.restore_values(session));
            prop_assert_eq!(&connection.values, &session.values);
            if let Some(number) = prepared {
                let (name, step) = state.prepared_name(&prepared_statement(number));
                connection.apply(&step.into_iter().collect::<Vec<_>>());
                prop_assert_eq!(connection.prepared.get(&name), Some(&prepared_statement(number)));
            }
        }
    }
}
