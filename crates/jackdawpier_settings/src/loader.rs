//! From the text of a file to checked values, or to diagnostics with positions.

use jackdawpier_kernel::diagnostic::{Diagnostic, Position};
use serde::de::DeserializeOwned;

use crate::{
    declaration::{Declaration, DeclarationOptions},
    options::Options,
    rules::{self, FORBIDDEN_KEY, SHAPE},
    settings::Settings,
};

/// Beginnings of words in a key that try to steer the system past its targets.
const FORBIDDEN_STEMS: [&str; 3] = ["weight", "address", "host"];
/// The same where longer words would be harmless.
const FORBIDDEN_WORDS: [&str; 5] = ["ip", "ips", "port", "ports", "instances"];
/// Largest declaration or settings file, so that a hostile one costs bounded memory.
pub const MAX_FILE_BYTES: usize = 512 * 1024;
/// Largest declaration once resolved, as JSON, so that one record of the store holds it.
pub const MAX_RESOLVED_BYTES: usize = 1008 * 1024;

/// Parses and checks the daemon's settings; `file` is the name to show in findings.
pub fn load_settings(file: &str, text: &str) -> Result<Settings, Vec<Diagnostic>> {
    let options: Options = parse(file, text).map_err(|finding| vec![*finding])?;
    let findings = rules::check_options(file, &options);
    if findings.is_empty() { Ok(options.resolve()) } else { Err(findings) }
}

/// Parses and checks a declaration; `file` is the name to show in findings.
pub fn load_declaration(file: &str, text: &str) -> Result<Declaration, Vec<Diagnostic>> {
    let options: DeclarationOptions = parse(file, text).map_err(|finding| vec![*finding])?;
    let findings = rules::check_declaration(file, &options);
    if !findings.is_empty() {
        return Err(findings);
    }
    let declaration = options.resolve();
    check_resolved(file, &declaration).map_err(|finding| vec![*finding])?;
    Ok(declaration)
}

/// Defaults and aliases make a declaration longer than its file. The store would refuse it only
/// when it is written, and then nobody could say whether it is in force.
fn check_resolved(file: &str, declaration: &Declaration) -> Result<(), Box<Diagnostic>> {
    let length = serde_json::to_string(declaration).expect("declarations are plain data").len();
    if length <= MAX_RESOLVED_BYTES {
        return Ok(());
    }
    let message = format!("with its defaults and aliases the declaration has {length} bytes");
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
    match forbidden_key(&message) {
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

/// Returns the unknown key that the parser named, if it is one that would bypass the targets.
fn forbidden_key(message: &str) -> Option<&str> {
    let (_, rest) = message.split_once("unknown field `")?;
    let (key, _) = rest.split_once('`')?;
    let is_forbidden = |word: &str| {
        FORBIDDEN_STEMS.iter().any(|stem| word.starts_with(stem)) || FORBIDDEN_WORDS.contains(&word)
    };
    key.split('_').any(is_forbidden).then_some(key)
}
