//! Daemon settings and class declarations: parsing, validation and reference docs.
//!
//! Files are parsed into [`options::Options`] and [`declaration::DeclarationOptions`], validated,
//! and resolved into [`settings::Settings`] and [`declaration::Declaration`], which all other code
//! uses. Every finding is a typed [`Diagnostic`](jackdawpier_kernel::diagnostic::Diagnostic) with a
//! stable code from [`rules::RULES`]. [`reference`] generates `docs/SETTINGS.md`.

pub mod declaration;
pub mod loader;
pub mod options;
pub mod reference;
pub mod rules;
pub mod settings;
