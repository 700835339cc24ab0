//! Reads JSON with comments into typed values, field by field, and reports every fault with its
//! position.

use std::{borrow, fmt, net, ops, str, time};

use jsonc_parser::ast;
use jsonc_parser::common::Ranged as _;

use crate::error::{self, Error};
use crate::result_code::ResultCode;
use crate::source::{self, ProblemList, SourceSpan, SourceText};

/// The expected type of integer fields, for error messages.
const WHOLE_NUMBER: &str = "a whole number";

/// The deepest nesting of an input; without this limit a hostile file could exhaust the stack.
const MAX_DEPTH: usize = 32;

/// Parses one text and hands its top object to `read`; `None` when it holds none.
///
/// ```
/// use ledgespool::{object_reader, source};
/// let text = source::SourceText {
///     name: "settings.jsonc".to_owned(),
///     text: "{ \"workers\": 2 } // two".to_owned(),
/// };
/// let mut problems = source::ProblemList::default();
/// let workers = object_reader::read_object(0, &text, &mut problems, |reader| {
///     reader.integer("workers", 1..=64)
/// });
/// assert_eq!(workers, Some(2));
/// ```
pub fn read_object<'t, T>(
    file: usize,
    source: &'t SourceText,
    problems: &mut ProblemList,
    read: impl FnOnce(&mut ObjectReader<'_, 't>) -> T,
) -> Option<T> {
    if nesting_depth(&source.text) > MAX_DEPTH {
        problems.push(ResultCode::SyntaxInvalid, "nested too deeply", None);
        return None;
    }
    let parsed = jsonc_parser::parse_to_ast(
        &source.text,
        &jsonc_parser::CollectOptions::default(),
        &jsonc_parser::ParseOptions::default(),
    );
    let value = match parsed {
        Ok(result) => result.value,
        Err(fault) => {
            let range = fault.range();
            let span = SourceSpan {
                file,
                start: range.start,
                end: range.end,
            };
            problems.push(ResultCode::SyntaxInvalid, fault.to_string(), Some(span));
            return None;
        }
    };
    let Some(ast::Value::Object(object)) = value else {
        problems.push(ResultCode::TypeWrong, "the file must hold one object", None);
        return None;
    };
    let mut reader = ObjectReader::new(file, &object, problems);
    let result = read(&mut reader);
    reader.finish();
    Some(result)
}

/// Reads a source that holds one object; any fault rejects the whole source.
///
/// # Errors
/// `Rejected` with every fault.
pub fn read_whole<'t, T>(
    source: &'t SourceText,
    read: impl FnOnce(&mut ObjectReader<'_, 't>) -> T,
) -> error::Result<T> {
    let mut problems = ProblemList::default();
    let value = read_object(0, source, &mut problems, read);
    problems.into_result(std::slice::from_ref(source))?;
    value.ok_or_else(|| Error::with_code(ResultCode::SyntaxInvalid, source.name.clone()))
}

fn nesting_depth(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut max_depth = 0;
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        max_depth = max_depth.max(depth);
    }
    max_depth
}

/// Reads the fields of one object; a field that was not read is reported as unknown.
#[derive(Debug)]
pub struct ObjectReader<'r, 't> {
    file: usize,
    object: &'r ast::Object<'t>,
    problems: &'r mut ProblemList,
    fields_read: Vec<&'static str>,
}

impl<'r, 't> ObjectReader<'r, 't> {
    fn new(file: usize, object: &'r ast::Object<'t>, problems: &'r mut ProblemList) -> Self {
        Self {
            file,
            object,
            problems,
            fields_read: Vec::new(),
        }
    }

    /// The position of the whole object.
    #[must_use]
    pub fn span(&self) -> SourceSpan {
        span_of(self.file, self.object.range)
    }

