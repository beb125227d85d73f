//! Records, rows and requests for the tests of the core modules.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plantainnotch::fleet::members::MemberRecord;
use plantainnotch::ids::{
    AuthorName, DomainName, ModelName, Offset, RecordId, RequestId, TargetName, TeamName, VmName,
};
use plantainnotch::ledger::grant::PoolRequest;
use plantainnotch::view::View;
use plantainnotch::view::record::{
    LogEntry, LogRecord, MemberJoin, RecordBody, RowChange, TableChange,
};
use plantainnotch::view::table::{
    ApprovalRow, DomainRow, KeyDigest, RowKey, ServiceState, TableRow, TargetKind, TargetPattern,
    TargetRow, TeamRow,
};
use quickcheck::{Gen, QuickCheck, Testable};

const MAX_GENERATED_SIZE: usize = 60;
const CASES_PER_PROPERTY: u64 = 300;

/// Checks a property on cases generated from a fixed seed.
pub fn check(seed: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_GENERATED_SIZE, seed))
        .tests(CASES_PER_PROPERTY)
        .quickcheck(property);
}

pub fn vm(number: usize) -> VmName {
    VmName::new(format!("vm-{number}"))
}

pub fn join(number: usize, incarnation: u64) -> RecordBody {
    RecordBody::Join(MemberJoin {
        vm: vm(number),
        incarnation,
        domain: DomainName::new("rw-a"),
        entry_address: format!("127.0.0.1:{}", 7000 + number),
        steward_address: format!("127.0.0.1:{}", 7100 + number),
        admin_address: format!("127.0.0.1:{}", 7200 + number),
    })
}

pub fn evict(number: usize, incarnation: u64) -> RecordBody {
    RecordBody::Evict {
        vm: vm(number),
        incarnation,
    }
}

pub fn entry(offset: u64, body: RecordBody) -> LogEntry {
    LogEntry {
        offset: Offset(offset),
        at_ms: offset,
        record: Some(LogRecord {
            id: RecordId(offset),
            body,
        }),
    }
}

/// A view folded from records at offsets from 1 on.
pub fn view_of(bodies: Vec<RecordBody>) -> View {
    let mut view = View::default();
    for (index, body) in bodies.into_iter().enumerate() {
        view.fold(&entry(index as u64 + 1, body));
    }
    view
}

pub fn domain_row(state: ServiceState) -> TableRow {
    TableRow::Domain(DomainRow { state })
}

pub fn target_row(domain: &str, owner: &str, memory: u64) -> TableRow {
    TableRow::Target(Box::new(TargetRow {
        kind: TargetKind::Engine,
        domain: DomainName::new(domain),
        owner: AuthorName::new(owner),
        model: ModelName::new("appraisal"),
        address: "127.0.0.1:9000".into(),
        memory_tokens: memory,
        cold_limit: 1,
        warm_limit: 8,
        checks_fencing: true,
        version: None,
        state: ServiceState::In,
    }))
}

pub fn team_row(key: &str, weight: u32, ceiling: u64) -> TableRow {
    TableRow::Team(TeamRow {
        weight,
        ceiling_tokens: ceiling,
        key: KeyDigest::of_key(key),
    })
}

pub fn change(author: &str, key: RowKey, base: u64, row: Option<TableRow>) -> RecordBody {
    RecordBody::Table(TableChange {
        author: AuthorName::new(author),
        rows: vec![RowChange {
            key,
            base: Offset(base),
            row,
        }],
        signature: None,
    })
}

pub fn domain_key(name: &str) -> RowKey {
    RowKey::Domain(DomainName::new(name))
}

pub fn target_key(name: &str) -> RowKey {
    RowKey::Target(TargetName::new(name))
}

pub fn team_key(name: &str) -> RowKey {
    RowKey::Team(TeamName::new(name))
}

pub fn approval_key(team: &str, pattern: &str) -> RowKey {
    RowKey::Approval(TeamName::new(team), TargetPattern::new(pattern))
}

pub fn operator_key(name: &str) -> RowKey {
    RowKey::Operator(AuthorName::new(name))
}

pub fn approval_row(approved: bool) -> TableRow {
    TableRow::Approval(ApprovalRow { approved })
}

/// Records of a table: one failure domain, `targets` engines of one owner, two approved teams.
pub fn small_table(targets: usize, memory: u64) -> Vec<RecordBody> {
    let mut rows = vec![change(
        "op",
        domain_key("rw-a"),
        0,
        Some(domain_row(ServiceState::In)),
    )];
    for number in 0..targets {
        let key = target_key(&format!("app-{number}"));
        rows.push(change(
            "op",
            key,
            0,
            Some(target_row("rw-a", "owner", memory)),
        ));
    }
    for team in ["kigali", "zharyq"] {
        rows.push(change(
            "op",
            team_key(team),
            0,
            Some(team_row(team, 1, 1_000_000)),
        ));
        let key = approval_key(team, "app-*");
        rows.push(change("owner", key, 0, Some(approval_row(true))));
    }
    rows
}

pub fn pool_request(number: u64, team: &str, prompt: u64, deadline: Instant) -> PoolRequest {
    PoolRequest {
        request: RequestId(number),
        team: TeamName::new(team),
        weight: 1,
        prompt_tokens: prompt,
        max_output_tokens: 10,
        prefix_hash: number % 3,
        deadline,
        idle_only: false,
    }
}

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Prints the number of states of a model, directly to standard error, which isn't captured.
pub fn report_states(model: &str, states: usize) {
    writeln!(std::io::stderr(), "model of {model}: {states} states").ok();
}

/// A VM's record of a fleet in which `number` modulo `domains` gives the failure domain.
pub fn member(number: u8, domains: u8) -> MemberRecord {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, number], port));
    MemberRecord {
        vm: VmName::new(format!("vm-{number}")),
        domain: DomainName::new(format!("domain-{}", number % domains)),
        peer_address: address(1),
        caller_address: address(2),
        incarnation: 1,
        revision: 0,
        cpu_cores: 0.25,
        ready: true,
        leaving: false,
        store_reachable: true,
        is_settled: true,
        reaches_targets: true,
    }
}
