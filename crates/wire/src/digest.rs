//! Conversions of the digests that gateway replicas gossip.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tarragonhill_core::{
    clock::micros,
    gateway::{
        contact,
        digest::{Digest, Member, Share, StageChange},
        directory::Departure,
        evacuation,
        forecast::{Forecast, OutputLength, Trend},
        growth::Growth,
        limit,
        loan::Loan,
        position::{Edition, Position},
        relay::Parcel,
        staleness::Versions,
        suspect::{Crash, Report, Run, Sighting, Suspect},
        throttle::Cause,
    },
};

use prost::Message as _;

use crate::{DecodeError, proto, scarcity};

/// Largest tokens and counts that are accepted from a peer, so that sums over all peers do not overflow.
pub(crate) const MAX_TOKENS: u64 = 1 << 40;
pub(crate) const MAX_COUNT: u32 = 1 << 20;

impl From<&Digest> for proto::Digest {
    fn from(digest: &Digest) -> Self {
        let spending = digest.spent.iter().map(|(customer, spent)| proto::Spending {
            customer: customer.to_string(),
            spent: *spent,
            left: digest.left.get(customer).copied().unwrap_or(0),
            refused: digest.refused.get(customer).copied().unwrap_or(0),
        });
        let endpoints: BTreeSet<&Arc<str>> =
            digest.shares.keys().chain(digest.failure_permille.keys()).collect();
        let shares = endpoints.into_iter().map(|endpoint| {
            let share = digest.shares.get(endpoint).copied().unwrap_or_default();
            proto::Share {
                endpoint: endpoint.to_string(),
                running: share.running,
                memory: share.memory,
                reading: share.prefill_tokens,
                failing: digest.failure_permille.get(endpoint).copied().unwrap_or(0).into(),
                growth: share.growth.0.to_vec(),
            }
        });
        let changing = digest.changing.iter();
        Self {
            name: digest.name.to_string(),
            incarnation: digest.incarnation,
            serial: digest.serial,
            urgent: digest.is_urgent,
            members: digest.members.iter().map(|member| encode_member(digest, member)).collect(),
            spending: spending.collect(),
            shares: shares.collect(),
            suspects: digest.suspects.iter().map(proto::Suspect::from).collect(),
            changing: changing
                .map(|(endpoint, change)| proto::Changing {
                    endpoint: endpoint.to_string(),
                    left_us: micros(change.remaining),
                    stage: change.stage.to_string(),
                })
                .collect(),
            evacuations: encode_evacuations(&digest.evacuations),
            limits: digest.limits.iter().map(encode_limit).collect(),
            unmet: digest
                .unmet
                .iter()
                .map(|(service, count)| proto::Unmet { service: service.to_string(), count: *count })
                .collect(),
            loans: digest.loans.iter().map(proto::Loan::from).collect(),
            forecasts: digest.forecasts.iter().map(encode_forecast).collect(),
            observed_us: micros(digest.observed),
            mixed: digest
                .mixed
                .iter()
                .map(|(service, age)| proto::Mixed { service: service.to_string(), age_us: micros(*age) })
                .collect(),
            configuration: digest.versions.configuration.position.version(),
            endpoints: digest.versions.endpoints.version(),
            contact: digest.contact.map(|contact::Report { since, last_read }| proto::Contact {
                since_ms: millis(since),
                last_read_ms: millis(last_read),
            }),
            configuration_number: digest.versions.configuration.version,
            configuration_era: digest.versions.configuration.position.era(),
            endpoints_era: digest.versions.endpoints.era(),
            departures: digest.departures.iter().map(proto::Departure::from).collect(),
            waiting: scarcity::encode_waiting(&digest.waiting),
            holdings: scarcity::encode_holdings(&digest.holdings),
            outages: digest.outages.iter().map(scarcity::encode_outage).collect(),
            paces: digest.paces.iter().map(scarcity::encode_pace).collect(),
            speeds: digest.speeds.iter().map(scarcity::encode_speed).collect(),
            demands: digest.demands.iter().map(scarcity::encode_demand).collect(),
        }
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes a member; the sender's name is left out, since the digest has it.
fn encode_member(digest: &Digest, member: &Member) -> proto::Member {
    let mut encoded = proto::Member::from(member);
    if member.name == digest.name {
        encoded.name.clear();
    }
    encoded
}

/// Encodes evacuations; absent if none have been read.
pub(crate) fn encode_evacuations(evacuations: &evacuation::Report) -> Option<proto::Evacuations> {
    let evacuation::Report { position, zones, former, era_age } = evacuations;
    let former = (!former.position.is_start()).then(|| proto::FormerEvacuations {
        version: former.position.version(),
        zones: former.zones.iter().map(|zone| zone.to_string()).collect(),
        era: former.position.era(),
    });
    let zones = zones.iter().map(|zone| zone.to_string()).collect();
    (!position.is_start()).then(|| proto::Evacuations {
        version: position.version(),
        zones,
        era: position.era(),
        former,
        era_age_us: micros(*era_age),
    })
}

/// Decodes evacuations. Absent ones get the first position, which is older than any other.
pub(crate) fn decode_evacuations(message: Option<proto::Evacuations>) -> evacuation::Report {
    let proto::Evacuations { version, zones, era, former, era_age_us } = message.unwrap_or_default();
    let former = former.unwrap_or_default();
    let era_age = Duration::from_micros(era_age_us);
    let former = evacuation::Former {
        position: Position::new(former.era, former.version),
        zones: former.zones.into_iter().map(Arc::from).collect(),
    };
    let zones = zones.into_iter().map(Arc::from).collect();
    evacuation::Report { position: Position::new(era, version), zones, former, era_age }
}

impl From<&Departure> for proto::Departure {
    fn from(departure: &Departure) -> Self {
        let Departure { id, started_ms, sequence } = departure;
        Self { endpoint: id.to_string(), born: *started_ms, sequence: *sequence }
    }
}

impl From<proto::Departure> for Departure {
    fn from(message: proto::Departure) -> Self {
        Self { id: message.endpoint.into(), started_ms: message.born, sequence: message.sequence }
    }
}

fn encode_limit((endpoint, report): (&Arc<str>, &limit::Report)) -> proto::Limit {
    proto::Limit {
        endpoint: endpoint.to_string(),
        requests_per_s: report.limit.unwrap_or(0.0),
        age_us: micros(report.age),
    }
}

fn decode_limit(message: proto::Limit) -> (Arc<str>, limit::Report) {
    let limit = Some(sanitize(message.requests_per_s)).filter(|limit| *limit > 0.0);
    (message.endpoint.into(), limit::Report { limit, age: Duration::from_micros(message.age_us) })
}

fn encode_forecast((service, forecast): (&Arc<str>, &Forecast)) -> proto::Forecast {
    let trend = |trend: Option<Trend>| trend.map(|Trend { base, slope }| proto::Trend { base, slope });
    let output_length = |OutputLength { event_tokens, spread, events, weight }| proto::Answers {
        event_tokens,
        spread,
        events,
        weight,
    };
    proto::Forecast {
        service: service.to_string(),
        reading: trend(forecast.prefill),
        first: trend(forecast.first_event),
        own_reading: trend(forecast.local_prefill),
        event: trend(forecast.event_interval),
        memory: forecast.memory,
        answers: forecast.output_length.map(output_length),
    }
}

impl From<&Member> for proto::Member {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            address: member.address.to_string(),
            zone: member.zone.to_string(),
            millicores: member.millicores,
        }
    }
}

