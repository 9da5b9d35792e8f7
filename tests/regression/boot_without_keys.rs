//! Guards against refusals by a host that has just started: as it had no configuration yet,
//! it had no keys and no services, and refused the tickets and services of all flows.

use super::common::ms;
use super::world_with_home;
use jacinthhinge::prelude::*;

#[test]
fn a_host_without_configuration_is_silent() {
    let (mut world, _) = world_with_home(3, 0);
    world.open_flow(0, 1_000, "bestel", true);
    world.run_for(ms(500));
    world.restart(1);
    world.hosts[1].tables.snapshot = Arc::new(Snapshot::empty(TicketKeys::new("", "")));
    world.run_for(ms(3_000));
    assert_eq!(world.reset_count(), 0);
}
