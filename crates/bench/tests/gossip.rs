//! Tests of the digests in large fleets, over a simulated network.

use std::time::Duration;

use tarragonhill_bench::gossip::{Report, Shape, Simulation};

/// Control traffic that a gateway may send between zones, bytes per second.
const CROSS_ZONE_BUDGET: f64 = 19_000.0;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Runs a fleet for a time after it has settled.
fn measure(simulation: &mut Simulation, duration: Duration) -> Report {
    simulation.run(seconds(3));
    simulation.reset_report();
    simulation.run(duration);
    simulation.report()
}

fn cross_zone_rate(replicas: usize) -> f64 {
    let report = measure(&mut Simulation::new(Shape::of(replicas)), seconds(4));
    report.per_replica(report.cross_zone_bytes as f64, replicas)
}

/// Guards against digests whose traffic between zones grows with the square of the fleet.
#[test]
fn traffic_between_zones_does_not_grow_with_the_square_of_the_fleet() {
    for replicas in [30, 68, 136] {
        let rate = cross_zone_rate(replicas);
        assert!(rate < CROSS_ZONE_BUDGET, "{rate} bytes per second of {replicas} gateways");
    }
}

#[test]
fn load_is_known_everywhere_within_300_ms() {
    for loss in [0.0, 0.02] {
        let shape = Shape { loss, ..Shape::of(68) };
        let report = measure(&mut Simulation::new(shape), seconds(4));
        let (median, most) = (report.age(0.5), report.age(0.99));
        assert!(most <= Duration::from_millis(300), "{median:?}, {most:?} with loss {loss}");
    }
}

/// Guards against runs that count twice, or not at all, when a relay changes.
#[test]
fn runs_count_once_while_relays_change() {
    let mut simulation = Simulation::new(Shape::of(40));
    simulation.run(seconds(2));
    for zone in 0..5 {
        let relays = simulation.relays(zone);
        assert_eq!(relays.len(), 2, "relays of zone {zone}");
        simulation.kill(relays[zone % 2]);
        simulation.run(Duration::from_millis(700));
        simulation.restart(relays[zone % 2]);
    }
    simulation.run(seconds(2));
    simulation.freeze_load();
    simulation.run(seconds(4));
    for index in 0..40 {
        let (known, actual) = simulation.runs(index);
        assert_eq!(known, actual, "gateway {index}");
    }
}

/// Guards against a zone that stays deaf after the loss of its relays.
#[test]
fn the_loss_of_all_relays_is_made_up_for_within_a_second() {
    let mut simulation = Simulation::new(Shape::of(40));
    simulation.run(seconds(2));
    for zone in 0..5 {
        simulation.relays(zone).into_iter().for_each(|index| simulation.kill(index));
    }
    simulation.run(seconds(1));
    simulation.reset_report();
    simulation.run(seconds(3));
    let most = simulation.report().age(0.999);
    assert!(most <= Duration::from_millis(500), "{most:?}");
}

/// Guards against restarted gateways that know so few peers that they take the fleet for a small one.
#[test]
fn a_fleet_whose_half_restarts_without_the_store_becomes_whole_again() {
    for replicas in [20, 30, 68] {
        let mut simulation = Simulation::new(Shape::of(replicas));
        simulation.run(seconds(2));
        let half = (0..replicas).filter(|index| index % 2 == 0);
        half.clone().for_each(|index| simulation.kill(index));
        simulation.run(seconds(1));
        half.for_each(|index| simulation.restart(index));
        simulation.run(seconds(2));
        simulation.reset_report();
        simulation.run(seconds(3));
        let most = simulation.report().age(1.0);
        assert!(most <= Duration::from_millis(1_000), "{most:?} in a fleet of {replicas}");
    }
}

/// Guards against a zone without a reader of the store, or with many, after the loss of its reader.
#[test]
fn one_gateway_of_each_zone_reads_the_endpoints() {
    let mut simulation = Simulation::new(Shape::of(40));
    simulation.run(seconds(2));
    for _ in 0..2 {
        assert_eq!((0..5).map(|zone| simulation.readers(zone)).collect::<Vec<_>>(), [1; 5]);
        (0..5).for_each(|zone| simulation.kill(simulation.relays(zone)[0]));
        simulation.run(seconds(4));
    }
}

/// Guards against a partition that outlasts its end.
#[test]
fn a_zone_that_was_partitioned_is_heard_again() {
    let mut simulation = Simulation::new(Shape::of(40));
    simulation.run(seconds(2));
    simulation.set_partitioned(1, true);
    simulation.run(seconds(5));
    simulation.set_partitioned(1, false);
    simulation.run(seconds(2));
    simulation.reset_report();
    simulation.run(seconds(3));
    let most = simulation.report().age(0.999);
    assert!(most <= Duration::from_millis(500), "{most:?}");
}

/// Guards against gateways that each grant a customer's whole rate before they hear of each other.
#[test]
fn a_customer_above_its_rate_is_limited_over_the_whole_fleet() {
    let mut simulation = Simulation::new(Shape { rate: 0.0, ..Shape::of(68) });
    simulation.run(seconds(8));
    let mut spent = 0;
    for step in 0..400 {
        // Twice the rate, over all gateways in turn.
        for request in 0..2 {
            let index = (step * 31 + request * 17) % 68;
            spent += u64::from(simulation.spend(index, "customer-00", 940)) * 940;
        }
        simulation.run(Duration::from_millis(20));
    }
    let allowed = 100_000 + 8 * 47_000;
    assert!(spent <= allowed + allowed / 20, "{spent} of {allowed}");
    assert!(spent >= allowed * 9 / 10, "{spent} of {allowed}");
}