impl TryFrom<proto::Member> for Member {
    type Error = DecodeError;

    fn try_from(member: proto::Member) -> Result<Self, DecodeError> {
        let address =
            member.address.parse().map_err(|_| DecodeError::Invalid("address", member.address.clone()))?;
        let (name, zone) = (member.name.into(), member.zone.into());
        Ok(Self { name, address, zone, millicores: member.millicores })
    }
}

impl From<&Loan> for proto::Loan {
    fn from(loan: &Loan) -> Self {
        Self {
            borrower: loan.borrower.to_string(),
            endpoint: loan.endpoint.to_string(),
            cold: loan.cause == Cause::Cold,
            interval_us: micros(loan.interval),
        }
    }
}

impl From<proto::Loan> for Loan {
    fn from(message: proto::Loan) -> Self {
        Self {
            borrower: message.borrower.into(),
            endpoint: message.endpoint.into(),
            cause: if message.cold { Cause::Cold } else { Cause::Limited },
            interval: Duration::from_micros(message.interval_us),
        }
    }
}

impl From<&Report> for proto::Suspect {
    fn from(report: &Report) -> Self {
        let crashes = report.crashes.iter();
        Self {
            id: report.suspect.0,
            crashes: crashes
                .map(|(crash, Sighting { age, run, is_trial })| proto::Crash {
                    id: crash.0,
                    age_us: micros(*age),
                    trial: *is_trial,
                    generating: *run == Run::Generating,
                })
                .collect(),
            completed_us: report.completed.map(micros),
            wanted: report.is_wanted,
            trying: report.is_trying,
        }
    }
}

