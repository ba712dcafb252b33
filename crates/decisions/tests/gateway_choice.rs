//! Choice of the gateway for a statement: slow gateways, gateways without a free
//! connection and unreachable ones.

use std::time::Duration;

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{BusyGatewayStep, GatewayAttempts, GatewayLoad, choose_gateway},
};

const NOW: Moment = Moment::from_millis(10_000);

fn answered(times_ms: &[u64]) -> GatewayLoad {
    let mut load = GatewayLoad::default();
    times_ms.iter().for_each(|ms| load.record_answer(Duration::from_millis(*ms)));
    load
}

#[test]
fn preferred_gateway_is_kept_while_it_is_as_fast() {
    let gateways = [answered(&[12; 9]), answered(&[10; 9]), answered(&[1; 9])];
    assert_eq!(choose_gateway(&gateways, NOW), Some(0));
}

#[test]
fn slow_gateway_is_replaced_by_the_next() {
    let gateways = [answered(&[60; 9]), answered(&[10; 9])];
    assert_eq!(choose_gateway(&gateways, NOW), Some(1));
}

#[test]
fn slow_gateway_is_tried_again() {
    let mut gateways = [answered(&[60; 9]), answered(&[30; 9])];
    assert_eq!(choose_gateway(&gateways, NOW), Some(1));
    for _ in 0..10 {
        gateways[0].decay();
        gateways[1].record_answer(Duration::from_millis(30));
    }
    assert_eq!(choose_gateway(&gateways, NOW), Some(0));
}

#[test]
fn gateway_without_a_free_connection_is_used_last() {
    let mut gateways = [GatewayLoad::default(); 3];
    gateways[0].record_no_connection(NOW);
    assert_eq!(choose_gateway(&gateways, NOW), Some(1));
    assert_eq!(choose_gateway(&gateways, NOW + Duration::from_secs(1)), Some(0));
    gateways.iter_mut().for_each(|gateway| gateway.record_no_connection(NOW));
    assert_eq!(choose_gateway(&gateways, NOW), Some(0));
}

#[test]
fn unreachable_gateway_is_skipped() {
    let mut gateways = [GatewayLoad::default(); 3];
    gateways[0].avoid_until(NOW + Duration::from_secs(1));
    gateways[1].record_no_connection(NOW);
    gateways[2].record_no_connection(NOW);
    assert_eq!(choose_gateway(&gateways, NOW), Some(1));
    gateways.iter_mut().for_each(|gateway| gateway.avoid_until(NOW + Duration::from_secs(1)));
    assert_eq!(choose_gateway(&gateways, NOW), Some(0));
    assert_eq!(choose_gateway(&[], NOW), None);
}

/// Guards against statements of an overloaded service that go from gateway to gateway
/// until their time is over, and against giving up before a second gateway was asked.
#[test]
fn second_busy_gateway_ends_the_attempts() {
    let mut attempts = GatewayAttempts::default();
    assert_eq!(attempts.record_busy(), BusyGatewayStep::TryAnother);
    assert!(attempts.may_use_gateway());
    assert_eq!(attempts.record_busy(), BusyGatewayStep::Refuse);
}

/// Guards against gateways that fail in turn and keep a statement from the databases that
/// its own host can use.
#[test]
fn failing_gateways_are_given_up() {
    let mut attempts = GatewayAttempts::default();
    attempts.record_busy();
    assert!(attempts.is_empty());
    (0..3).for_each(|_| attempts.record_failure());
    assert!(!attempts.may_use_gateway() && !attempts.is_empty());
}

/// Guards against statements that wait at a gateway to which the host has no free link, or
/// which does not answer, while another one is free.
#[test]
fn gateway_without_a_link_is_left() {
    let mut stuck = answered(&[5; 9]);
    stuck.record_no_connection(NOW);
    let gateways = [stuck, answered(&[10; 9])];
    assert_eq!(choose_gateway(&gateways, NOW), Some(1));
    assert_eq!(choose_gateway(&gateways, NOW + Duration::from_millis(150)), Some(0));
}
