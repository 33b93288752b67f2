//! Header fields in the order received. Names are compared case-insensitively.

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name in its original case.
    pub name: String,
    /// The value without surrounding white space; not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// Header fields of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

impl Fields {
    /// Returns the first UTF-8 value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// Returns all UTF-8 values of a field.
    pub fn all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
    }

    /// Returns how often a field occurs, including values that are not UTF-8.
    pub fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|field| field.name.eq_ignore_ascii_case(name)).count()
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push(Field { name: name.into(), value: value.into() });
    }

    /// Replaces all fields of this name by one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields of this name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// Returns whether a comma-separated field contains a token, compared case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Removes hop-by-hop fields: the standard ones and those listed in `Connection`.
    pub fn strip_hop_by_hop(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_owned())
            .collect();
        for name in HOP_BY_HOP.iter().copied().chain(named.iter().map(String::as_str)) {
            self.remove(name);
        }
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Field> {
        self.0.iter()
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
