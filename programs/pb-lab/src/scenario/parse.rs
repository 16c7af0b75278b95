//! The parser of the scenario language.

use std::time::Duration;

use winnow::Parser;
use winnow::Result as Parsed;
use winnow::ascii::dec_uint;
use winnow::ascii::float;
use winnow::ascii::space0;
use winnow::ascii::space1;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::terminated;
use winnow::token::take_while;

use crate::scenario::Action;
use crate::scenario::Error;
use crate::scenario::Event;
use crate::scenario::Expectation;
use crate::scenario::Measure;
use crate::scenario::Scenario;
use crate::scenario::Service;
use crate::scenario::Tenant;
use crate::upstream::Fault;

/// The statement of one line.
enum Statement {
    Hosts(usize, usize),
    Control(usize),
    Service(Service),
    Tenant(Tenant),
    Event(Event),
    Run(Duration),
    Expect(Expectation),
}

/// Parses a scenario and checks that it is consistent.
pub fn scenario(text: &str) -> Result<Scenario, Error> {
    let mut scenario = Scenario {
        hosts: 0,
        zones: 1,
        control: 1,
        services: Vec::new(),
        tenants: Vec::new(),
        events: Vec::new(),
        length: Duration::ZERO,
        expectations: Vec::new(),
    };
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let parsed = terminated(statement, space0).parse(line);
        let statement = parsed.map_err(|error| Error {
            line: number,
            reason: format!("syntax error at column {}: {line}", error.offset() + 1),
        })?;
        add(&mut scenario, statement);
    }
    scenario.events.sort_by_key(|event| event.at);
    validate(&scenario)?;
    Ok(scenario)
}

fn add(scenario: &mut Scenario, statement: Statement) {
    match statement {
        Statement::Hosts(hosts, zones) => {
            scenario.hosts = hosts;
            scenario.zones = zones;
        }
        Statement::Control(replicas) => scenario.control = replicas,
        Statement::Service(service) => scenario.services.push(service),
        Statement::Tenant(tenant) => scenario.tenants.push(tenant),
        Statement::Event(event) => scenario.events.push(event),
        Statement::Run(length) => scenario.length = length,
        Statement::Expect(expectation) => scenario.expectations.push(expectation),
    }
}

fn validate(scenario: &Scenario) -> Result<(), Error> {
    let error = |reason: &str| Error {
        line: 0,
        reason: reason.to_owned(),
    };
    if scenario.hosts == 0 || scenario.zones == 0 || scenario.control == 0 {
        return Err(error("a scenario needs hosts, zones and control replicas"));
    }
    if scenario.services.is_empty() || scenario.length.is_zero() {
        return Err(error("a scenario needs a service and a time to run"));
    }
    let known = |name: &str| scenario.services.iter().any(|service| service.name == name);
    match scenario
        .tenants
        .iter()
        .find(|tenant| !known(&tenant.service))
    {
        Some(tenant) => Err(error(&format!("there is no service {}", tenant.service))),
        None => Ok(()),
    }
}

fn statement(input: &mut &str) -> Parsed<Statement> {
    alt((
        hosts,
        preceded(("control", space1), count).map(Statement::Control),
        service.map(Statement::Service),
        tenant.map(Statement::Tenant),
        event.map(Statement::Event),
        preceded(("run", space1), duration).map(Statement::Run),
        expectation.map(Statement::Expect),
    ))
    .parse_next(input)
}

fn hosts(input: &mut &str) -> Parsed<Statement> {
    let hosts = preceded(("hosts", space1), count).parse_next(input)?;
    let zones = preceded((space1, "in", space1), count).parse_next(input)?;
    (space1, "zones").parse_next(input)?;
    Ok(Statement::Hosts(hosts, zones))
}

fn service(input: &mut &str) -> Parsed<Service> {
    let name = preceded(("service", space1), word).parse_next(input)?;
    let upstreams = preceded((space1, "upstreams", space1), count).parse_next(input)?;
    let slots = preceded((space1, "slots", space1), count).parse_next(input)?;
    let work = preceded((space1, "work", space1), duration).parse_next(input)?;
    let floor = preceded((space1, "floor", space1), percent).parse_next(input)?;
    Ok(Service {
        name,
        upstreams,
        slots,
        work,
        floor: floor / 100.0,
    })
}

