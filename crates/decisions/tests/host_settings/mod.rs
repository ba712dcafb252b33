//! Settings of the only voter of a deployment.

#![allow(missing_docs)]

use std::{net::SocketAddr, time::Duration};

use hawthornstack_decisions::{
    control_state::HostRecord,
    identity::{DataCentre, HostId},
    pg_host::HostSettings,
};

pub fn settings() -> HostSettings {
    let address = SocketAddr::from(([10, 0, 0, 2], 7_000));
    HostSettings {
        record: HostRecord {
            id: HostId(1),
            peer_address: address,
            caller_address: address,
            data_centre: DataCentre::new("tx-1").unwrap(),
            draining: false,
        },
        voters: [HostId(1)].into(),
        lease_duration: Duration::from_millis(600),
        lease_renewal: Duration::from_millis(150),
        suspect_after: Duration::from_millis(400),
        stall_after: Duration::from_millis(1_500),
        gateways_per_group: 3,
        election_timeout: Duration::from_millis(300),
        heartbeat_interval: Duration::from_millis(50),
        seed: 1,
    }
}
