//! The capacity role; its cell is `cells/~capacity/`, among those of the routing role.

use jackdawpier_kernel::plugin::Plugin;

inventory::submit! {
    Plugin {
        name: "capacity",
        purpose: "Keeps the pools' targets and carries maintenance waves through.",
        store_key_prefixes: &[],
        metrics: &[],
    }
}
