//! In a burst the log lost decisions: a group of lines was written at once, of which the collector kept
//! the first 8,192 bytes. All 15 gaps of one day began there, in the middle of a line:
//!
//! ```text
//! 21.1083 {"at_ms":1788601705083,"confirmed":true,"crashes":1,"entry":"edge-hal-noord{"at_ms":1788601705111, ...
//! ```

use std::io::{self, Write};

use jackdawpier_entry::log_writer::write_lines;

/// What a pipe takes as a whole on every system that we run on.
const WHOLE_BYTES: usize = 4096;

#[derive(Default)]
struct Writes(Vec<Vec<u8>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn whole_lines() {
    let lines: Vec<String> = (0..200).map(|number| "x".repeat(100 + number)).collect();
    let mut writes = Writes::default();
    write_lines(lines.iter().cloned(), &mut writes).expect("it takes all");
    for write in &writes.0 {
        assert!(write.len() <= WHOLE_BYTES, "{} bytes at once", write.len());
        assert_eq!(write.last(), Some(&b'\n'), "each write ends with a line");
    }
    let text = String::from_utf8(writes.0.concat()).expect("it is text");
    assert!(text.lines().eq(&lines), "no line is lost or changed");
}

#[test]
fn longer_line() {
    let lines = ["short".to_owned(), "x".repeat(10_000), "short".to_owned()];
    let mut writes = Writes::default();
    write_lines(lines.iter().cloned(), &mut writes).expect("it takes all");
    let text = String::from_utf8(writes.0.concat()).expect("it is text");
    assert!(text.lines().eq(&lines), "no line is lost or changed");
}
