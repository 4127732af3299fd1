//! Link-time registry of the daemon's roles.
//!
//! The registry is read once at start-up and isn't used on the request path. `CONTRIBUTING.md`
//! describes how to add a role.

/// Description of a role of the daemon.
#[derive(Debug)]
pub struct Plugin {
    /// Stable name of the role, as shown by `jackdawpier status`.
    pub name: &'static str,
    /// One sentence on what the role does, for the generated reference.
    pub purpose: &'static str,
    /// Prefixes of the store keys that only this role writes.
    pub store_key_prefixes: &'static [&'static str],
    /// Metrics that only this role exports.
    pub metrics: &'static [MetricDoc],
}

/// Documentation of one metric.
#[derive(Debug)]
pub struct MetricDoc {
    /// Name of the metric as exported.
    pub name: &'static str,
    /// Meaning, with the unit.
    pub help: &'static str,
}

inventory::collect!(Plugin);

/// A store key prefix or metric that two roles declare; it prevents the daemon from starting.
#[derive(Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// The prefix or metric.
    pub subject: &'static str,
    /// Names of the two roles.
    pub roles: (&'static str, &'static str),
}

/// Returns the registered roles sorted by name, so that the order doesn't depend on linking.
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>.into_iter().collect();
    all.sort_by_key(|plugin| plugin.name);
    all
}

/// Returns a conflict for each pair of `plugins` that declare the same store key prefix or metric.
pub fn name_conflicts(plugins: &[&'static Plugin]) -> Vec<NameConflict> {
    let declared_names: Vec<(&'static str, &'static str)> = plugins
        .iter()
        .flat_map(|plugin| {
            let metrics = plugin.metrics.iter().map(|metric| metric.name);
            plugin.store_key_prefixes.iter().copied().chain(metrics).map(|s| (s, plugin.name))
        })
        .collect();
    let mut conflicts = Vec::new();
    for (index, (subject, role)) in declared_names.iter().enumerate() {
        for (other, other_role) in &declared_names[index + 1..] {
            if subject == other {
                conflicts.push(NameConflict { subject, roles: (role, other_role) });
            }
        }
    }
    conflicts
}
