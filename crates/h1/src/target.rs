//! Request targets that contain names of others, which may hold any byte.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};

/// All but the unreserved characters (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// A path with a query, encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Creates a target without a query. The path is taken as it is.
    pub fn new(path: &str) -> Self {
        Self { text: path.into(), has_query: false }
    }

    /// Appends a segment to the path. There must be no query yet.
    #[must_use]
    pub fn segment(mut self, name: impl AsRef<[u8]>) -> Self {
        self.text.push('/');
        self.push_encoded(name.as_ref());
        self
    }

    /// Appends a parameter to the query. The name is taken as it is.
    #[must_use]
    pub fn parameter(mut self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        self.push_encoded(value.as_ref());
        self
    }

    fn push_encoded(&mut self, bytes: &[u8]) {
        self.text.extend(percent_encode(bytes, RESERVED));
    }
}

impl From<Target> for String {
    fn from(target: Target) -> Self {
        target.text
    }
}
