//! Tests of what switches mechanisms on, and of mechanisms that are switched off by name.

use tarragonhill_core::gateway::{
    catalog::{Catalog, Kind, Limits, Route},
    forecast::Forecasts,
    mechanism::{Mechanism, Mechanisms},
    profile::Profile,
};

use crate::{SMALL, Speed, at, route, train};

fn catalog(routes: &[(&str, Kind, u8)]) -> Catalog {
    let mut catalog = Catalog::new(1, Limits::default());
    for (prefix, kind, priority) in routes {
        catalog.add_route(Route { priority: *priority, ..route(prefix, *kind) });
    }
    catalog
}

/// Returns forecasts of ten endpoints, half of which need `factor` times as long for each token.
fn forecasts(factor: u64) -> Forecasts {
    let mut forecasts = Forecasts::default();
    for index in 0..10 {
        let factor = if index < 5 { 1 } else { factor };
        let speed = Speed { token_us: SMALL.token_us * factor, ..SMALL };
        train(&mut forecasts, at(0), &format!("e-{index}"), speed);
    }
    forecasts
}

fn called_for(profile: Profile) -> Vec<Mechanism> {
    Mechanism::all().filter(|mechanism| profile.calls_for(*mechanism)).collect()
}

/// Guards against mechanisms that act on a service which calls for none of them.
#[test]
fn mechanisms_follow_the_priorities_of_streams_and_the_speed_of_endpoints() {
    use Mechanism::{Demand, Fairness, Order, Outages, Pace, Speed};
    let even = forecasts(1);
    let same = catalog(&[("/a/", Kind::Streaming, 1), ("/b/", Kind::Streaming, 1)]);
    let plain = catalog(&[("/a/", Kind::Streaming, 1), ("/b/", Kind::Idempotent, 2)]);
    let several = catalog(&[("/a/", Kind::Streaming, 0), ("/b/", Kind::Streaming, 1)]);
    assert_eq!(called_for(Profile::of("drafting", &same, &even)), []);
    assert_eq!(called_for(Profile::of("drafting", &plain, &even)), []);
    assert_eq!(called_for(Profile::of("other", &several, &even)), []);
    let by_priority = called_for(Profile::of("drafting", &several, &even));
    assert_eq!(by_priority, [Order, Fairness, Outages, Pace, Demand]);
    let by_speed = called_for(Profile::of("drafting", &same, &forecasts(2)));
    assert_eq!(by_speed, [Fairness, Speed, Outages, Pace, Demand]);
}

#[test]
fn mechanisms_are_switched_off_by_name() {
    let names: Vec<&str> = Mechanism::names().collect();
    for name in &names {
        let mechanism: Mechanism = name.parse().expect("a name that is listed");
        let mechanisms = Mechanisms::without([mechanism]);
        assert_eq!(Mechanism::all().filter(|other| !mechanisms.has(*other)).collect::<Vec<_>>(), [mechanism]);
    }
    assert!(Mechanism::all().all(|mechanism| Mechanisms::default().has(mechanism)));
}
