//! The registry in which the daemon's roles announce themselves at link time.
//!
//! A role is described by data and plain functions, resolved once at start-up; nothing on the
//! request path goes through this registry. `CONTRIBUTING.md` tells how to add one.

/// What a role of the daemon declares about itself.
#[derive(Debug)]
pub struct Plugin {
    /// Stable name of the role, as shown by `jackdawpier status`.
    pub name: &'static str,
    /// One sentence on what the role does, for the generated reference.
    pub purpose: &'static str,
    /// Prefixes of the store keys that only this role writes.
    pub store_key_prefixes: &'static [&'static str],
    /// Metrics that only this role exports, as (name, unit and meaning).
    pub metrics: &'static [MetricDoc],
}

/// Documentation of one metric.
#[derive(Debug)]
pub struct MetricDoc {
    /// Name as scraped.
    pub name: &'static str,
    /// Meaning, with the unit.
    pub help: &'static str,
}

inventory::collect!(Plugin);

/// A store prefix or a metric that two roles claim; the daemon refuses to start with one.
#[derive(Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// The contested prefix or metric.
    pub subject: &'static str,
    /// The two roles.
    pub roles: (&'static str, &'static str),
}

/// Returns the registered roles in the order of their names, which linking does not change.
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name);
    all
}

/// Returns every store prefix or metric that more than one of `plugins` claims.
pub fn name_conflicts(plugins: &[&'static Plugin]) -> Vec<NameConflict> {
    let claims: Vec<(&'static str, &'static str)> = plugins
        .iter()
        .flat_map(|plugin| {
            let metrics = plugin.metrics.iter().map(|metric| metric.name);
            plugin.store_key_prefixes.iter().copied().chain(metrics).map(|s| (s, plugin.name))
        })
        .collect();
    let mut found = Vec::new();
    for (index, (subject, role)) in claims.iter().enumerate() {
        for (other, other_role) in &claims[index + 1..] {
            if subject == other {
                found.push(NameConflict { subject, roles: (role, other_role) });
            }
        }
    }
    found
}
