//! Writes the reference pages that come from the code, or checks that they are current.

use std::{fs, io, path::Path};

use jackdawpier_settings::reference;

/// The generated pages as (path, text).
pub fn pages() -> Vec<(&'static str, String)> {
    vec![("docs/SETTINGS.md", reference::settings_page())]
}

/// Writes every page below `root`.
pub fn write(root: &Path) -> io::Result<()> {
    pages().iter().try_for_each(|(path, text)| fs::write(root.join(path), text))
}

/// Returns the pages below `root` that differ from the code.
pub fn stale(root: &Path) -> Vec<&'static str> {
    pages()
        .into_iter()
        .filter(|(path, text)| fs::read_to_string(root.join(path)).ok().as_ref() != Some(text))
        .map(|(path, _)| path)
        .collect()
}
