//! Registry of the rules: one file per rule, in a folder for the kind of file that it checks.
//!
//! A rule's module documentation is its user page, which [`crate::reference`] copies into
//! `docs/SETTINGS.md`. `CONTRIBUTING.md` describes how to add a rule.

pub mod declaration;
pub mod settings;

use jackdawpier_kernel::diagnostic::{Diagnostic, Position};
use serde_saphyr::{Location, Spanned};

use crate::{declaration::DeclarationOptions, options::Options};

/// Metadata of a rule.
#[derive(Debug, Clone, Copy)]
pub struct Rule {
    /// Stable code, such as `JP001`.
    pub code: &'static str,
    /// Short name, the same as the file name.
    pub name: &'static str,
    /// Source text of the rule's file; its module documentation is the user page.
    pub source: &'static str,
}

impl Rule {
    /// Returns a finding of this rule.
    pub fn finding(
        &self,
        file: &str,
        position: Position,
        field: String,
        message: String,
        suggestion: String,
    ) -> Diagnostic {
        let file = file.to_owned();
        Diagnostic { code: self.code, file, position, field, message, suggestion }
    }
}

/// Collects the findings in one file.
#[derive(Debug)]
pub struct Checker<'a> {
    file: &'a str,
    findings: Vec<Diagnostic>,
}

impl Checker<'_> {
    /// Adds a finding: the value at `at` violates `rule`.
    pub fn report<T>(
        &mut self,
        rule: &Rule,
        at: &Spanned<T>,
        field: &str,
        message: impl Into<String>,
        suggestion: impl Into<String>,
    ) {
        let position = position(&at.referenced);
        self.findings.push(rule.finding(
            self.file,
            position,
            field.to_owned(),
            message.into(),
            suggestion.into(),
        ));
    }
}

fn position(at: &Location) -> Position {
    Position { line: at.line(), column: at.column() }
}

macro_rules! registry {
    ($($constant:ident = $code:literal, $folder:literal / $name:literal;)*) => {
        $(
            #[doc = concat!("Rule ", $code, ", documented in its own file.")]
            pub const $constant: Rule = Rule {
                code: $code,
                name: $name,
                source: include_str!(concat!("rules/", $folder, "/", $name, ".rs")),
            };
        )*
        /// All rules, sorted by code.
        pub const RULES: &[Rule] = &[$($constant),*];
    };
}

registry! {
    SHAPE = "JP001", "settings" / "shape";
    SAME_ADDRESS = "JP002", "settings" / "same_address";
    ISOLATION_LIMIT = "JP003", "settings" / "isolation_limit";
    ADDRESS = "JP004", "settings" / "address";
    EMPTY_NAME = "JP005", "settings" / "empty_name";
    LOG_LEVEL = "JP006", "settings" / "log_level";
    MESSAGE_SIZE = "JP007", "settings" / "message_size";
    DUPLICATE_CLASS = "JP101", "declaration" / "duplicate_class";
    FORBIDDEN_KEY = "JP102", "declaration" / "forbidden_key";
    ZERO_TARGET = "JP103", "declaration" / "zero_target";
    CLASS_NAME = "JP104", "declaration" / "class_name";
    LOSS_ABOVE_CAPACITY = "JP105", "declaration" / "loss_above_capacity";
}

/// Checks a settings file against all rules except those that the parser applies.
pub fn check_options(file: &str, options: &Options) -> Vec<Diagnostic> {
    let mut checker = Checker { file, findings: Vec::new() };
    settings::address::check(options, &mut checker);
    settings::empty_name::check(options, &mut checker);
    settings::isolation_limit::check(options, &mut checker);
    settings::log_level::check(options, &mut checker);
    settings::message_size::check(options, &mut checker);
    settings::same_address::check(options, &mut checker);
    checker.findings
}

/// Checks a declaration against all rules except those that the parser applies.
pub fn check_declaration(file: &str, options: &DeclarationOptions) -> Vec<Diagnostic> {
    let mut checker = Checker { file, findings: Vec::new() };
    declaration::class_name::check(options, &mut checker);
    declaration::duplicate_class::check(options, &mut checker);
    declaration::loss_above_capacity::check(options, &mut checker);
    declaration::zero_target::check(options, &mut checker);
    checker.findings
}
