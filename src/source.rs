//! Input texts, the faults found in them, and the report of a fault at its line.

use std::{fmt, fs, path, time};

use crate::error::{self, Error};
use crate::result_code::ResultCode;

/// The largest input file, in bytes; the platform stores values of up to a megabyte.
pub const MAX_SOURCE_BYTES: u64 = 1_000_000;

/// The most faults that are reported for one input.
const MAX_PROBLEMS: usize = 100;

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

/// The position of a value: the index of its file and its byte range.
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
    /// What is wrong, with the faulty name or value.
    pub message: String,
    /// The position; `None` for input that has no text.
    pub span: Option<SourceSpan>,
}

impl fmt::Display for SourceProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.message)
    }
}

/// An input that was rejected as a whole, with all its faults.
#[derive(Debug, thiserror::Error)]
#[error("{} fault(s): {}", problems.len(), first_problem(problems))]
pub struct RejectedInput {
    /// The texts that the spans refer to; empty for input without text.
    pub sources: Vec<SourceText>,
    /// The faults, at least one.
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

    /// One `miette` report per fault, pointing at its line.
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
    /// Records a fault. Faults beyond the first hundred are dropped, since later ones add little.
    pub fn push(&mut self, code: ResultCode, message: impl Into<String>, span: Option<SourceSpan>) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(SourceProblem {
                code,
                message: message.into(),
                span,
            });
        }
    }

    /// Whether no fault was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// `Ok` if no fault was recorded, otherwise an error with all of them.
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

/// Parses a duration with a unit, rounded to the millisecond; `None` without a unit.
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
    // The limit keeps the value within the range of `u64`.
    (millis <= MAX_HOURS * 3_600_000.0).then(|| time::Duration::from_millis(millis.round() as u64))
}
