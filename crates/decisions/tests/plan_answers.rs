//! When operators are answered, on the only voter of a deployment.

mod host_settings;

use std::time::Duration;

use hawthornstack_decisions::{
    clock::Moment,
    control_state::Intent,
    identity::HostId,
    pg_host::{HostEffect, HostEvent, HostState, OperatorAnswer, OperatorQuestion},
};
use host_settings::settings;

const TICK: Duration = Duration::from_millis(10);

/// Events for the next step: all records of these effects are synced.
fn synced(effects: &[HostEffect]) -> Vec<HostEvent> {
    let persisted = effects.iter().filter_map(|effect| match effect {
        HostEffect::Persist { number, .. } => Some(HostEvent::Persisted(*number)),
        _ => None,
    });
    persisted.collect()
}

fn answer(effects: &[HostEffect]) -> Option<&OperatorAnswer> {
    effects.iter().find_map(|effect| match effect {
        HostEffect::Answer { answer, .. } => Some(answer),
        _ => None,
    })
}

/// A host that leads and has joined the deployment, and the time.
fn leader() -> (HostState, Moment) {
    let mut now = Moment::from_millis(1_000);
    let mut host = HostState::new(settings(), Vec::new(), now);
    for _ in 0..200 {
        now = now + TICK;
        let mut events = vec![HostEvent::Tick];
        while let Some(event) = events.pop() {
            events.extend(synced(&host.step(now, event)));
        }
    }
    assert!(host.is_current_leader(now));
    (host, now)
}

/// A plan that is answered before it is committed is unknown after a change of leader, and its
/// confirmation fails for every repeat.
#[test]
fn plan_is_answered_only_once_it_is_committed() {
    let (mut host, now) = leader();
    let question = || OperatorQuestion::Plan(Intent::DrainHost(HostId(1)));
    let effects = host.step(now, HostEvent::OperatorAsked { ticket: 1, question: question() });
    assert_eq!(answer(&effects), None);
    let mut events = synced(&effects);
    assert_eq!(events.len(), 1);
    let effects = host.step(now, events.remove(0));
    let Some(OperatorAnswer::Plan(Ok(plan))) = answer(&effects) else {
        panic!("no plan: {effects:?}");
    };
    assert!(host.control().plans.contains_key(&plan.id));
    // A repeat gets the same plan without a wait.
    let effects = host.step(now, HostEvent::OperatorAsked { ticket: 2, question: question() });
    assert_eq!(answer(&effects), Some(&OperatorAnswer::Plan(Ok(plan.clone()))));
}

/// A question that cannot be answered, since its plan is not committed in time, must end.
#[test]
fn plan_that_is_not_committed_is_not_answered_as_made() {
    let (mut host, mut now) = leader();
    let question = OperatorQuestion::Plan(Intent::DrainHost(HostId(1)));
    host.step(now, HostEvent::OperatorAsked { ticket: 1, question });
    let mut last = None;
    for _ in 0..1_000 {
        now = now + TICK;
        let effects = host.step(now, HostEvent::Tick);
        last = answer(&effects).cloned().or(last);
    }
    assert!(matches!(last, Some(OperatorAnswer::NotCurrent(_))), "{last:?}");
}