    fn field(&mut self, name: &'static str) -> Option<&'r ast::Value<'t>> {
        self.fields_read.push(name);
        let object = self.object;
        object
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)
            .map(|property| &property.value)
            .filter(|value| !matches!(value, ast::Value::NullKeyword(_)))
    }

    fn required(&mut self, name: &'static str) -> Option<&'r ast::Value<'t>> {
        let value = self.field(name);
        if value.is_none() {
            let span = self.span();
            self.problems.push(
                ResultCode::FieldMissing,
                format!("field `{name}` is required"),
                Some(span),
            );
        }
        value
    }

    /// Records a fault that concerns this object as a whole.
    pub fn fault(&mut self, code: ResultCode, message: impl Into<String>) {
        let span = self.span();
        self.problems.push(code, message, Some(span));
    }

    fn fault_at(&mut self, value: &ast::Value<'_>, code: ResultCode, message: String) {
        let span = span_of(self.file, value.range());
        self.problems.push(code, message, Some(span));
    }

    /// A required string; empty if it was faulty.
    pub fn string(&mut self, name: &'static str) -> String {
        let value = self.required(name);
        self.as_string(name, value).unwrap_or_default()
    }

    /// An optional string.
    pub fn optional_string(&mut self, name: &'static str) -> Option<String> {
        let value = self.field(name);
        self.as_string(name, value)
    }

    fn as_string(&mut self, name: &str, value: Option<&ast::Value<'_>>) -> Option<String> {
        match value? {
            ast::Value::StringLit(literal) => Some(literal.value.to_string()),
            other => {
                self.fault_at(
                    other,
                    ResultCode::TypeWrong,
                    format!("`{name}` must be a string"),
                );
                None
            }
        }
    }

    /// A required integer within `range`.
    pub fn integer(&mut self, name: &'static str, range: ops::RangeInclusive<u32>) -> u32 {
        let value = self.required(name);
        let number = value.and_then(|value| self.number_within(name, value, &range, WHOLE_NUMBER));
        number.unwrap_or(*range.start())
    }

    /// An optional integer within `range`.
    pub fn optional_integer(
        &mut self,
        name: &'static str,
        range: ops::RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = self.field(name)?;
        self.number_within(name, value, &range, WHOLE_NUMBER)
    }

    fn number_within<T: str::FromStr + PartialOrd + fmt::Display>(
        &mut self,
        name: &str,
        value: &ast::Value<'_>,
        range: &ops::RangeInclusive<T>,
        what: &str,
    ) -> Option<T> {
        let ast::Value::NumberLit(literal) = value else {
            let message = format!("`{name}` must be {what}");
            self.fault_at(value, ResultCode::TypeWrong, message);
            return None;
        };
        let number = literal.value.parse::<T>().ok();
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!("`{name}` must lie in {}..={}", range.start(), range.end());
            self.fault_at(value, ResultCode::ValueOutOfRange, message);
        }
        number
    }

    /// An optional number between 0 and 1.
    pub fn optional_share(&mut self, name: &'static str) -> Option<f64> {
        self.optional_number(name, 0.0..=1.0)
    }

    /// An optional number within `range`.
    pub fn optional_number(
        &mut self,
        name: &'static str,
        range: ops::RangeInclusive<f64>,
    ) -> Option<f64> {
        let value = self.field(name)?;
        self.number_within(name, value, &range, "a number")
    }

    /// A required boolean.
    pub fn boolean(&mut self, name: &'static str) -> bool {
        match self.required(name) {
            Some(ast::Value::BooleanLit(literal)) => literal.value,
            Some(other) => {
                self.fault_at(
                    other,
                    ResultCode::TypeWrong,
                    format!("`{name}` must be true or false"),
                );
                false
            }
            None => false,
        }
    }

    /// An optional boolean.
    pub fn optional_boolean(&mut self, name: &'static str) -> Option<bool> {
        self.field(name)?;
        Some(self.boolean(name))
    }

    /// A required duration such as `"250ms"`.
    pub fn duration(&mut self, name: &'static str) -> time::Duration {
        // The placeholder passes every range check, so that one value reports only one fault.
        const PLACEHOLDER: time::Duration = time::Duration::from_secs(1);
        let value = self.required(name);
        self.as_duration(name, value).unwrap_or(PLACEHOLDER)
    }

    /// An optional duration.
    pub fn optional_duration(&mut self, name: &'static str) -> Option<time::Duration> {
        let value = self.field(name);
        self.as_duration(name, value)
    }

    fn as_duration(
        &mut self,
        name: &str,
        value: Option<&ast::Value<'_>>,
    ) -> Option<time::Duration> {
        let value = value?;
        let text: borrow::Cow<'_, str> = match value {
            ast::Value::StringLit(literal) => borrow::Cow::Borrowed(&literal.value),
            ast::Value::NumberLit(literal) => borrow::Cow::Borrowed(literal.value),
            other => {
                self.fault_at(
                    other,
                    ResultCode::TypeWrong,
                    format!("`{name}` must be a duration"),
                );
                return None;
            }
        };
        let duration = source::duration_from_text(&text);
        if duration.is_none() {
            let message = format!("`{name}` is {text:?}; a duration needs a unit: ms, s, m or h");
            self.fault_at(value, ResultCode::UnitWrong, message);
        }
        duration
    }

    /// A required value that is parsed from a string, such as an address.
    pub fn parsed<T: str::FromStr>(&mut self, name: &'static str, what: &str) -> Option<T> {
        let value = self.required(name)?;
        self.as_parsed(name, value, what)
    }

    /// An optional value that is parsed from a string.
    pub fn optional_parsed<T: str::FromStr>(
        &mut self,
        name: &'static str,
        what: &str,
    ) -> Option<T> {
        let value = self.field(name)?;
        self.as_parsed(name, value, what)
    }

    fn as_parsed<T: str::FromStr>(
        &mut self,
        name: &str,
        value: &ast::Value<'_>,
        what: &str,
    ) -> Option<T> {
        let text = self.as_string(name, Some(value))?;
        let parsed = text.parse::<T>().ok();
        if parsed.is_none() {
            let message = format!("`{name}` is {text:?}, not {what}");
            self.fault_at(value, ResultCode::AddressInvalid, message);
        }
        parsed
    }

    /// A required socket address; `0.0.0.0:0` if it was faulty.
    pub fn address(&mut self, name: &'static str) -> net::SocketAddr {
        const PLACEHOLDER: net::SocketAddr =
            net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);
        self.parsed(name, "IP:PORT").unwrap_or(PLACEHOLDER)
    }

    /// An optional nested object.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut ObjectReader<'_, 't>) -> T,
    ) -> Option<T> {
        let value = self.field(name)?;
        self.nested(name, value, read)
    }

    fn nested<T>(
        &mut self,
        name: &str,
        value: &'r ast::Value<'t>,
        read: impl FnOnce(&mut ObjectReader<'_, 't>) -> T,
    ) -> Option<T> {
        let ast::Value::Object(object) = value else {
            self.fault_at(
                value,
                ResultCode::TypeWrong,
                format!("`{name}` must be an object"),
            );
            return None;
        };
        let mut reader = ObjectReader::new(self.file, object, self.problems);
        let result = read(&mut reader);
        reader.finish();
        Some(result)
    }

    /// An optional list of objects; empty if absent.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&mut ObjectReader<'_, 't>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.field(name) else {
            return Vec::new();
        };
        let ast::Value::Array(array) = value else {
            self.fault_at(
                value,
                ResultCode::TypeWrong,
                format!("`{name}` must be a list"),
            );
            return Vec::new();
        };
        array
            .elements
            .iter()
            .filter_map(|element| self.nested(name, element, &mut read))
            .collect()
    }

    /// An optional list of values that are parsed from strings, such as addresses.
    pub fn parsed_list<T: str::FromStr>(&mut self, name: &'static str, what: &str) -> Vec<T> {
        let Some(value) = self.field(name) else {
            return Vec::new();
        };
        let ast::Value::Array(array) = value else {
            self.fault_at(
                value,
                ResultCode::TypeWrong,
                format!("`{name}` must be a list"),
            );
            return Vec::new();
        };
        let mut items = Vec::new();
        for element in &array.elements {
            let Some(text) = self.as_string(name, Some(element)) else {
                continue;
            };
            if let Ok(item) = text.parse::<T>() {
                items.push(item);
            } else {
                let message = format!("`{name}` holds {text:?}, not {what}");
                self.fault_at(element, ResultCode::AddressInvalid, message);
            }
        }
        items
    }

    fn finish(self) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let span = Some(span_of(self.file, property.range));
            if !self.fields_read.contains(&name) {
                self.problems.push(
                    ResultCode::FieldUnknown,
                    format!("field `{name}` is unknown"),
                    span,
                );
            }
            if seen.contains(&name) {
                self.problems.push(
                    ResultCode::NameDuplicate,
                    format!("field `{name}` appears twice"),
                    span,
                );
            }
            seen.push(name);
        }
    }
}

fn span_of(file: usize, range: jsonc_parser::common::Range) -> SourceSpan {
    SourceSpan {
        file,
        start: range.start,
        end: range.end,
    }
}
