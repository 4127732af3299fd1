//! Lines are written atomically. In a burst many lines were written at once, and the log collector kept
//! only the first 8,192 bytes of each write, so that lines were lost and the last one was truncated.

use std::io::{self, Write};

use jackdawpier_entry::log_writer::write_lines;

/// Maximum size of an atomic write to a pipe on all supported systems.
const ATOMIC_BYTES: usize = 4096;

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
        assert!(write.len() <= ATOMIC_BYTES, "{} bytes at once", write.len());
        assert_eq!(write.last(), Some(&b'\n'), "each write ends with a line");
    }
    let text = String::from_utf8(writes.0.concat()).expect("it is text");
    assert!(text.lines().eq(&lines), "no line is lost or changed");
}

#[test]
fn oversized_line() {
    let lines = ["short".to_owned(), "x".repeat(10_000), "short".to_owned()];
    let mut writes = Writes::default();
    write_lines(lines.iter().cloned(), &mut writes).expect("it takes all");
    let text = String::from_utf8(writes.0.concat()).expect("it is text");
    assert!(text.lines().eq(&lines), "no line is lost or changed");
}
