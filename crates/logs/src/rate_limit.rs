//! Rate limits for log lines, per event and second.

use model::Map;

/// Limits the lines of each event in fixed windows of one second.
///
/// Lines beyond the limit are suppressed and counted. The count is returned with the next admitted
/// line of the same event.
#[derive(Debug, Default)]
pub struct RateLimiter {
    windows: Map<String, Window>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// The second in which `lines` were admitted.
    second: u64,
    lines: u32,
    /// Lines suppressed since the last admitted line, over any number of seconds.
    suppressed: u64,
}

/// Whether a line is written or suppressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The line is written.
    Write {
        /// The lines of this event that were suppressed since the last written one.
        suppressed: u64,
    },
    /// The line is suppressed because its event has reached the limit for this second.
    Suppress,
}

impl RateLimiter {
    /// Decides whether a line of `event` is written in `second`.
    ///
    /// At most `limit` lines of an event are admitted in one second.
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
