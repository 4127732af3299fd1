//! The jobs role; its records share the cells of the routing role.

use jackdawpier_kernel::plugin::{MetricDoc, Plugin};

inventory::submit! {
    Plugin {
        name: "jobs",
        purpose: "Keeps refresh jobs durable and places them on workers under leases.",
        store_key_prefixes: &[],
        metrics: &[MetricDoc {
            name: "jackdawpier_parked_jobs",
            help: "Jobs that need an operator, by service.",
        }],
    }
}
