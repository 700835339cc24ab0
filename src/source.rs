//! Reading JSON with comments into typed values, with every fault pointing at its line.

use std::{borrow, fmt, fs, net, path, str, time};

use jsonc_parser::ast;
use jsonc_parser::common::Ranged as _;

use crate::error::{self, Error};
use crate::result_code::ResultCode;

/// The largest input file, in bytes; the platform holds values up to a megabyte.
pub const MAX_SOURCE_BYTES: u64 = 1_000_000;

/// The most faults reported for one input.
const MAX_PROBLEMS: usize = 100;

/// Deepest nesting of an input, so that a hostile file cannot exhaust the stack.
const MAX_DEPTH: usize = 32;

/// A file's name and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceText {
    /// The name shown in diagnostics.
    pub name: String,
    /// The whole text.
    pub text: String,
}

impl SourceText {
    /// Reads a file of at most [`MAX_SOURCE_BYTES`].
    ///
    /// # Errors
    /// `FileUnreadable` when it cannot be read or is larger.
    pub fn from_file(file: &path::Path) -> error::Result<Self> {
        let unreadable = |detail: String| {
            Error::with_code(
                ResultCode::FileUnreadable,
                format!("{}: {detail}", file.display()),
            )
        };
        let length = fs::metadata(file)
            .map_err(|fault| unreadable(fault.to_string()))?
            .len();
        if length > MAX_SOURCE_BYTES {
            return Err(unreadable(format!("larger than {MAX_SOURCE_BYTES} bytes")));
        }
        let text = fs::read_to_string(file).map_err(|fault| unreadable(fault.to_string()))?;
        Ok(Self {
            name: file.display().to_string(),
            text,
        })
    }
}

/// Where a value stands: the index of its file and its byte range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SourceSpan {
    /// Index into the list of [`SourceText`]s.
    pub file: usize,
    /// First byte.
    pub start: usize,
    /// One past the last byte.
    pub end: usize,
}

/// One fault in an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceProblem {
    /// The numbered code.
    pub code: ResultCode,
    /// What is wrong, with the offending name or value.
    pub message: String,
    /// Where it stands; `None` for input that came without text.
    pub span: Option<SourceSpan>,
}

impl fmt::Display for SourceProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.message)
    }
}

/// An input that was refused as a whole, with all its faults.
#[derive(Debug, thiserror::Error)]
#[error("{} fault(s): {}", problems.len(), first_problem(problems))]
pub struct RejectedInput {
    /// The texts that the spans point into; empty for input without text.
    pub sources: Vec<SourceText>,
    /// At least one fault.
    pub problems: Vec<SourceProblem>,
}

fn first_problem(problems: &[SourceProblem]) -> String {
    problems
        .first()
        .map_or_else(String::new, ToString::to_string)
}

impl RejectedInput {
    /// The code of the first fault.
    #[must_use]
    pub fn first_code(&self) -> ResultCode {
        self.problems
            .first()
            .map_or(ResultCode::SyntaxInvalid, |problem| problem.code)
    }

    /// One `miette` report for each fault, pointing at its line.
    #[must_use]
    pub fn reports(&self) -> Vec<miette::Report> {
        self.problems
            .iter()
            .map(|problem| self.report(problem))
            .collect()
    }

    fn report(&self, problem: &SourceProblem) -> miette::Report {
        let diagnostic = miette::MietteDiagnostic::new(problem.message.clone())
            .with_code(problem.code.to_string())
            .with_help(problem.code.advice());
        let Some(span) = problem.span else {
            return miette::Report::new(diagnostic);
        };
        let Some(source) = self.sources.get(span.file) else {
            return miette::Report::new(diagnostic);
        };
        let label = miette::LabeledSpan::at(span.start..span.end, problem.code.text());
        miette::Report::new(diagnostic.with_label(label))
            .with_source_code(miette::NamedSource::new(&source.name, source.text.clone()))
    }

    /// The 1-based line of a fault, if it has one.
    #[must_use]
    pub fn line_of(&self, problem: &SourceProblem) -> Option<usize> {
        let span = problem.span?;
        let text = &self.sources.get(span.file)?.text;
        let before = text.as_bytes().get(..span.start)?;
        Some(1 + before.split(|&byte| byte == b'\n').count() - 1)
    }
}

/// Collects faults while an input is read.
#[derive(Debug, Default)]
pub struct ProblemList {
    problems: Vec<SourceProblem>,
}

impl ProblemList {
    /// Records a fault; past a hundred they are dropped, the first ones matter.
    pub fn push(&mut self, code: ResultCode, message: impl Into<String>, span: Option<SourceSpan>) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(SourceProblem {
                code,
                message: message.into(),
                span,
            });
        }
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// `Ok` when nothing was found, otherwise all faults together.
    ///
    /// # Errors
    /// `Rejected` with every fault.
    pub fn into_result(self, sources: &[SourceText]) -> error::Result<()> {
        if self.problems.is_empty() {
            return Ok(());
        }
        let input = RejectedInput {
            sources: sources.to_vec(),
            problems: self.problems,
        };
        Err(Error::Rejected(Box::new(input)))
    }
}

/// Parses one text and hands its top object to `read`.
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

