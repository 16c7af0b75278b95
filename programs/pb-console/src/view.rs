//! The data of the overview page, collected from control and from the proxies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use pb_ctl::fleet::Fleet;
use pb_ctl::fleet::Progress;
use persimmonbend_core::config::State;
use persimmonbend_core::event::Event;
use persimmonbend_core::explain::Capacity;
use persimmonbend_core::explain::Exclusion;
use persimmonbend_core::explain::Overview;
use persimmonbend_core::explain::Query;
use persimmonbend_core::explain::Statistics;
use persimmonbend_core::traffic::Point;

/// State of the fleet at the time of a request.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Hosts on which the configuration is in force; `None` when control does not answer.
    pub progress: Option<Progress>,
    /// Configuration, from control or from a proxy.
    pub config: Option<State>,
    /// Overviews from the proxies that answered.
    pub overviews: Vec<Overview>,
}

impl View {
    /// Collects the state from control and from every proxy.
    pub async fn gather(fleet: &Fleet) -> Self {
        let status = fleet.status().await.ok();
        let progress = status.map(|status| Progress::new(status.revision, &status));
        let config = match &progress {
            Some(_) => fleet.config().await.ok(),
            None => fleet.config_from_proxy().await.ok(),
        };
        let overviews = fleet.query_all::<Overview>(&Query::Overview).await;
        Self {
            progress,
            config,
            overviews: overviews.into_values().collect(),
        }
    }

    /// Returns whether control answers.
    #[must_use]
    pub const fn has_control(&self) -> bool {
        self.progress.is_some()
    }

    /// Returns one sentence for each current problem.
    #[must_use]
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        match &self.progress {
            None => problems.push(
                "Control is away. The fleet keeps serving; changes other than withdrawals of \
                 keys must wait."
                    .to_owned(),
            ),
            Some(progress) if !progress.is_complete() => {
                problems.push(sentence(&progress.describe()));
            }
            Some(_) => {}
        }
        if self.overviews.is_empty() {
            problems.push("No proxy answers.".to_owned());
        }
        let unready = self.overviews.iter().filter(|overview| !overview.ready);
        problems
            .extend(unready.map(|overview| format!("Host {} accepts no requests.", overview.host)));
        problems.extend(self.suspected_hosts());
        let below = self.services().into_iter();
        let below =
            below.filter(|capacity| capacity.in_use < capacity.minimum() || capacity.slots == 0);
        problems.extend(below.map(|capacity| {
            format!(
                "Service {} has {} of {} slots in use, below its floor of {}.",
                capacity.service,
                capacity.in_use,
                capacity.slots,
                capacity.minimum()
            )
        }));
        problems
    }

    /// Returns each service as reported by the host that counts the fewest slots in use.
    #[must_use]
    pub fn services(&self) -> Vec<Capacity> {
        let mut worst: BTreeMap<&str, &Capacity> = BTreeMap::new();
        for capacity in self
            .overviews
            .iter()
            .flat_map(|overview| &overview.services)
        {
            let kept = worst.entry(&capacity.service).or_insert(capacity);
            if capacity.in_use < kept.in_use {
                *kept = capacity;
            }
        }
        worst.into_values().cloned().collect()
    }

    /// Returns the upstreams that at least one host excludes from use.
    #[must_use]
    pub fn excluded(&self) -> Vec<Exclusion> {
        let mut excluded: BTreeMap<&str, &Exclusion> = BTreeMap::new();
        for exclusion in self
            .overviews
            .iter()
            .flat_map(|overview| &overview.excluded)
        {
            excluded.entry(&exclusion.upstream).or_insert(exclusion);
        }
        excluded.into_values().cloned().collect()
    }

    /// Returns the tenants, summed over all hosts that answered, lowest success rate first.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn tenants(&self) -> Vec<Statistics> {
        let mut sums: BTreeMap<&str, Statistics> = BTreeMap::new();
        for tenant in self.overviews.iter().flat_map(|overview| &overview.tenants) {
            match sums.get_mut(tenant.name.as_str()) {
                Some(sum) => merge(sum, tenant),
                None => {
                    sums.insert(&tenant.name, tenant.clone());
                }
            }
        }
        let mut tenants: Vec<Statistics> = sums.into_values().collect();
        for tenant in &mut tenants {
            let failed = tenant.failed.values().copied().fold(0, u64::saturating_add);
            let all = tenant.answered.saturating_add(failed);
            tenant.success = tenant.answered as f64 / all.max(1) as f64;
        }
        tenants.sort_by(|a, b| {
            let by_success = a.success.total_cmp(&b.success);
            by_success.then(b.p99_ms.total_cmp(&a.p99_ms))
        });
        tenants
    }

    /// Returns the traffic of all hosts: sums of the requests and maxima of the latencies.
    #[must_use]
    pub fn series(&self) -> Vec<Point> {
        let length = self
            .overviews
            .iter()
            .map(|overview| overview.series.len())
            .max();
        let length = length.unwrap_or_default();
        let mut sum = vec![Point::default(); length];
        for series in self.overviews.iter().map(|overview| &overview.series) {
            let offset = length - series.len();
            for (total, point) in sum[offset..].iter_mut().zip(series) {
                total.answered = total.answered.saturating_add(point.answered);
                total.failed = total.failed.saturating_add(point.failed);
                total.p50_us = total.p50_us.max(point.p50_us);
                total.p99_us = total.p99_us.max(point.p99_us);
            }
        }
        sum
    }

    /// Returns the latest events of all hosts, newest first, without duplicates.
    #[must_use]
    pub fn events(&self) -> Vec<(String, Event)> {
        let mut seen = BTreeSet::new();
        let mut events: Vec<(String, Event)> = Vec::new();
        for overview in &self.overviews {
            for event in &overview.events {
                if seen.insert((&event.subject, &event.text)) {
                    events.push((overview.host.clone(), event.clone()));
                }
            }
        }
        events.sort_by_key(|(_, event)| std::cmp::Reverse(event.at));
        events
    }

    fn suspected_hosts(&self) -> BTreeSet<String> {
        let hosts = self.overviews.iter().flat_map(|overview| &overview.hosts);
        let suspected = hosts.filter(|host| host.suspected);
        suspected
            .map(|host| {
                format!(
                    "Host {} in zone {} is suspected to have failed.",
                    host.host, host.zone
                )
            })
            .collect()
    }
}

fn merge(sum: &mut Statistics, other: &Statistics) {
    sum.answered = sum.answered.saturating_add(other.answered);
    for (code, count) in &other.failed {
        let total = sum.failed.entry(code.clone()).or_default();
        *total = total.saturating_add(*count);
    }
    sum.p50_ms = sum.p50_ms.max(other.p50_ms);
    sum.p99_ms = sum.p99_ms.max(other.p99_ms);
}

fn sentence(text: &str) -> String {
    let mut characters = text.chars();
    let first = characters.next().map(char::to_uppercase);
    first.map_or_else(String::new, |first| {
        format!("{first}{}.", characters.as_str())
    })
}
