//! `jackdawpier plan`: shows what a declaration would change.

use std::collections::BTreeMap;

use jackdawpier_settings::{
    declaration::{Class, Declaration},
    loader::load_declaration,
};
use serde_json::json;

use crate::{
    args::{Common, Output},
    client::Client,
    exit_status::{ExitStatus, Failure},
    render,
};

/// Current document of a deployment.
pub(crate) struct CurrentDocument {
    pub(crate) revision: u64,
    pub(crate) declaration: Option<Declaration>,
}

/// A target that would change.
struct TargetChange {
    class: String,
    target: &'static str,
    before: String,
    after: String,
}

/// Reads and validates a declaration file. Returns its text and the declaration.
pub(crate) fn read_declaration(file: &str) -> Result<(String, Declaration), Failure> {
    let text = std::fs::read_to_string(file).map_err(|error| Failure::BadInput {
        findings: format!("{file}: {error}\nnext: give a readable declaration file"),
    })?;
    let declaration = load_declaration(file, &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Failure::BadInput { findings: lines.join("\n") }
    })?;
    Ok((text, declaration))
}

/// Fetches the current document of a deployment.
pub(crate) fn fetch_current(client: &Client, deployment: &str) -> Result<CurrentDocument, Failure> {
    let answer = client.get(&format!("/v1/config/{deployment}"))?;
    if answer.status == 404 {
        return Ok(CurrentDocument { revision: 0, declaration: None });
    }
    let revision = answer.body["revision"].as_u64().unwrap_or(0);
    let declaration = serde_json::from_value(answer.body["declaration"].clone())
        .map_err(|error| Failure::InvalidAnswer { detail: error.to_string() })?;
    Ok(CurrentDocument { revision, declaration: Some(declaration) })
}

/// Returns the targets of a class by name.
fn class_targets(class: &Class) -> [(&'static str, String); 7] {
    [
        ("service", class.service.to_string()),
        ("kind", format!("{:?}", class.kind).to_lowercase()),
        ("idempotent", class.idempotent.to_string()),
        ("finish_within_ms", class.finish_within_ms.to_string()),
        ("capacity_instances", class.capacity_instances.to_string()),
        ("may_lose_instances", class.may_lose_instances.to_string()),
        ("survive", format!("{:?}", class.survive).to_lowercase()),
    ]
}

/// Returns the values of all targets by class and target name.
fn target_values(declaration: &Declaration) -> BTreeMap<(String, &'static str), String> {
    let classes = declaration.classes.iter().flat_map(|class| {
        class_targets(class).map(|(target, value)| ((class.name.to_string(), target), value))
    });
    let ceilings = &declaration.ceilings;
    let ceiling_text = |value: Option<u32>| value.map_or_else(|| "-".to_owned(), |v| v.to_string());
    let deployment = [
        ("moves_per_day", ceiling_text(ceilings.moves_per_day)),
        ("buffer_instances", ceiling_text(ceilings.buffer_instances)),
    ];
    let ceilings = deployment.map(|(target, value)| (("(ceilings)".to_owned(), target), value));
    classes.chain(ceilings).collect()
}

/// Returns the targets that differ between two declarations.
fn diff(before: Option<&Declaration>, after: &Declaration) -> Vec<TargetChange> {
    let before = before.map(target_values).unwrap_or_default();
    let after = target_values(after);
    let keys: std::collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let value = |map: &BTreeMap<(String, &'static str), String>, key: &(String, &'static str)| {
        map.get(key).cloned().unwrap_or_else(|| "-".to_owned())
    };
    keys.into_iter()
        .map(|key| TargetChange {
            class: key.0.clone(),
            target: key.1,
            before: value(&before, key),
            after: value(&after, key),
        })
        .filter(|change| change.before != change.after)
        .collect()
}

/// Prints what would change; the exit status is [`ExitStatus::Changes`] if anything would.
pub(crate) fn run(client: &Client, common: &Common, file: &str) -> Result<ExitStatus, Failure> {
    let (_, declaration) = read_declaration(file)?;
    let current = fetch_current(client, &declaration.deployment)?;
    let changes = diff(current.declaration.as_ref(), &declaration);
    if common.output == Output::Json {
        let rows: Vec<_> = changes
            .iter()
            .map(|c| json!({"class": c.class, "target": c.target, "before": c.before, "after": c.after}))
            .collect();
        println!("{}", json!({"base": current.revision, "changes": rows}));
    } else if changes.is_empty() {
        println!(
            "no change: {} is in force as revision {}",
            declaration.deployment, current.revision
        );
    } else {
        let mut table = render::empty_table(&["class", "target", "in force", "planned"]);
        for change in &changes {
            table.add_row([&change.class, change.target, &change.before, &change.after]);
        }
        println!(
            "{table}\nbase revision: {} (apply with --base {})",
            current.revision, current.revision
        );
    }
    Ok(if changes.is_empty() { ExitStatus::Success } else { ExitStatus::Changes })
}
