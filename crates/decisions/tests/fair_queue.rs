//! Callers share a queue evenly, regardless of how many requests each has.

use std::{collections::BTreeMap, sync::Arc};

use hawthornstack_decisions::{identity::RequestId, requests::FairQueue};
use proptest::{prelude::*, test_runner::RngSeed};

fn serve_next(queue: &mut FairQueue, owners: &BTreeMap<u64, Arc<str>>) -> Option<Arc<str>> {
    let next = *queue.peek_next(1).first()?;
    let owner = owners[&next.0].clone();
    queue.dequeue(&owner, next);
    Some(owner)
}

#[test]
fn few_before_many() {
    let mut queue = FairQueue::default();
    let (many, few): (Arc<str>, Arc<str>) = (Arc::from("many"), Arc::from("few"));
    let mut owners = BTreeMap::new();
    for number in 0..100 {
        queue.push(&many, RequestId(number));
        owners.insert(number, many.clone());
    }
    queue.push(&few, RequestId(100));
    owners.insert(100, few.clone());
    let served: Vec<Arc<str>> = (0..2).filter_map(|_| serve_next(&mut queue, &owners)).collect();
    assert!(served.contains(&few), "served first: {served:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// While every lane has requests, no caller is served more than one request more
    /// than another; no request is lost or served twice.
    #[test]
    fn even_turns(lengths in prop::collection::vec(1_usize..30, 2..6)) {
        let mut queue = FairQueue::default();
        let mut owners = BTreeMap::new();
        let mut number = 0;
        for (caller, length) in lengths.iter().enumerate() {
            let name: Arc<str> = Arc::from(format!("caller-{caller}"));
            for _ in 0..*length {
                queue.push(&name, RequestId(number));
                owners.insert(number, name.clone());
                number += 1;
            }
        }
        let shortest = *lengths.iter().min().unwrap();
        let mut served: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for round in 0..number {
            prop_assert_eq!(queue.len() as u64, number - round);
            let owner = serve_next(&mut queue, &owners).unwrap();
            *served.entry(owner).or_default() += 1;
            let most = served.values().max().unwrap();
            if *most <= shortest && served.len() == lengths.len() {
                prop_assert!(most - served.values().min().unwrap() <= 1, "{:?}", served);
            }
        }
        prop_assert!(queue.is_empty());
    }
}