impl From<proto::Suspect> for Report {
    fn from(message: proto::Suspect) -> Self {
        let crashes = message.crashes.into_iter();
        Self {
            suspect: Suspect(message.id),
            crashes: crashes
                .map(|proto::Crash { id, age_us, trial, generating }| {
                    let run = if generating { Run::Generating } else { Run::Starting };
                    (Crash(id), Sighting { age: Duration::from_micros(age_us), run, is_trial: trial })
                })
                .collect(),
            completed: message.completed_us.map(Duration::from_micros),
            is_wanted: message.wanted,
            is_trying: message.trying,
        }
    }
}

/// An encoded digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedDigest(pub Vec<u8>);

impl TryFrom<EncodedDigest> for Parcel {
    type Error = DecodeError;

    fn try_from(EncodedDigest(encoded): EncodedDigest) -> Result<Self, DecodeError> {
        let digest = proto::Digest::decode(encoded.as_slice());
        let digest = digest.map_err(|error| DecodeError::Invalid("digest", error.to_string()))?;
        Ok(Self { digest: digest.try_into()?, encoded: encoded.into() })
    }
}

impl TryFrom<proto::Digest> for Digest {
    type Error = DecodeError;

    fn try_from(digest: proto::Digest) -> Result<Self, DecodeError> {
        if digest.name.is_empty() {
            return Err(DecodeError::Missing("name"));
        }
        let members = digest.members.into_iter().map(|mut member| {
            if member.name.is_empty() {
                member.name = digest.name.clone();
            }
            Member::try_from(member)
        });
        let members: Result<Vec<Member>, _> = members.collect();
        let mut spent = BTreeMap::new();
        let (mut left, mut refused) = (BTreeMap::new(), BTreeMap::new());
        for spending in digest.spending {
            let customer: Arc<str> = spending.customer.into();
            spent.insert(customer.clone(), spending.spent);
            if spending.refused > 0 {
                refused.insert(customer.clone(), spending.refused);
            }
            left.insert(customer, spending.left);
        }
        let mut shares = BTreeMap::new();
        let mut failure_permille = BTreeMap::new();
        for share in digest.shares {
            let endpoint: Arc<str> = share.endpoint.as_str().into();
            let decoded = Share {
                running: share.running.min(MAX_COUNT),
                memory: share.memory.min(MAX_TOKENS),
                prefill_tokens: share.reading.min(MAX_TOKENS),
                growth: decode_growth(&share),
            };
            if decoded != Share::default() {
                shares.insert(endpoint.clone(), decoded);
            }
            if share.failing > 0 {
                failure_permille.insert(endpoint, u16::try_from(share.failing).unwrap_or(u16::MAX));
            }
        }
        let changing: Result<BTreeMap<Arc<str>, StageChange>, _> =
            digest.changing.into_iter().map(decode_change).collect();
        Ok(Self {
            name: digest.name.into(),
            incarnation: digest.incarnation,
            serial: digest.serial,
            is_urgent: digest.urgent,
            members: members?,
            spent,
            left,
            refused,
            shares,
            failure_permille,
            changing: changing?,
            suspects: digest.suspects.into_iter().map(Report::from).collect(),
            forecasts: digest.forecasts.into_iter().map(decode_forecast).collect(),
            versions: Versions {
                configuration: Edition {
                    version: digest.configuration_number,
                    position: Position::new(digest.configuration_era, digest.configuration),
                },
                endpoints: Position::new(digest.endpoints_era, digest.endpoints),
            },
            contact: digest.contact.map(|proto::Contact { since_ms, last_read_ms }| contact::Report {
                since: Duration::from_millis(since_ms.into()),
                last_read: Duration::from_millis(last_read_ms.into()),
            }),
            departures: digest.departures.into_iter().map(Departure::from).collect(),
            evacuations: decode_evacuations(digest.evacuations),
            limits: digest.limits.into_iter().map(decode_limit).collect(),
            unmet: digest
                .unmet
                .into_iter()
                .map(|unmet| (unmet.service.into(), unmet.count.min(MAX_COUNT)))
                .collect(),
            loans: digest.loans.into_iter().map(Loan::from).collect(),
            waiting: scarcity::decode_waiting(digest.waiting),
            holdings: scarcity::decode_holdings(digest.holdings),
            outages: scarcity::decode_outages(digest.outages),
            paces: scarcity::decode_paces(digest.paces),
            speeds: scarcity::decode_speeds(digest.speeds),
            demands: scarcity::decode_demands(digest.demands),
            observed: Duration::from_micros(digest.observed_us),
            mixed: digest
                .mixed
                .into_iter()
                .map(|mixed| (mixed.service.into(), Duration::from_micros(mixed.age_us)))
                .collect(),
        })
    }
}