fn tenant(input: &mut &str) -> Parsed<Tenant> {
    let name = preceded(("tenant", space1), word).parse_next(input)?;
    let rate = preceded((space1, "rate", space1), rate).parse_next(input)?;
    let burst = preceded((space1, "burst", space1), dec_uint).parse_next(input)?;
    let sends = preceded((space1, "sends", space1), self::rate).parse_next(input)?;
    let service = preceded((space1, "to", space1), word).parse_next(input)?;
    let once = opt((space1, "once")).parse_next(input)?;
    Ok(Tenant {
        name,
        rate,
        burst,
        sends,
        service,
        non_idempotent: once.is_some(),
    })
}

fn event(input: &mut &str) -> Parsed<Event> {
    let at = preceded(("at", space1), duration).parse_next(input)?;
    let action = preceded(space1, alt((fault, operation))).parse_next(input)?;
    Ok(Event { at, action })
}

fn fault(input: &mut &str) -> Parsed<Action> {
    let kind = alt(("slow", "fail", "truncate", "hang", "shed", "heal")).parse_next(input)?;
    let upstream = preceded(space1, word).parse_next(input)?;
    let fault = match kind {
        "slow" => {
            let by = preceded((space1, "by", space1), duration).parse_next(input)?;
            let by_ms = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
            Fault::Slow { by_ms }
        }
        "fail" => {
            let percent = terminated(dec_uint, '%');
            let percent = preceded(space1, percent).parse_next(input)?;
            Fault::Error { percent }
        }
        "truncate" => Fault::Truncated,
        "hang" => Fault::Silent,
        "shed" => Fault::Shed,
        _ => Fault::None,
    };
    Ok(Action::Fault(upstream, fault))
}

fn operation(input: &mut &str) -> Parsed<Action> {
    let verb = word.parse_next(input)?;
    if verb == "race" {
        return Ok(Action::Race);
    }
    let action = match verb.as_str() {
        "silence" => Action::Silence,
        "leave" => Action::Leave,
        "drain" => Action::Drain,
        "kill" => Action::Kill,
        "stop" => Action::Stop,
        "start" => Action::Start,
        "freeze" => Action::Freeze,
        "thaw" => Action::Thaw,
        "cut" => Action::Cut,
        "join" => Action::Join,
        "withdraw" => Action::Withdraw,
        _ => return winnow::combinator::fail.parse_next(input),
    };
    preceded(space1, word).map(action).parse_next(input)
}

fn expectation(input: &mut &str) -> Parsed<Expectation> {
    let word = preceded(("expect", space1), word).parse_next(input)?;
    let found = Measure::ALL.iter().find(|(_, known)| *known == word);
    let Some((measure, _)) = found else {
        return winnow::combinator::fail.parse_next(input);
    };
    let relation = preceded(space1, alt(("<=", ">="))).parse_next(input)?;
    let millis = duration.map(|time| time.as_secs_f64() * 1_000.0);
    let bound = preceded(space1, alt((millis, percent, float))).parse_next(input)?;
    Ok(Expectation {
        measure: *measure,
        at_most: relation == "<=",
        bound,
    })
}

fn word(input: &mut &str) -> Parsed<String> {
    let letters = take_while(1.., |letter: char| {
        letter.is_ascii_alphanumeric() || "-_.".contains(letter)
    });
    letters.map(str::to_owned).parse_next(input)
}

fn count(input: &mut &str) -> Parsed<usize> {
    dec_uint.parse_next(input)
}

fn duration(input: &mut &str) -> Parsed<Duration> {
    let number: f64 = float.parse_next(input)?;
    let unit = alt(("ms", "s")).parse_next(input)?;
    let seconds = if unit == "ms" {
        number / 1_000.0
    } else {
        number
    };
    let checked = Duration::try_from_secs_f64(seconds);
    checked.or_else(|_| winnow::combinator::fail.parse_next(input))
}

fn rate(input: &mut &str) -> Parsed<f64> {
    terminated(float, "/s").parse_next(input)
}

fn percent(input: &mut &str) -> Parsed<f64> {
    terminated(float, '%').parse_next(input)
}
