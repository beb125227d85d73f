//! Decoders of the store's records: configuration, failure domains out of service, targets.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::fleet::catalog::{RecordKind, TargetRecord};
use crate::fleet::routes::{
    CallerLimits, EngineSpec, KeyTeam, RerunPolicy, RouteRule, RouteTable, ServiceSpec,
    WeightedService,
};
use crate::ids::{DomainName, TargetName, TeamName};

/// Topic to which operators write.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic to which targets write.
pub const TARGET_TOPIC: &str = "keyed.servers";
/// Topic to which nodes write their addresses so that others find them.
pub const MEMBER_TOPIC: &str = "keyed.notch-members";

const CONFIG_KEY: &str = "config";
const OUT_OF_SERVICE_PREFIX: &str = "evacuate/";
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(1); // for routes without gap_aim_ms
const DEFAULT_HEADER_BYTES: usize = 16_384; // for configurations without max_header_bytes
const MS_PER_S: f64 = 1000.0;

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// Error of decoding a record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value is not JSON with the expected fields.
    #[error(
        "record {key}: {source}; correct it: until then the last good configuration stays in force, or the target is not used"
    )]
    Malformed {
        /// Key of the record.
        key: String,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A field has a value that this version does not support, or a route has no service.
    #[error(
        "record {key}: {field} = {value:?} is not supported; correct it: until then the last good configuration stays in force, or the target is not used"
    )]
    Unknown {
        /// Key of the record.
        key: String,
        /// Name of the field, or `route without a service`.
        field: &'static str,
        /// Value of the field, or name of the route.
        value: String,
    },
}

#[derive(Debug, Deserialize)]
struct ConfigBody {
    version: u64,
    routes: Vec<RouteBody>,
    services: Vec<ServiceBody>,
    limits: LimitsBody,
    tenants: Option<Vec<TeamEntry>>,
}

