//! Statements and their parser.

use std::{collections::BTreeMap, fmt};

use drumusher_log::config::{Change, Kind, Value, Verb};
use winnow::{
    Parser,
    ascii::{Caseless, float, multispace0, multispace1},
    combinator::{alt, cut_err, eof, opt, preceded, repeat, separated, terminated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    token::{take_till, take_while},
};

/// A table that `show` lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Running requests.
    Running,
    /// Waiting requests.
    Waiting,
    /// Model engines.
    Engines,
    /// Backend servers of plain services.
    Services,
    /// Request classes.
    Classes,
    /// Workspaces.
    Workspaces,
    /// Instances.
    Instances,
    /// The configuration version in force.
    Config,
    /// The latest commands and their verdicts.
    Log,
    /// Quarantined requests, which crash backend servers.
    Quarantine,
    /// Limits, back-off periods and departures that backend servers announced.
    Notices,
}

/// Comparison operator of a `where` condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
}

/// A condition of a `where` clause.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Column.
    pub column: String,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Value to compare with.
    pub value: Value,
}

/// Clauses that select rows of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Column to sort by, and whether in descending order.
    pub order: Option<(String, bool)>,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// List the selected rows of a table.
    Show(Table, Selection),
    /// Explain a request, by its ID.
    Request(String),
    /// Change the configuration.
    Change(Change),
    /// Replace the API key of a workspace; if a version is given, only while the configuration has it.
    RotateKey(String, Option<u64>),
    /// Release a request from quarantine, by its digest.
    Release(String),
}

/// Syntax error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Byte offset.
    pub at: usize,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}: expected {}", self.at, self.expected)
    }
}

impl std::error::Error for Error {}

type Result<T> = winnow::Result<T, ErrMode<ContextError>>;

/// Parses one statement.
///
/// # Errors
///
/// The position of the first syntax error, and what was expected there.
pub fn parse(text: &str) -> std::result::Result<Statement, Error> {
    let whole = (multispace0, statement, multispace0, cut_err(eof).context(expected("the end")));
    whole.map(|(_, statement, _, _)| statement).parse(text).map_err(|error| {
        let mut words = error.inner().context().filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        });
        let expected = words.next().unwrap_or_else(|| "a statement".into());
        Error { at: error.offset(), expected }
    })
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn statement(input: &mut &str) -> Result<Statement> {
    let verbs = "show, create, set, drop, drain, undrain, rotate or release";
    alt((show, change, drain, rotate, release)).context(expected(verbs)).parse_next(input)
}

fn keyword<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    (Caseless(text), multispace0).void()
}

fn symbol<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    (text, multispace0).void()
}

/// Whether `c` may occur in a name, an address or a number.
fn is_token_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_./:".contains(c)
}

fn token<'a>(input: &mut &'a str) -> Result<&'a str> {
    terminated(take_while(1.., is_token_char), multispace0).parse_next(input)
}

fn name(input: &mut &str) -> Result<String> {
    token.map(String::from).context(expected("a name")).parse_next(input)
}

fn number(input: &mut &str) -> Result<u64> {
    let digits = take_while(1.., |c: char| c.is_ascii_digit()).parse_to::<u64>();
    terminated(digits, multispace0).context(expected("a number")).parse_next(input)
}

fn show(input: &mut &str) -> Result<Statement> {
    (Caseless("show"), multispace1).parse_next(input)?;
    let request = preceded(keyword("request"), cut_err(name)).map(Statement::Request);
    let listing = (table, selection).map(|(table, selection)| Statement::Show(table, selection));
    let tables = "running, waiting, engines, services, classes, workspaces, instances, config, \
                  log, quarantine, notices or request";
    cut_err(alt((request, listing))).context(expected(tables)).parse_next(input)
}

fn table(input: &mut &str) -> Result<Table> {
    alt((
        keyword("running").value(Table::Running),
        keyword("waiting").value(Table::Waiting),
        keyword("engines").value(Table::Engines),
        keyword("services").value(Table::Services),
        keyword("classes").value(Table::Classes),
        keyword("workspaces").value(Table::Workspaces),
        keyword("instances").value(Table::Instances),
        keyword("config").value(Table::Config),
        // `alt` takes at most nine parsers, so the last ones are nested.
        alt((
            keyword("log").value(Table::Log),
            keyword("quarantine").value(Table::Quarantine),
            keyword("notices").value(Table::Notices),
        )),
    ))
    .parse_next(input)
}

fn selection(input: &mut &str) -> Result<Selection> {
    let conditions = opt(preceded(keyword("where"), cut_err(conditions))).parse_next(input)?;
    let mut order = opt(preceded((keyword("order"), cut_err(keyword("by"))), cut_err(order)));
    let order = order.parse_next(input)?;
    let limit = opt(preceded(keyword("limit"), cut_err(number))).parse_next(input)?;
    Ok(Selection {
        conditions: conditions.unwrap_or_default(),
        order,
        limit: limit.map(|limit| limit as usize),
    })
}

fn conditions(input: &mut &str) -> Result<Vec<Condition>> {
    separated(1.., condition, keyword("and")).parse_next(input)
}

