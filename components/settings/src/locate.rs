//! Finds the place in a YAML text to which a path of keys leads.

use saphyr::{LoadableYamlNode, MarkedYaml, ScanError, YamlData};

/// One step down from a YAML node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Into the value of a key.
    Key(String),
    /// Into an item of a sequence.
    Item(usize),
}

/// A YAML text whose nodes know where they stand.
pub struct Located<'a> {
    text: &'a str,
    documents: Vec<MarkedYaml<'a>>,
}

impl<'a> Located<'a> {
    /// Parses `text`.
    ///
    /// # Errors
    /// The scanner's, where `text` is not YAML.
    pub fn parse(text: &'a str) -> Result<Self, ScanError> {
        let documents = MarkedYaml::load_from_str(text)?;
        Ok(Self { text, documents })
    }

    /// Byte offset and length of the key or item that `path` names, or of the deepest part of it
    /// that exists.
    pub fn span(&self, path: &[Step]) -> (usize, usize) {
        let Some(mut node) = self.documents.first() else {
            return (0, 0);
        };
        let mut found = (0, 0);
        for step in path {
            match (step, &node.data) {
                (Step::Key(key), YamlData::Mapping(entries)) => {
                    let entry = entries
                        .iter()
                        .find(|(name, _)| name.data.as_str() == Some(key.as_str()));
                    let Some((name, value)) = entry else {
                        return found;
                    };
                    let start =
                        byte_offset(self.text, name.span.start.line(), name.span.start.col());
                    found = (start, key.len());
                    node = value;
                }
                (Step::Item(index), YamlData::Sequence(items)) => {
                    let Some(item) = items.get(*index) else {
                        return found;
                    };
                    let start =
                        byte_offset(self.text, item.span.start.line(), item.span.start.col());
                    found = (start, line_rest(self.text, start));
                    node = item;
                }
                _ => return found,
            }
        }
        found
    }
}

/// Byte offset of a one-based line and a zero-based column in characters.
pub fn byte_offset(text: &str, line: usize, column: usize) -> usize {
    let line_start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    let in_line: usize = text[line_start..]
        .chars()
        .take(column)
        .map(char::len_utf8)
        .sum();
    (line_start + in_line).min(text.len())
}

fn line_rest(text: &str, start: usize) -> usize {
    text[start..].find('\n').unwrap_or(text.len() - start)
}

#[cfg(test)]
#[path = "locate_tests.rs"]
mod tests;
