//! Statements and their grammar.

use std::{collections::BTreeMap, fmt};

use drumusher_log::config::{Change, Kind, Value, Verb};
use winnow::{
    Parser,
    ascii::{Caseless, float, multispace0, multispace1},
    combinator::{alt, cut_err, eof, opt, preceded, repeat, separated, terminated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    token::{take_till, take_while},
};

/// What `show` lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Requests that run.
    Running,
    /// Requests that wait.
    Waiting,
    /// Model engines.
    Engines,
    /// Servers of plain services.
    Services,
    /// Request classes.
    Classes,
    /// Workspaces.
    Workspaces,
    /// Instances of the system.
    Instances,
    /// The configuration version in force.
    Config,
    /// The latest commands and their verdicts.
    Log,
    /// Requests that end backend servers.
    Quarantine,
    /// What backend servers said of themselves.
    Notices,
}

/// How a `where` condition compares.
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

/// One condition of a `where`.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// How it compares.
    pub comparison: Comparison,
    /// With what.
    pub value: Value,
}

/// What to do with the rows of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Column to order by, and whether downwards.
    pub order: Option<(String, bool)>,
    /// Most rows.
    pub limit: Option<usize>,
}

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// List a table.
    Show(Table, Selection),
    /// Explain one request.
    Request(String),
    /// Change the configuration.
    Change(Change),
    /// Give a workspace a new API key.
    RotateKey(String, Option<u64>),
    /// Let a request go that ended backend servers, by its digest.
    Release(String),
}

/// Why a text is not a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Where, in bytes from the start.
    pub at: usize,
    /// What would have been taken there.
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
/// Where the text stops being a statement, and what was expected there.
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

fn word<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    (Caseless(text), multispace0).void()
}

fn symbol<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    (text, multispace0).void()
}

/// The characters of names, which addresses and numbers share.
fn plain(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_./:".contains(c)
}

fn token<'a>(input: &mut &'a str) -> Result<&'a str> {
    terminated(take_while(1.., plain), multispace0).parse_next(input)
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
    let request = preceded(word("request"), cut_err(name)).map(Statement::Request);
    let listing = (table, selection).map(|(table, selection)| Statement::Show(table, selection));
    let tables = "running, waiting, engines, services, classes, workspaces, instances, config, \
                  log, quarantine, notices or request";
    cut_err(alt((request, listing))).context(expected(tables)).parse_next(input)
}

fn table(input: &mut &str) -> Result<Table> {
    alt((
        word("running").value(Table::Running),
        word("waiting").value(Table::Waiting),
        word("engines").value(Table::Engines),
        word("services").value(Table::Services),
        word("classes").value(Table::Classes),
        word("workspaces").value(Table::Workspaces),
        word("instances").value(Table::Instances),
        word("config").value(Table::Config),
        // One alternative takes nine.
        alt((
            word("log").value(Table::Log),
            word("quarantine").value(Table::Quarantine),
            word("notices").value(Table::Notices),
        )),
    ))
    .parse_next(input)
}

fn selection(input: &mut &str) -> Result<Selection> {
    let conditions = opt(preceded(word("where"), cut_err(conditions))).parse_next(input)?;
    let mut order = opt(preceded((word("order"), cut_err(word("by"))), cut_err(order)));
    let order = order.parse_next(input)?;
    let limit = opt(preceded(word("limit"), cut_err(number))).parse_next(input)?;
    Ok(Selection {
        conditions: conditions.unwrap_or_default(),
        order,
        limit: limit.map(|limit| limit as usize),
    })
}

fn conditions(input: &mut &str) -> Result<Vec<Condition>> {
    separated(1.., condition, word("and")).parse_next(input)
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
    let direction = opt(alt((word("desc").value(true), word("asc").value(false))));
    (name, direction).map(|(column, down)| (column, down.unwrap_or(false))).parse_next(input)
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
    (symbol_open, inside, closing).map(|(_, value, _)| value).parse_next(input)
}

fn symbol_open(input: &mut &str) -> Result<()> {
    "\"".void().parse_next(input)
}

/// A number, in milliseconds if it has a unit of time. What looks like the start of a name or an
/// address is not a number.
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
        word("class").value(Kind::Class),
        word("workspace").value(Kind::Workspace),
        word("engine").value(Kind::Engine),
        word("service").value(Kind::Service),
    ))
    .context(expected("class, workspace, engine or service"))
    .parse_next(input)
}

fn if_version(input: &mut &str) -> Result<Option<u64>> {
    opt(preceded((word("if"), cut_err(word("version"))), cut_err(number))).parse_next(input)
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
    let key = cut_err(word("key")).context(expected("key"));
    let (_, name, version) = (key, cut_err(name), if_version).parse_next(input)?;
    Ok(Statement::RotateKey(name, version))
}

fn release(input: &mut &str) -> Result<Statement> {
    (Caseless("release"), multispace1).parse_next(input)?;
    cut_err(name).map(Statement::Release).parse_next(input)
}
