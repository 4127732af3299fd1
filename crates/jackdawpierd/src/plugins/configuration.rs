//! The configuration role.

use jackdawpier_kernel::plugin::{MetricDoc, Plugin};

inventory::submit! {
    Plugin {
        name: "configuration",
        purpose: "Keeps the newest class declarations in force at every live entry.",
        store_key_prefixes: &["coord/config/"],
        metrics: &[MetricDoc {
            name: "jackdawpier_revision",
            help: "Highest revision of a document in force here.",
        }],
    }
}