/// Decodes the growth of a share. Without a valid one the current memory use counts as constant.
fn decode_growth(share: &proto::Share) -> Growth {
    share.growth.as_slice().try_into().map_or_else(|_| Growth::flat(share.memory), Growth)
}

fn decode_forecast(message: proto::Forecast) -> (Arc<str>, Forecast) {
    let trend = |trend: Option<proto::Trend>| {
        trend.map(|proto::Trend { base, slope }| Trend { base: sanitize(base), slope: sanitize(slope) })
    };
    let output_length = |proto::Answers { event_tokens, spread, events, weight }| OutputLength {
        event_tokens: sanitize(event_tokens),
        spread: sanitize(spread),
        events: sanitize(events),
        weight: sanitize(weight),
    };
    let forecast = Forecast {
        prefill: trend(message.reading),
        first_event: trend(message.first),
        local_prefill: trend(message.own_reading),
        event_interval: trend(message.event),
        memory: message.memory.min(MAX_TOKENS),
        output_length: message.answers.map(output_length),
    };
    (message.service.into(), forecast)
}

/// Replaces negative and non-finite numbers by zero, since comparisons with NaN are always false.
pub(crate) fn sanitize(value: f64) -> f64 {
    if value.is_finite() { value.max(0.0) } else { 0.0 }
}

fn decode_change(message: proto::Changing) -> Result<(Arc<str>, StageChange), DecodeError> {
    let stage = message.stage.parse().map_err(|_| DecodeError::Invalid("stage", message.stage.clone()))?;
    Ok((message.endpoint.into(), StageChange { stage, remaining: Duration::from_micros(message.left_us) }))
}
