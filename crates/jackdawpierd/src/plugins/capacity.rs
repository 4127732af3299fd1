//! The capacity role; its cell is `cells/~capacity/`, among those of the routing role.

use jackdawpier_kernel::plugin::{MetricDoc, Plugin};

inventory::submit! {
    Plugin {
        name: "capacity",
        purpose: "Keeps the pools' targets and carries maintenance waves through.",
        store_key_prefixes: &[],
        metrics: &[
            MetricDoc {
                name: "jackdawpier_pool_margin",
                help: "Instances beyond what the pool's target asks for after the loss of its \
                       worst failure domain; negative if it is not kept. Shown by the holder.",
            },
            MetricDoc {
                name: "jackdawpier_pool_buffer",
                help: "Instances of the pool beyond its need. Shown by the holder.",
            },
            MetricDoc { name: "jackdawpier_wave_out", help: "Instances out for maintenance." },
            MetricDoc { name: "jackdawpier_wave_stopped", help: "1 while the wave stopped itself." },
            MetricDoc {
                name: "jackdawpier_moves",
                help: "Instances moved since this entry took the capacity role.",
            },
        ],
    }
}
