//! Which home a statement is sent through: few connections, busy homes, hosts
//! that are gone.

use std::time::Duration;

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{GatewayLoad, choose_gateway},
};

const NOW: Moment = Moment::from_millis(10_000);

fn answered(times_ms: &[u64]) -> GatewayLoad {
    let mut load = GatewayLoad::default();
    times_ms.iter().for_each(|ms| load.record_answer(Duration::from_millis(*ms)));
    load
}

#[test]
fn preferred_home_is_kept_while_it_is_as_fast() {
    let homes = [answered(&[12; 9]), answered(&[10; 9]), answered(&[1; 9])];
    assert_eq!(choose_gateway(&homes, NOW), Some(0));
}

#[test]
fn slow_home_leaves_its_work_to_the_next() {
    let homes = [answered(&[60; 9]), answered(&[10; 9])];
    assert_eq!(choose_gateway(&homes, NOW), Some(1));
}

#[test]
fn slow_home_is_tried_again() {
    let mut homes = [answered(&[60; 9]), answered(&[30; 9])];
    assert_eq!(choose_gateway(&homes, NOW), Some(1));
    for _ in 0..10 {
        homes[0].decay();
        homes[1].record_answer(Duration::from_millis(30));
    }
    assert_eq!(choose_gateway(&homes, NOW), Some(0));
}

#[test]
fn home_without_a_free_connection_is_asked_last() {
    let mut homes = [GatewayLoad::default(); 3];
    homes[0].record_no_connection(NOW);
    assert_eq!(choose_gateway(&homes, NOW), Some(1));
    assert_eq!(choose_gateway(&homes, NOW + Duration::from_secs(1)), Some(0));
    homes.iter_mut().for_each(|home| home.record_no_connection(NOW));
    assert_eq!(choose_gateway(&homes, NOW), Some(0));
}

#[test]
fn unreachable_home_is_passed_over() {
    let mut homes = [GatewayLoad::default(); 3];
    homes[0].avoid_until(NOW + Duration::from_secs(1));
    homes[1].record_no_connection(NOW);
    homes[2].record_no_connection(NOW);
    assert_eq!(choose_gateway(&homes, NOW), Some(1));
    homes.iter_mut().for_each(|home| home.avoid_until(NOW + Duration::from_secs(1)));
    assert_eq!(choose_gateway(&homes, NOW), Some(0));
    assert_eq!(choose_gateway(&[], NOW), None);
}
