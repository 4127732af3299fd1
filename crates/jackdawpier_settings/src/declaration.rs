//! Class declarations: the targets that operators set for the system.
//!
//! A declaration holds targets only. A weight or an instance address is rejected (rule JP102). The
//! daily pattern of demand is learned, so it isn't declared.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::ids::{ClassName, ServiceName};
use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;

/// One declaration file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclarationOptions {
    /// Name of the deployment, which is also the name of the stored document.
    pub deployment: Spanned<String>,
    /// Classes of work.
    pub classes: Vec<ClassOptions>,
    /// Limits for the whole deployment.
    #[serde(default)]
    pub ceilings: CeilingOptions,
}

/// One class as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassOptions {
    /// Name of the class: the first segment of the request path.
    pub name: Spanned<String>,
    /// Service whose executors do the work.
    pub service: Spanned<String>,
    /// Kind of work.
    pub kind: WorkKind,
    /// Whether a request may safely run twice.
    #[serde(default)]
    pub idempotent: bool,
    /// Time within which work of this class must finish.
    pub finish_within_ms: Spanned<u64>,
    /// Number of instances that the class needs at peak demand.
    pub capacity_instances: Spanned<u32>,
    /// Number of instances by which the class may fall short of its need; 0 when absent.
    #[serde(default)]
    pub may_lose_instances: Option<Spanned<u32>>,
    /// Largest failure domain whose loss the class must survive.
    #[serde(default)]
    pub survive: FailureDomain,
}

/// Preferred limits of a deployment, as targets.
#[derive(Debug, Default, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct CeilingOptions {
    /// Maximum number of instances that are released, and so join again, in a day. Moves that a
    /// class's target requires aren't limited.
    pub moves_per_day: Option<u32>,
    /// Target number of spare instances; a surplus is released promptly. Instances needed to
    /// survive the worst failure domain are kept regardless.
    pub buffer_instances: Option<u32>,
}

/// Kinds of work, by how the caller waits for the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// Interactive: the caller waits and expects an immediate answer.
    Quick,
    /// The caller waits for an expensive answer until its deadline.
    Report,
    /// The work is queued durably and may be delayed.
    Refresh,
}

/// Failure domains, smallest first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum FailureDomain {
    /// One instance.
    #[default]
    Instance,
    /// All instances of one rack.
    Rack,
    /// All racks behind one switch.
    Switch,
    /// A whole availability zone.
    Zone,
}

/// Resolved declaration, as stored and as applied by every entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// Name of the deployment.
    pub deployment: String,
    /// Classes, sorted by name.
    pub classes: Vec<Class>,
    /// Limits for the whole deployment.
    pub ceilings: CeilingOptions,
}

/// One resolved class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: ClassName,
    /// Service whose executors do the work.
    pub service: ServiceName,
    /// Kind of work.
    pub kind: WorkKind,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Time within which work must finish, in milliseconds.
    pub finish_within_ms: u64,
    /// Number of instances needed at peak demand.
    pub capacity_instances: u32,
    /// Number of instances by which the class may fall short of its need.
    pub may_lose_instances: u32,
    /// Failure domain whose loss the class must survive.
    pub survive: FailureDomain,
}

impl Class {
    /// Time within which work must finish.
    pub fn finish_within(&self) -> Duration {
        Duration::from_millis(self.finish_within_ms)
    }
}

impl Declaration {
    /// Returns the class named `name`.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.name == name)
    }
}

impl DeclarationOptions {
    /// Resolves the declaration. Must only be called if [`crate::rules::check_declaration`] reported
    /// no findings.
    pub fn resolve(&self) -> Declaration {
        let mut classes: Vec<Class> = self.classes.iter().map(ClassOptions::resolve).collect();
        classes.sort_by(|a, b| a.name.cmp(&b.name));
        Declaration {
            deployment: self.deployment.value.clone(),
            classes,
            ceilings: self.ceilings.clone(),
        }
    }
}

impl ClassOptions {
    fn resolve(&self) -> Class {
        Class {
            name: Arc::from(self.name.value.as_str()),
            service: Arc::from(self.service.value.as_str()),
            kind: self.kind,
            idempotent: self.idempotent,
            finish_within_ms: self.finish_within_ms.value,
            capacity_instances: self.capacity_instances.value,
            may_lose_instances: self.may_lose_instances.as_ref().map_or(0, |count| count.value),
            survive: self.survive,
        }
    }
}