fn condition(input: &mut &str) -> Result<Condition> {
    let (column, comparison, value) =
        (name, cut_err(comparison), cut_err(value)).parse_next(input)?;
    Ok(Condition { column, comparison, value })
}

fn comparison(input: &mut &str) -> Result<Comparison> {
    alt((
        symbol("!=").value(Comparison::Unequal),
        symbol("<=").value(Comparison::AtMost),
        symbol(">=").value(Comparison::AtLeast),
        symbol("=").value(Comparison::Equal),
        symbol("<").value(Comparison::Less),
        symbol(">").value(Comparison::Greater),
    ))
    .context(expected("=, !=, <, <=, > or >="))
    .parse_next(input)
}

fn order(input: &mut &str) -> Result<(String, bool)> {
    let direction = opt(alt((keyword("desc").value(true), keyword("asc").value(false))));
    (name, direction)
        .map(|(column, descending)| (column, descending.unwrap_or(false)))
        .parse_next(input)
}

fn value(input: &mut &str) -> Result<Value> {
    alt((quoted, quantity, flag, token.map(|token| Value::Text(token.into()))))
        .context(expected(
            "a number with an optional unit (ms, s, m), true, false, a word or a quoted text",
        ))
        .parse_next(input)
}

fn quoted(input: &mut &str) -> Result<Value> {
    let inside = take_till(0.., ['"', '\n']).map(|text: &str| Value::Text(text.into()));
    let closing = cut_err(("\"", multispace0)).context(expected("a closing quote"));
    (opening_quote, inside, closing).map(|(_, value, _)| value).parse_next(input)
}

fn opening_quote(input: &mut &str) -> Result<()> {
    "\"".void().parse_next(input)
}

/// A number, converted to milliseconds if it has a unit of time. A token that merely starts like a number,
/// such as a name or an address, is rejected.
fn quantity(input: &mut &str) -> Result<Value> {
    let mut converted = token.verify_map(|token: &str| {
        let digits = token.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let factor = match &token[digits.len()..] {
            "" | "ms" => 1.0,
            "s" => 1_000.0,
            "m" => 60_000.0,
            _ => return None,
        };
        let mut rest = digits;
        let number: f64 = float::<_, f64, ContextError>.parse_next(&mut rest).ok()?;
        (rest.is_empty() && number.is_finite()).then_some(Value::Number(number * factor))
    });
    converted.parse_next(input)
}

fn flag(input: &mut &str) -> Result<Value> {
    let mut converted = token.verify_map(|token: &str| match token {
        "true" => Some(Value::Flag(true)),
        "false" => Some(Value::Flag(false)),
        _ => None,
    });
    converted.parse_next(input)
}

fn kind(input: &mut &str) -> Result<Kind> {
    alt((
        keyword("class").value(Kind::Class),
        keyword("workspace").value(Kind::Workspace),
        keyword("engine").value(Kind::Engine),
        keyword("service").value(Kind::Service),
    ))
    .context(expected("class, workspace, engine or service"))
    .parse_next(input)
}

fn if_version(input: &mut &str) -> Result<Option<u64>> {
    opt(preceded((keyword("if"), cut_err(keyword("version"))), cut_err(number))).parse_next(input)
}

fn field(input: &mut &str) -> Result<(String, Value)> {
    let condition = (name, symbol("="), cut_err(value));
    condition.map(|(name, _, value)| (name, value)).parse_next(input)
}

fn change(input: &mut &str) -> Result<Statement> {
    let verb = alt((
        Caseless("create").value(Verb::Create),
        Caseless("set").value(Verb::Set),
        Caseless("drop").value(Verb::Drop),
    ));
    let (verb, _) = (verb, multispace1).parse_next(input)?;
    let (kind, name) = (cut_err(kind), cut_err(name)).parse_next(input)?;
    let fields: BTreeMap<String, Value> = match verb {
        Verb::Drop => BTreeMap::new(),
        Verb::Create | Verb::Set => repeat(0.., field).parse_next(input)?,
    };
    let if_version = if_version(input)?;
    Ok(Statement::Change(Change { verb, kind, name, fields, if_version }))
}

fn drain(input: &mut &str) -> Result<Statement> {
    let drained = alt((Caseless("drain").value(true), Caseless("undrain").value(false)));
    let (drained, _) = (drained, multispace1).parse_next(input)?;
    let (kind, name) = (cut_err(kind), cut_err(name)).parse_next(input)?;
    let if_version = if_version(input)?;
    let fields = BTreeMap::from([("drained".to_string(), Value::Flag(drained))]);
    Ok(Statement::Change(Change { verb: Verb::Set, kind, name, fields, if_version }))
}

fn rotate(input: &mut &str) -> Result<Statement> {
    (Caseless("rotate"), multispace1).parse_next(input)?;
    let key = cut_err(keyword("key")).context(expected("key"));
    let (_, name, version) = (key, cut_err(name), if_version).parse_next(input)?;
    Ok(Statement::RotateKey(name, version))
}

fn release(input: &mut &str) -> Result<Statement> {
    (Caseless("release"), multispace1).parse_next(input)?;
    cut_err(name).map(Statement::Release).parse_next(input)
}
