//! Class declarations: the targets through which operators drive the system.
//!
//! A declaration holds targets only; a weight or an instance address is refused with the reason
//! (rule JP102). The day's pattern of demand is learned and therefore not declared.

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
    /// The classes of work.
    pub classes: Vec<ClassOptions>,
    /// Ceilings for the whole deployment.
    #[serde(default)]
    pub ceilings: CeilingOptions,
}

/// One class as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassOptions {
    /// Name of the class, which callers put first in the path.
    pub name: Spanned<String>,
    /// The service whose executors do the work.
    pub service: Spanned<String>,
    /// What kind of work it is.
    pub kind: WorkKind,
    /// Whether running a request twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Time within which work of this class must finish.
    pub finish_within_ms: Spanned<u64>,
    /// Instances that the class needs at its peak.
    pub capacity_instances: Spanned<u32>,
    /// Instances by which it may fall short of its need.
    #[serde(default)]
    pub may_lose_instances: Option<Spanned<u32>>,
    /// The largest failure domain whose loss it must survive.
    #[serde(default)]
    pub survive: FailureDomain,
}

/// Ceilings that say what a deployment prefers, as targets.
#[derive(Debug, Default, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct CeilingOptions {
    /// Most instances that are given up, and so join again, in a day. What keeps a target is moved
    /// all the same.
    pub moves_per_day: Option<u32>,
    /// Spare instances aimed at: a surplus is given up promptly. What survives the worst failure
    /// domain is held all the same.
    pub buffer_instances: Option<u32>,
}

/// Kinds of work, by how a caller waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// The caller waits and expects an instant answer.
    Quick,
    /// The caller waits for a heavy answer until its deadline.
    Report,
    /// The work is queued durably and may wait.
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

/// The resolved declaration, as stored and as every entry applies it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// Name of the deployment.
    pub deployment: String,
    /// The classes, in the order of their names.
    pub classes: Vec<Class>,
    /// Ceilings for the whole deployment.
    pub ceilings: CeilingOptions,
}

/// One resolved class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: ClassName,
    /// The service whose executors do the work.
    pub service: ServiceName,
    /// What kind of work it is.
    pub kind: WorkKind,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Time within which work must finish, in milliseconds.
    pub finish_within_ms: u64,
    /// Instances needed at the peak.
    pub capacity_instances: u32,
    /// Instances by which it may fall short.
    pub may_lose_instances: u32,
    /// Failure domain whose loss it survives.
    pub survive: FailureDomain,
}

impl Class {
    /// Time within which work must finish.
    pub fn finish_within(&self) -> Duration {
        Duration::from_millis(self.finish_within_ms)
    }
}

impl Declaration {
    /// Returns the class called `name`.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.name == name)
    }
}

impl DeclarationOptions {
    /// Resolves the declaration; call it only after the rules found nothing.
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