#[derive(Debug, Deserialize)]
struct RouteBody {
    name: String,
    host: String,
    path_prefix: String,
    route_type: String,
    timeout_ms: f64,
    latency_target_ms: f64,
    #[serde(default)]
    priority: i64,
    service: Option<String>,
    backends: Option<Vec<WeightedServiceEntry>>,
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    gap_aim_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct WeightedServiceEntry {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
struct ServiceBody {
    name: String,
    #[serde(default)]
    warmup_per_s: f64,
    engine: Option<EngineBody>,
}

#[derive(Debug, Deserialize)]
struct EngineBody {
    slots: usize,
    kv_capacity_tokens: u64,
    stride: f64,
    step_ms: f64,
    per_seq_ms: f64,
    context_per_k: f64,
    read_per_s: f64,
    pairs_per_m: f64,
    #[serde(default)]
    hop_ms: f64,
}

#[derive(Debug, Deserialize)]
struct LimitsBody {
    max_body_bytes: usize,
    #[serde(default = "default_header_bytes")]
    max_header_bytes: usize,
}

fn default_header_bytes() -> usize {
    DEFAULT_HEADER_BYTES
}

#[derive(Debug, Deserialize)]
struct TeamEntry {
    name: String,
    api_keys: Vec<String>,
    priority: Option<i64>,
}

#[derive(Debug, Deserialize)]
struct ServerBody {
    service: String,
    address: String,
    zone: String,
    slots: usize,
    state: String,
    #[serde(default)]
    warmup_left_ms: f64,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    sequence: u64,
}

/// Classifies an operator's record by its key.
///
/// ```
/// use plantainnotch::fleet::catalog::RecordKind;
/// use plantainnotch::platform::records::operator_record_kind;
/// assert!(matches!(operator_record_kind("config"), RecordKind::Routes));
/// ```
pub fn operator_record_kind(key: &str) -> RecordKind {
    if key == CONFIG_KEY {
        return RecordKind::Routes;
    }
    match key.strip_prefix(OUT_OF_SERVICE_PREFIX) {
        Some(domain) => RecordKind::OutOfService(DomainName::new(domain)),
        None => RecordKind::Other,
    }
}

/// Decodes the configuration.
///
/// # Errors
///
/// Fails when the value is not JSON with the expected fields, or a route has no service.
pub fn decode_routes(value: &[u8]) -> Result<RouteTable> {
    let body: ConfigBody = decode_json(CONFIG_KEY, value)?;
    let mut routes_by_host: BTreeMap<String, Vec<Rc<RouteRule>>> = BTreeMap::new();
    for route in body.routes {
        let rule = decode_route(route)?;
        routes_by_host
            .entry(rule.host.clone())
            .or_default()
            .push(Rc::new(rule));
    }
    for route_rules in routes_by_host.values_mut() {
        route_rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
    }
    let services = body
        .services
        .into_iter()
        .map(|service| (service.name.clone(), Rc::new(decode_service(service))))
        .collect();
    let keys_required = body.tenants.is_some();
    let mut keys = BTreeMap::new();
    for tenant in body.tenants.unwrap_or_default() {
        for key in tenant.api_keys {
            let key_team = KeyTeam {
                team: TeamName::new(tenant.name.clone()),
                priority: tenant.priority,
            };
            keys.insert(key, key_team);
        }
    }
    let mut table = RouteTable {
        version: body.version,
        routes_by_host,
        services,
        keys,
        keys_required,
        limits: CallerLimits {
            body_bytes: body.limits.max_body_bytes,
            header_bytes: body.limits.max_header_bytes,
        },
        service_ranks: BTreeMap::new(),
    };
    table.service_ranks = table.reachable_ranks();
    Ok(table)
}

fn decode_route(route: RouteBody) -> Result<RouteRule> {
    let rerun_policy = match (route.route_type.as_str(), route.stream_resume) {
        ("safe", _) => RerunPolicy::Idempotent,
        ("unsafe", _) => RerunPolicy::AtMostOnce,
        ("stream", true) => RerunPolicy::ResumableStream,
        ("stream", false) => RerunPolicy::AtMostOnceStream,
        // Requests of an unsupported route type run at most once, the safe choice.
        _ => RerunPolicy::AtMostOnce,
    };
    let services = match (route.backends, route.service) {
        (Some(backends), _) if !backends.is_empty() => backends
            .into_iter()
            .map(|backend| WeightedService {
                service: backend.service,
                weight: backend.weight.max(0.0),
            })
            .collect(),
        (_, Some(service)) => vec![WeightedService {
            service,
            weight: 1.0,
        }],
        _ => {
            return Err(RecordError::Unknown {
                key: CONFIG_KEY.to_owned(),
                field: "route without a service",
                value: route.name,
            });
        }
    };
    Ok(RouteRule {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        path_prefix: route.path_prefix,
        rerun_policy,
        timeout: duration_from_ms(route.timeout_ms),
        objective: duration_from_ms(route.latency_target_ms),
        max_event_gap: route.gap_aim_ms.map_or(DEFAULT_EVENT_GAP, duration_from_ms),
        priority: route.priority,
        services,
        max_attempts: route.max_attempts.max(1),
        public: route.public,
    })
}

fn decode_service(service: ServiceBody) -> ServiceSpec {
    ServiceSpec {
        name: service.name,
        cold_requests_per_s: service.warmup_per_s,
        engine: service.engine.map(|engine| EngineSpec {
            slots: engine.slots,
            memory_tokens: engine.kv_capacity_tokens,
            steps_per_pass: engine.stride,
            step_ms: engine.step_ms,
            step_ms_per_request: engine.per_seq_ms,
            step_ms_per_thousand_tokens: engine.context_per_k,
            prefill_tokens_per_ms: engine.read_per_s / MS_PER_S,
            ms_per_million_pairs: engine.pairs_per_m,
            helper_step_ms: engine.hop_ms,
        }),
    }
}

/// Decodes a target's record.
///
/// # Errors
///
/// Fails when fields are missing or have an unsupported value; the target is not used then.
pub fn decode_target(key: &str, value: &[u8]) -> Result<TargetRecord> {
    let body: ServerBody = decode_json(key, value)?;
    let draining = match body.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => {
            return Err(RecordError::Unknown {
                key: key.to_owned(),
                field: "state",
                value: body.state,
            });
        }
    };
    let address: Option<SocketAddr> = body.address.parse().ok();
    let address = address
        .filter(is_host_address)
        .ok_or_else(|| RecordError::Unknown {
            key: key.to_owned(),
            field: "address",
            value: body.address.clone(),
        })?;
    // Requests name their target in a header.
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RecordError::Unknown {
            key: key.escape_debug().to_string(),
            field: "key",
            value: key.escape_debug().to_string(),
        });
    }
    Ok(TargetRecord {
        name: TargetName::new(key),
        service: body.service,
        address,
        domain: DomainName::new(body.zone),
        slots: body.slots,
        draining,
        warmup_left: duration_from_ms(body.warmup_left_ms),
        started_ms: body.born,
        sequence: body.sequence,
    })
}

/// Whether a process on one host can listen at an address.
fn is_host_address(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn decode_json<T: for<'de> Deserialize<'de>>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|source| RecordError::Malformed {
        key: key.to_owned(),
        source,
    })
}

/// Clamps to one day, since `Duration` panics on negative and on huge values.
fn duration_from_ms(value: f64) -> Duration {
    Duration::from_secs_f64((value / MS_PER_S).clamp(0.0, 86_400.0))
}
