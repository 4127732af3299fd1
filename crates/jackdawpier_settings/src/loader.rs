//! Parses and validates files; invalid ones give diagnostics with positions.

use jackdawpier_kernel::diagnostic::{Diagnostic, Position};
use serde::de::DeserializeOwned;

use crate::{
    declaration::{Declaration, DeclarationOptions},
    options::Options,
    rules::{self, FORBIDDEN_KEY, SHAPE},
    settings::Settings,
};

/// Prefixes of words in keys that would bypass the targets.
const FORBIDDEN_PREFIXES: [&str; 3] = ["weight", "address", "host"];
/// Whole words in keys that would bypass the targets; as prefixes they would match harmless words.
const FORBIDDEN_WORDS: [&str; 5] = ["ip", "ips", "port", "ports", "instances"];
/// Maximum size of a declaration or settings file; bounds the memory that a hostile file can use.
pub const MAX_FILE_BYTES: usize = 512 * 1024;
/// Maximum size of a resolved declaration as JSON, so that it fits into one store record.
pub const MAX_RESOLVED_BYTES: usize = 1008 * 1024;

/// Parses and validates the daemon's settings. `file` is the name shown in findings.
pub fn load_settings(file: &str, text: &str) -> Result<Settings, Vec<Diagnostic>> {
    let options: Options = parse(file, text).map_err(|finding| vec![*finding])?;
    let findings = rules::check_options(file, &options);
    if findings.is_empty() { Ok(options.resolve()) } else { Err(findings) }
}

/// Parses and validates a declaration. `file` is the name shown in findings.
pub fn load_declaration(file: &str, text: &str) -> Result<Declaration, Vec<Diagnostic>> {
    let options: DeclarationOptions = parse(file, text).map_err(|finding| vec![*finding])?;
    let findings = rules::check_declaration(file, &options);
    if !findings.is_empty() {
        return Err(findings);
    }
    let declaration = options.resolve();
    check_resolved_size(file, &declaration).map_err(|finding| vec![*finding])?;
    Ok(declaration)
}

/// Checks the size of a resolved declaration, which defaults and YAML aliases can make larger than
/// its file. If only the store rejected it on write, the outcome of the change would be unknown.
fn check_resolved_size(file: &str, declaration: &Declaration) -> Result<(), Box<Diagnostic>> {
    let size = serde_json::to_string(declaration).expect("declarations are plain data").len();
    if size <= MAX_RESOLVED_BYTES {
        return Ok(());
    }
    let message = format!("with its defaults and aliases the declaration has {size} bytes");
    let suggestion =
        format!("at most {MAX_RESOLVED_BYTES} bytes; split the classes over several deployments");
    let at = Position::default();
    Err(Box::new(SHAPE.finding(file, at, "classes".to_owned(), message, suggestion)))
}

fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Box<Diagnostic>> {
    if text.len() > MAX_FILE_BYTES {
        let message = format!("the file has {} bytes", text.len());
        let suggestion = format!("at most {MAX_FILE_BYTES} bytes");
        let at = Position::default();
        return Err(Box::new(SHAPE.finding(file, at, String::new(), message, suggestion)));
    }
    serde_saphyr::from_str(text).map_err(|error| Box::new(shape_finding(file, &error)))
}

fn shape_finding(file: &str, error: &serde_saphyr::Error) -> Diagnostic {
    let position = error
        .location()
        .map(|at| Position { line: at.line(), column: at.column() })
        .unwrap_or_default();
    let rendered = error.without_snippet().to_string();
    let message = rendered.lines().next().unwrap_or("not readable").to_owned();
    match find_forbidden_key(&message) {
        Some(key) => FORBIDDEN_KEY.finding(
            file,
            position,
            key.to_owned(),
            "operators drive the system by targets per class, never by weights or instance addresses"
                .to_owned(),
            "remove the key and state a target (capacity_instances, may_lose_instances, \
             finish_within_ms, ceilings)"
                .to_owned(),
        ),
        None => SHAPE.finding(
            file,
            position,
            String::new(),
            message,
            "use only the keys and units of docs/SETTINGS.md".to_owned(),
        ),
    }
}

/// Returns the unknown key named in a parser error, if it would bypass the targets.
fn find_forbidden_key(message: &str) -> Option<&str> {
    let (_, rest) = message.split_once("unknown field `")?;
    let (key, _) = rest.split_once('`')?;
    let is_forbidden = |word: &str| {
        FORBIDDEN_PREFIXES.iter().any(|prefix| word.starts_with(prefix))
            || FORBIDDEN_WORDS.contains(&word)
    };
    key.split('_').any(is_forbidden).then_some(key)
}
