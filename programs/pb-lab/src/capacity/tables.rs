//! Tables of the capacity page: counts at the target size times slopes, against limits.

use std::fmt::Write;

use crate::capacity::slopes::Slopes;

/// Proxies, which the tables call daemons, at the target size; the counts and rates below are those
/// at the target size too.
const PROXY_COUNT: f64 = 2_800.0;
const UPSTREAM_COUNT: f64 = 24_000.0;
const ROUTE_COUNT: f64 = 6_100.0;
const TENANT_COUNT: f64 = 63_000.0;
const KEY_COUNT: f64 = 126_000.0;
const REQUESTS_PER_S: f64 = 210_000.0;
const CHANGES_PER_DAY: f64 = 4_600.0;
const RESTARTS_PER_DAY: f64 = 3_500.0;
const CONTROL_HOST_COUNT: f64 = 12.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
const BYTES_PER_KB: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;
const US_PER_S: f64 = 1_000_000.0;

/// Limits on the memory, processor time and traffic that one proxy uses for control.
const MAX_MEMORY_MB: f64 = 32.0;
const MAX_CORE_PERCENT: f64 = 1.0;
const MAX_KB_PER_S: f64 = 30.0;

/// A row of a table: `count` times the slope, divided by `scale` to get the unit of the table.
struct Line {
    what: &'static str,
    count: f64,
    slope: &'static str,
    scale: f64,
}

/// A table of lines, with a limit on their sum if there is one.
struct Table {
    title: &'static str,
    unit: &'static str,
    limit: Option<f64>,
    lines: &'static [Line],
}

const REQUESTS_PER_S_PER_PROXY: f64 = REQUESTS_PER_S / PROXY_COUNT;

const TABLES: &[Table] = &[
    Table {
        title: "Memory of a daemon",
        unit: "MB",
        limit: Some(MAX_MEMORY_MB),
        lines: &[
            line("process at its start", 1.0, "memory_process", BYTES_PER_MB),
            line("key digests", KEY_COUNT, "memory_key", BYTES_PER_MB),
            line("tenants", TENANT_COUNT, "memory_tenant", BYTES_PER_MB),
            line("routes", ROUTE_COUNT, "memory_route", BYTES_PER_MB),
            line("upstreams", UPSTREAM_COUNT, "memory_upstream", BYTES_PER_MB),
            line("daemons", PROXY_COUNT, "memory_host", BYTES_PER_MB),
            line(
                "membership of upstreams",
                UPSTREAM_COUNT,
                "memory_membership",
                BYTES_PER_MB,
            ),
        ],
    },
    Table {
        title: "Processor time of a daemon for control",
        unit: "% of a core",
        limit: Some(MAX_CORE_PERCENT),
        lines: &[
            line(
                "changes put in force",
                CHANGES_PER_DAY / SECONDS_PER_DAY,
                "change_ms",
                MS_PER_S / 100.0,
            ),
            line(
                "slots: calls as host and as steward",
                REQUESTS_PER_S_PER_PROXY,
                "slot_call_us",
                US_PER_S / 100.0,
            ),
            line("gossip", 1.0, "gossip_core_percent", 1.0),
            line("grants of rates", 1.0, "grants_core_percent", 1.0),
        ],
    },
    Table {
        title: "Processor time of a daemon for requests",
        unit: "% of a core",
        limit: None,
        lines: &[line(
            "key checks",
            REQUESTS_PER_S_PER_PROXY,
            "key_check_us",
            US_PER_S / 100.0,
        )],
    },
    Table {
        title: "Control traffic of a daemon",
        unit: "KB/s",
        limit: Some(MAX_KB_PER_S),
        lines: &[
            line(
                "changes of configuration",
                CHANGES_PER_DAY / SECONDS_PER_DAY,
                "change_bytes",
                BYTES_PER_KB,
            ),
            line(
                "slots: calls as host and as steward",
                REQUESTS_PER_S_PER_PROXY,
                "slot_call_bytes",
                BYTES_PER_KB,
            ),
            line("gossip", 1.0, "gossip_bytes", BYTES_PER_KB),
            line("grants of rates", 1.0, "grants_bytes", BYTES_PER_KB),
        ],
    },
    Table {
        title: "Control host: snapshots for restarts, spread over a day and 12 hosts",
        unit: "KB/s",
        limit: None,
        lines: &[line(
            "snapshots sent",
            RESTARTS_PER_DAY / SECONDS_PER_DAY / CONTROL_HOST_COUNT,
            "snapshot_bytes",
            BYTES_PER_KB,
        )],
    },
    Table {
        title: "Control host: snapshots for a lost zone of daemons that comes back at once",
        unit: "MB",
        limit: None,
        lines: &[line(
            "snapshots sent",
            PROXY_COUNT / 18.0 / CONTROL_HOST_COUNT,
            "snapshot_bytes",
            BYTES_PER_MB,
        )],
    },
    Table {
        title: "Start of a daemon: time to read the snapshot",
        unit: "ms",
        limit: None,
        lines: &[line("snapshot decoded", 1.0, "snapshot_decode_ms", 1.0)],
    },
];

/// Returns the tables and the list of slopes as Markdown.
#[must_use]
pub fn tables(slopes: &Slopes) -> String {
    let mut text = String::new();
    for table in TABLES {
        write_table(&mut text, table, slopes);
    }
    write_slopes(&mut text, slopes);
    text
}

const fn line(what: &'static str, count: f64, slope: &'static str, scale: f64) -> Line {
    Line {
        what,
        count,
        slope,
        scale,
    }
}

fn write_table(text: &mut String, table: &Table, slopes: &Slopes) {
    let _ = writeln!(text, "### {}\n", table.title);
    let _ = writeln!(text, "| part | count | slope | {} |", table.unit);
    let _ = writeln!(text, "| --- | --- | --- | --- |");
    let mut sum = 0.0;
    let mut missing = 0;
    for line in table.lines {
        let value = slopes.value(line.slope);
        let product = value.map(|value| value * line.count / line.scale);
        sum += product.unwrap_or_default();
        missing += usize::from(product.is_none());
        let shown = product.map_or("not measured yet".to_owned(), |one| format!("{one:.3}"));
        let (what, count, slope) = (line.what, line.count, line.slope);
        let _ = writeln!(text, "| {what} | {count:.4} | `{slope}` | {shown} |");
    }
    let _ = writeln!(text, "| **sum of what is measured** | | | {sum:.3} |\n");
    let Some(limit) = table.limit else { return };
    let unit = table.unit;
    let verdict = match (sum > limit, missing) {
        (true, _) => format!("over the limit by {:.1} {unit}", sum - limit),
        (false, 0) => format!("within the limit, {:.1} {unit} left", limit - sum),
        (false, _) => format!("open: {missing} parts are not measured yet"),
    };
    let _ = writeln!(text, "Limit {limit} {unit}: {verdict}.\n");
}

fn write_slopes(text: &mut String, slopes: &Slopes) {
    let _ = writeln!(text, "### Slopes\n");
    let _ = writeln!(text, "| slope | value | unit | command |");
    let _ = writeln!(text, "| --- | --- | --- | --- |");
    for slope in slopes.all().values() {
        let value = slope.value;
        let value = value.map_or("not measured yet".to_owned(), |value| format!("{value:.3}"));
        let (name, unit, command) = (&slope.name, &slope.unit, &slope.command);
        let _ = writeln!(text, "| `{name}` | {value} | {unit} | {command} |");
    }
}
