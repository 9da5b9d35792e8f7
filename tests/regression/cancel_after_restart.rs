//! Guards against false `NotRun` outcomes: an endpoint that had restarted refused a cancelled
//! dispatch that its earlier incarnation had run, and the caller was told that its order had
//! not run.

use super::common::ms;
use super::world_with_home;
use jacinthhinge::prelude::*;

#[test]
fn a_restarted_endpoint_does_not_refuse_dispatches_it_may_have_run() {
    let (mut world, flow) = world_with_home(1, 0);
    world.endpoints[0].work_time = ms(500);
    world.send_request(0, flow, 7, Class::Order, ms(2_000), 1);
    world.run_for(ms(60));
    assert_eq!(world.execution_count(0, 7), 1);
    let incarnation = world.now_micros();
    world.endpoints[0].restart(incarnation);
    world.cancel_request(0, 7);
    world.run_for(ms(500));
    let outcomes = &world.request(0, 7).outcomes;
    assert_eq!(
        outcomes[0].0,
        ExecutionStatus::Unknown,
        "outcomes {outcomes:?}"
    );
}
