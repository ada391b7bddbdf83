//! Lines out of a stream of bytes: JSON lines between nodes, events from engines.

/// Longest line that is taken, in bytes. A prompt travels in one line.
pub const LINE_LIMIT: usize = 16 * 1024 * 1024;

/// A line was longer than the limit; the stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line is longer than {limit} bytes")]
pub struct LineTooLong {
    /// The limit.
    pub limit: usize,
}

/// Gathers bytes and hands out whole lines.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    searched: usize,
    limit: usize,
}

impl Default for LineBuffer {
    fn default() -> Self {
        Self::new(LINE_LIMIT)
    }
}

impl LineBuffer {
    /// An empty buffer for lines of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { bytes: Vec::new(), searched: 0, limit }
    }

    /// Adds bytes and appends the lines that are whole now, without their ends.
    pub fn push(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), LineTooLong> {
        self.bytes.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = self.bytes[self.searched..].iter().position(|it| *it == b'\n') {
            let end = self.searched + length;
            let line = &self.bytes[start..end];
            lines.push(line.strip_suffix(b"\r").unwrap_or(line).to_vec());
            start = end + 1;
            self.searched = start;
        }
        self.bytes.drain(..start);
        self.searched = self.bytes.len();
        if self.bytes.len() > self.limit {
            return Err(LineTooLong { limit: self.limit });
        }
        Ok(())
    }
}

/// The payload of a line of server-sent events, if it carries any.
pub fn event_data(line: &[u8]) -> Option<&[u8]> {
    let data = line.strip_prefix(b"data:")?;
    Some(data.strip_prefix(b" ").unwrap_or(data))
}