fn nesting_depth(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

/// Reads the fields of one object; what is not read is an unknown field.
#[derive(Debug)]
pub struct ObjectReader<'r, 't> {
    file: usize,
    object: &'r ast::Object<'t>,
    problems: &'r mut ProblemList,
    read: Vec<&'static str>,
}

impl<'r, 't> ObjectReader<'r, 't> {
    fn new(file: usize, object: &'r ast::Object<'t>, problems: &'r mut ProblemList) -> Self {
        Self {
            file,
            object,
            problems,
            read: Vec::new(),
        }
    }

    /// Where the whole object stands.
    #[must_use]
    pub fn span(&self) -> SourceSpan {
        span_of(self.file, self.object.range)
    }

    fn field(&mut self, name: &'static str) -> Option<&'r ast::Value<'t>> {
        self.read.push(name);
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

    /// Records a fault at a value of this object.
    pub fn fault(&mut self, code: ResultCode, message: impl Into<String>) {
        let span = self.span();
        self.problems.push(code, message, Some(span));
    }

    fn fault_at(&mut self, value: &ast::Value<'_>, code: ResultCode, message: String) {
        let span = span_of(self.file, value.range());
        self.problems.push(code, message, Some(span));
    }

    /// A required string; empty when it was faulty.
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

    /// A required whole number within `range`.
    pub fn integer(&mut self, name: &'static str, range: std::ops::RangeInclusive<u32>) -> u32 {
        let value = self.required(name);
        self.as_integer(name, value, &range)
            .unwrap_or(*range.start())
    }

    /// An optional whole number within `range`.
    pub fn optional_integer(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = self.field(name);
        self.as_integer(name, value, &range)
    }

    fn as_integer(
        &mut self,
        name: &str,
        value: Option<&ast::Value<'_>>,
        range: &std::ops::RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = value?;
        let ast::Value::NumberLit(literal) = value else {
            self.fault_at(
                value,
                ResultCode::TypeWrong,
                format!("`{name}` must be a whole number"),
            );
            return None;
        };
        let number = literal
            .value
            .parse::<u32>()
            .ok()
            .filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!("`{name}` must lie in {}..={}", range.start(), range.end());
            self.fault_at(value, ResultCode::ValueOutOfRange, message);
        }
        number
    }

    /// An optional share between 0 and 1.
    pub fn optional_share(&mut self, name: &'static str) -> Option<f64> {
        self.optional_number(name, 0.0..=1.0)
    }

    /// An optional number within `range`.
    pub fn optional_number(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<f64>,
    ) -> Option<f64> {
        let value = self.field(name)?;
        let ast::Value::NumberLit(literal) = value else {
            self.fault_at(
                value,
                ResultCode::TypeWrong,
                format!("`{name}` must be a number"),
            );
            return None;
        };
        let number = literal
            .value
            .parse::<f64>()
            .ok()
            .filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!("`{name}` must lie in {}..={}", range.start(), range.end());
            self.fault_at(value, ResultCode::ValueOutOfRange, message);
        }
        number
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

    /// A required duration such as `"250ms"`.
    pub fn duration(&mut self, name: &'static str) -> time::Duration {
        // Only one fault for one value: the stand-in passes every range check.
        const FAULTY: time::Duration = time::Duration::from_secs(1);
        let value = self.required(name);
        self.as_duration(name, value).unwrap_or(FAULTY)
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
        let duration = duration_from_text(&text);
        if duration.is_none() {
            let message = format!("`{name}` is {text:?}; a duration needs a unit: ms, s, m or h");
            self.fault_at(value, ResultCode::UnitWrong, message);
        }
        duration
    }

    /// A required value that has a text form, such as an address.
    pub fn parsed<T: str::FromStr>(&mut self, name: &'static str, what: &str) -> Option<T> {
        let value = self.required(name)?;
        self.as_parsed(name, value, what)
    }

    /// An optional value that has a text form.
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

    /// A required socket address; `0.0.0.0:0` when it was faulty.
    pub fn address(&mut self, name: &'static str) -> net::SocketAddr {
        const NOWHERE: net::SocketAddr =
            net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);
        self.parsed(name, "IP:PORT").unwrap_or(NOWHERE)
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

    /// An optional list of objects; empty when absent.
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

    /// An optional list of values with a text form, such as addresses.
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
            if !self.read.contains(&name) {
                self.problems.push(
                    ResultCode::FieldUnknown,
                    format!("field `{name}` is unknown"),
                    span,
                );
            }
            if seen.contains(&name) {
                self.problems.push(
                    ResultCode::NameDuplicate,
                    format!("field `{name}` stands twice"),
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

/// Reads a duration with its unit, to the millisecond; `None` without one.
///
/// ```
/// use std::time;
/// use ledgespool::source;
/// assert_eq!(source::duration_from_text("2s"), Some(time::Duration::from_secs(2)));
/// assert_eq!(source::duration_from_text("2.5s"), Some(time::Duration::from_millis(2_500)));
/// assert_eq!(source::duration_from_text("2"), None);
/// ```
#[must_use]
pub fn duration_from_text(text: &str) -> Option<time::Duration> {
    const MAX_HOURS: f64 = 24.0 * 365.0;
    let is_digit = |character: char| character.is_ascii_digit() || character == '.';
    let digits = text.find(|character| !is_digit(character))?;
    let (number, unit) = text.split_at(digits);
    let number = number.parse::<f64>().ok()?;
    let scale = match unit {
        "ms" => 1.0,
        "s" => 1_000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return None,
    };
    let millis = number * scale;
    // The limit keeps the figure far inside the range of whole numbers.
    (millis <= MAX_HOURS * 3_600_000.0).then(|| time::Duration::from_millis(millis.round() as u64))
}
