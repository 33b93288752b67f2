//! Header fields in the order received. Names are compared case-insensitively.

use std::{collections::BTreeSet, fmt};

/// One header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field<'a> {
    /// The name in its original case.
    pub name: &'a str,
    /// The value without surrounding white space; not necessarily UTF-8.
    pub value: &'a [u8],
}

/// Returns whether a name can be the value of a field: it is not empty, and arrives as it was sent (RFC 9110, section 5.5).
pub fn is_value(name: &[u8]) -> bool {
    let is_blank = |byte: Option<&u8>| byte.is_none_or(|byte| matches!(byte, b' ' | b'\t'));
    !is_blank(name.first()) && !is_blank(name.last()) && !has_controls(name)
}

/// Returns whether bytes contain control characters other than tabs.
pub(crate) fn has_controls(bytes: &[u8]) -> bool {
    bytes.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t')
}

/// Returns whether a line, without its ending, is a field.
pub(crate) fn is_field(line: &[u8]) -> bool {
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    colon > 0 && line[..colon].iter().all(is_token) && !has_controls(&line[colon..])
}

/// Header fields of a message. They share one buffer, since a head may consist of thousands of short fields.
#[derive(Clone, Default)]
pub struct Fields {
    /// Names, each of which is followed by its value. What belongs to a field that was removed stays.
    text: Vec<u8>,
    entries: Vec<Entry>,
}

/// Where a field stands.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Beginning of the name, which is UTF-8.
    name: u32,
    /// End of the name and beginning of the value.
    value: u32,
    /// End of the value.
    end: u32,
}

impl Fields {
    /// Creates fields with room for `count` of them, with `bytes` of names and values.
    pub(crate) fn with_capacity(count: usize, bytes: usize) -> Self {
        Self { text: Vec::with_capacity(bytes), entries: Vec::with_capacity(count) }
    }

    /// Returns how much memory the fields take, in bytes.
    pub fn memory(&self) -> usize {
        self.text.capacity() + self.entries.capacity() * size_of::<Entry>()
    }

    fn name(&self, entry: &Entry) -> &[u8] {
        &self.text[entry.name as usize..entry.value as usize]
    }

    fn field(&self, entry: &Entry) -> Field<'_> {
        Field {
            name: std::str::from_utf8(self.name(entry)).unwrap_or_default(),
            value: &self.text[entry.value as usize..entry.end as usize],
        }
    }

    /// Iterates over the values of a field.
    fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let is_named = move |entry: &&Entry| self.name(entry).eq_ignore_ascii_case(name.as_bytes());
        self.entries.iter().filter(is_named).map(|entry| self.field(entry).value)
    }

    /// Returns the first UTF-8 value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// Returns all UTF-8 values of a field.
    pub fn all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.values(name).filter_map(|value| std::str::from_utf8(value).ok())
    }

    /// Returns the whole value of a field, also if it stands in several lines (RFC 9110, section 5.3). Bytes that are not UTF-8 are
    /// replaced.
    pub fn combined(&self, name: &str) -> Option<String> {
        let values: Vec<&[u8]> = self.values(name).collect();
        (!values.is_empty()).then(|| String::from_utf8_lossy(&values.join(&b", "[..])).into_owned())
    }

    /// Returns how often a field occurs, including values that are not UTF-8.
    pub fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl AsRef<str>, value: impl AsRef<[u8]>) {
        let at = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        let start = at(self.text.len());
        self.text.extend_from_slice(name.as_ref().as_bytes());
        let value_start = at(self.text.len());
        self.text.extend_from_slice(value.as_ref());
        self.entries.push(Entry { name: start, value: value_start, end: at(self.text.len()) });
    }

    /// Replaces all fields of this name by one.
    pub fn set(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields of this name.
    pub fn remove(&mut self, name: &str) {
        let Self { text, entries } = self;
        let name_of = |entry: &Entry| &text[entry.name as usize..entry.value as usize];
        entries.retain(|entry| !name_of(entry).eq_ignore_ascii_case(name.as_bytes()));
    }

    /// Returns whether a comma-separated field contains a token, compared case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Removes hop-by-hop fields: the standard ones and those listed in `Connection`.
    pub fn strip_hop_by_hop(&mut self) {
        let listed = self.all("connection").flat_map(|value| value.split(','));
        let listed = listed.map(|token| token.trim().to_ascii_lowercase());
        let names: BTreeSet<String> = listed.chain(HOP_BY_HOP.map(str::to_owned)).collect();
        let Self { text, entries } = self;
        entries.retain(|entry| {
            let name = &text[entry.name as usize..entry.value as usize];
            std::str::from_utf8(name).is_ok_and(|name| !names.contains(&name.to_ascii_lowercase()))
        });
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = Field<'_>> {
        self.entries.iter().map(|entry| self.field(entry))
    }
}

impl PartialEq for Fields {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl Eq for Fields {}

impl fmt::Debug for Fields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}

/// Fields that a proxy must not forward (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
