//! An explanation as lines for people: the decision, the best upstreams, and counts of the others by reason.

use std::collections::BTreeMap;

use crate::dispatch::Decision;
use crate::dispatch::explain::Branch;
use crate::dispatch::explain::Candidate;
use crate::dispatch::explain::Explanation;
use crate::dispatch::explain::Part;
use crate::dispatch::explain::Reason;
use crate::dispatch::explain::answer::millis;

/// Upstreams of each service that are listed beside the chosen one.
const LISTED_CANDIDATES: usize = 3;

/// Upstreams that are named for one reason.
const NAMED_UPSTREAMS: usize = 3;

impl Explanation {
    /// Returns one line for each fact, a few for each service, however many upstreams there are.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![self.subject(), self.terms()];
        if self.lacks_key {
            lines.push("the route needs a key: hosts refuse the request without one".to_owned());
        }
        if !self.evacuated_zones.is_empty() {
            lines.push(format!("evacuated: {}", self.evacuated_zones.join(", ")));
        }
        for branch in &self.branches {
            lines.extend(branch.lines());
        }
        lines
    }

    fn subject(&self) -> String {
        let question = &self.question;
        let mut text = format!("a request of route {}", question.route);
        let parts = [
            ("of tenant", &question.tenant),
            ("from zone", &question.zone),
            ("at host", &question.host),
        ];
        for (name, value) in parts {
            if let Some(value) = value {
                text = format!("{text} {name} {value}");
            }
        }
        let again = if question.is_repeat {
            ", sent before,"
        } else {
            ""
        };
        let version = self.version.map_or_else(
            || "no publication".to_owned(),
            |version| format!("version {version}"),
        );
        format!(
            "{text}{again} with {} bytes, by {version}",
            question.body_bytes
        )
    }

    fn terms(&self) -> String {
        let owner = if self.is_tenant_priority {
            "the tenant"
        } else {
            "the route"
        };
        let runs = if self.is_idempotent {
            "may run more than once"
        } else {
            "must not run twice"
        };
        format!(
            "priority {} of {owner}; {runs}; answer wanted within {:.0} ms, at the latest after {:.0} ms; attempts {}",
            self.priority,
            millis(self.objective),
            millis(self.timeout),
            self.attempts
        )
    }
}

impl Branch {
    fn lines(&self) -> Vec<String> {
        let percent = self.share * 100.0;
        let mut lines = vec![format!(
            "service {} ({percent:.1}% of the requests): {}",
            self.service,
            self.outcome()
        )];
        lines.push(format!(
            "  {} queued, {} slots free, {} of them kept from this request, {:.1} retries left",
            self.queued, self.free_slots, self.kept_slots, self.retries_left
        ));
        lines.extend(self.tenant.as_ref().map(Part::line));
        let open = self.candidates.iter().filter(|one| match one.left_out {
            None => true,
            Some(reason) => !reason.is_closed() && reason != Reason::NotCompared,
        });
        lines.extend(open.take(1 + LISTED_CANDIDATES).map(Candidate::line));
        lines.extend(self.counts());
        lines
    }

    fn outcome(&self) -> String {
        let wait = self.expected_wait.map_or(0.0, millis);
        match self.decision {
            Decision::Granted { upstream, .. } => {
                let chosen = self.candidates.iter().find(|one| one.upstream == upstream);
                let name = chosen.map_or_else(|| upstream.to_string(), Candidate::name);
                let cause = if self.is_trial {
                    "to keep it in use or try it out"
                } else {
                    "of least expected cost"
                };
                format!("goes to {name}, {cause}")
            }
            Decision::Queued if self.is_late => {
                format!("waits about {wait:.0} ms; the answer is expected later than wanted")
            }
            Decision::Queued => format!("waits about {wait:.0} ms; the answer is expected in time"),
            Decision::Refused { kind, retry_after } => {
                let again = millis(retry_after);
                let answer = kind.answer();
                let wait = self.expected_wait.map_or(String::new(), |wait| {
                    format!(", as a slot is expected after {:.0} ms", millis(wait))
                });
                format!(
                    "refused with {}{wait}; retry after {again:.0} ms",
                    answer.code
                )
            }
        }
    }

    /// Returns one line for each reason.
    fn counts(&self) -> Vec<String> {
        let mut groups: BTreeMap<Reason, Vec<String>> = BTreeMap::new();
        for candidate in &self.candidates {
            if let Some(reason) = candidate.left_out {
                groups.entry(reason).or_default().push(candidate.name());
            }
        }
        let line = |(reason, names): (Reason, Vec<String>)| {
            let listed = &names[..names.len().min(NAMED_UPSTREAMS)];
            let others = if names.len() > listed.len() {
                ", ..."
            } else {
                ""
            };
            let (count, listed) = (names.len(), listed.join(", "));
            format!("  left out {count} ({listed}{others}): {}", reason.text())
        };
        groups.into_iter().map(line).collect()
    }
}

impl Part {
    fn line(&self) -> String {
        let share = self.share * 100.0;
        let mut text = format!(
            "  tenant: weight {:.1}, at least {share:.0}% of what more urgent requests leave",
            self.weight
        );
        if let (Some(quota), Some(left)) = (self.quota, self.tokens_left) {
            text = format!(
                "{text}; quota {} a second and {} at once, {left:.1} left",
                quota.per_second, quota.burst
            );
        }
        text
    }
}

impl Candidate {
    fn name(&self) -> String {
        self.id.clone().unwrap_or_else(|| self.upstream.to_string())
    }

    fn line(&self) -> String {
        let mut text = format!(
            "  {} in zone {}: cost {:.3}, grey {:.2}, {} of {} slots in use, {:.0} ms expected",
            self.name(),
            self.zone,
            self.cost,
            self.grey,
            self.running,
            self.slots,
            millis(self.expected)
        );
        if let Some(limit) = self.limit {
            text = format!("{text}, limit {limit} a second");
        }
        if self.is_cold {
            text = format!("{text}, cold");
        }
        text
    }
}
