//! Header fields in the order in which they came.

/// One header field. Names are compared without regard to case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name as it came.
    pub name: Box<str>,
    /// The value without the white space around it.
    pub value: Box<[u8]>,
}

/// All header fields of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.0.push(Header {
            name: name.into(),
            value: value.as_ref().into(),
        });
    }

    /// All values of a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| &*header.value)
    }

    /// The first value of a name.
    pub fn first(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| &*header.value)
    }

    /// The first value of a name as text; none where it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.first(name)?).ok()
    }

    /// How often a name occurs.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// Whether one of the comma-separated words of a name's values is `word`.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        let mut words = self.words(name);
        words.any(|found| found.eq_ignore_ascii_case(word))
    }

    /// The comma-separated words of a name's values.
    pub fn words<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|text| text.split(','))
            .map(str::trim)
            .filter(|word| !word.is_empty())
    }

    /// Writes the fields as they stand in a message.
    pub fn write(&self, out: &mut Vec<u8>) {
        for header in &self.0 {
            write_field(out, &header.name, &header.value);
        }
    }
}

/// Writes one field.
pub(crate) fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
