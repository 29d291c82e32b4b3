//! How many lines of a kind may be written in a second.

use model::Map;

/// Lines of each kind beyond a number a second are left out and counted.
#[derive(Debug, Default)]
pub struct RateLimiter {
    windows: Map<String, Window>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    suppressed: u64,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is; so many of its kind were left out since the last one.
    Write {
        /// How many.
        suppressed: u64,
    },
    /// It is left out.
    Suppress,
}

impl RateLimiter {
    /// Decides about a line of a kind in a second of which at most `most` are written.
    pub fn admit(&mut self, event: &str, second: u64, limit: u32) -> Admission {
        if !self.windows.contains_key(event) {
            self.windows.insert(event.to_owned(), Window::default());
        }
        let Some(window) = self.windows.get_mut(event) else {
            return Admission::Write { suppressed: 0 };
        };
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= limit {
            window.suppressed += 1;
            return Admission::Suppress;
        }
        window.lines += 1;
        let suppressed = std::mem::take(&mut window.suppressed);
        Admission::Write { suppressed }
    }
}
