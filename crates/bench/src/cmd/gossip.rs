//! `gossip`: measures the digests of fleets of gateways, with relays and without.

use std::time::Duration;

use bpaf::Bpaf;

use crate::{
    fleet::FleetError,
    gossip::{Report, Shape, Simulation},
};

/// Duration of the restart of half the fleet, from kill to start.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Options of `gossip`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Number of gateways; may be repeated
    #[bpaf(long, argument("N"), some("give at least one number of gateways"), fallback(vec![30, 70, 340]))]
    replicas: Vec<usize>,
    /// Simulated duration of each case, seconds
    #[bpaf(long, argument("S"), fallback(10), display_fallback)]
    seconds: u64,
    /// Seed of the load and of lost datagrams
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

/// Prints a table with a line for each fleet and case.
pub fn execute(options: Options) -> Result<bool, FleetError> {
    println!("gateways  case              KB/s between zones  datagrams/s  cpu %  age p50 ms  p99 ms");
    let duration = Duration::from_secs(options.seconds);
    for replicas in options.replicas {
        let shape = Shape { seed: options.seed, ..Shape::of(replicas) };
        print_row(replicas, "direct", &measure(Shape { is_direct: true, ..shape }, duration, |_| {}));
        print_row(replicas, "relays", &measure(shape, duration, |_| {}));
        print_row(replicas, "5% loss", &measure(Shape { loss: 0.05, ..shape }, duration, |_| {}));
        let partition = |simulation: &mut Simulation| {
            simulation.set_partitioned(0, true);
            simulation.run(duration / 4);
            simulation.set_partitioned(0, false);
        };
        print_row(replicas, "zone partitioned", &measure(shape, duration, partition));
        let restart = |simulation: &mut Simulation| {
            let half = (0..replicas).filter(|index| index % 2 == 0);
            half.clone().for_each(|index| simulation.kill(index));
            simulation.run(DOWN_TIME);
            half.for_each(|index| simulation.restart(index));
        };
        print_row(replicas, "half restarted", &measure(shape, duration, restart));
    }
    Ok(true)
}

/// Runs a fleet until it has settled, then with a fault.
fn measure(shape: Shape, duration: Duration, fault: impl Fn(&mut Simulation)) -> Report {
    let mut simulation = Simulation::new(shape);
    simulation.run(Duration::from_secs(2));
    simulation.reset_report();
    fault(&mut simulation);
    simulation.run(duration);
    simulation.report()
}

fn print_row(replicas: usize, case: &str, report: &Report) {
    let cross_zone = report.per_replica(report.cross_zone_bytes as f64 / 1e3, replicas);
    let datagrams = report.per_replica(report.datagrams as f64, replicas);
    let processor = report.per_replica(report.processor_time.as_secs_f64() * 100.0, replicas);
    let millis = |fraction| report.age(fraction).as_millis();
    println!(
        "{replicas:8}  {case:16}  {cross_zone:18.1}  {datagrams:11.0}  {processor:5.2}  {:10}  {:6}",
        millis(0.5),
        millis(0.99)
    );
}
