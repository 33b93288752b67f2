//! Header fields in the order in which they came.

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name as it was spelled; compared without case.
    pub name: String,
    /// The value's bytes, without surrounding white space.
    pub value: Vec<u8>,
}

/// The fields of a head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

impl Fields {
    /// The first value of a field, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// Every value of a field that is text.
    pub fn all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
    }

    /// How often a field stands in the head, readable or not.
    pub fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|field| field.name.eq_ignore_ascii_case(name)).count()
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push(Field { name: name.into(), value: value.into() });
    }

    /// Replaces all fields of a name by one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Drops all fields of a name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// Whether a comma-separated field holds a token, without case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Drops the fields that concern one connection only: the standard ones and those that
    /// `Connection` names.
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

    /// The fields in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Field> {
        self.0.iter()
    }
}

/// Fields that end at the next hop (RFC 9110, section 7.6.1).
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
