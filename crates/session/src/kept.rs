//! Session values and named shapes on a pooled connection.

use std::{collections::BTreeMap, fmt::Write as _};

use base::Set;

use crate::{command::Verb, statement::Statement};

/// Session values by name.
pub type Values = BTreeMap<String, String>;

/// Named shapes that a connection keeps; more are forgotten together.
const SHAPES_MAX: usize = 256;

/// A shape of statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shape {
    /// What the statement does.
    pub verb: Verb,
    /// Text of the shape.
    pub text: String,
    /// Name on pooled connections, the same for the same shape.
    pub name: String,
}

impl Shape {
    /// Makes a shape.
    ///
    /// Two shapes never have the same name: it spells the shape out.
    ///
    /// ```
    /// use session::{Shape, Verb};
    ///
    /// let read = Shape::new(Verb::Read, "q2c".into());
    /// assert_ne!(read.name, Shape::new(Verb::Write, "q2c".into()).name);
    /// ```
    #[must_use]
    pub fn new(verb: Verb, text: String) -> Self {
        let mut name = String::from(match verb {
            Verb::Read => "r",
            Verb::Write => "w",
        });
        for byte in text.bytes() {
            if byte.is_ascii_lowercase() || byte.is_ascii_digit() {
                name.push(char::from(byte));
            } else {
                let _infallible = write!(name, "_{byte:02X}");
            }
        }
        Self { verb, text, name }
    }
}

/// What a pooled connection keeps between the statements of different sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Kept {
    values: Values,
    shapes: Set<String>,
    /// Whether the values may differ from `values`.
    doubted: bool,
}

impl Kept {
    /// Notes that the values are not known any more.
    pub const fn doubt(&mut self) {
        self.doubted = true;
    }

    /// Statements that bring the connection to the values of a session and make `shape` known.
    #[must_use]
    pub fn prelude<'a>(&self, values: &'a Values, shape: Option<&'a Shape>) -> Vec<Statement<'a>> {
        let mut statements = Vec::new();
        let foreign = self.values.keys().any(|name| !values.contains_key(name));
        let crowded = shape.is_none() && self.shapes.len() >= SHAPES_MAX;
        let reset = foreign || crowded || self.doubted;
        if reset {
            statements.push(Statement::Reset);
        }
        for (name, value) in values {
            if reset || self.values.get(name) != Some(value) {
                statements.push(Statement::Set { name, value });
            }
        }
        if let Some(shape) = shape
            && (reset || !self.shapes.contains(&shape.name))
        {
            statements.push(Statement::Prepare {
                name: &shape.name,
                verb: shape.verb,
                shape: &shape.text,
            });
        }
        statements
    }

    /// Notes that a statement of a prelude was carried out.
    pub fn note(&mut self, done: &Statement<'_>) {
        match done {
            Statement::Reset => *self = Self::default(),
            Statement::Set { name, value } => {
                self.values.insert((*name).to_owned(), (*value).to_owned());
            }
            Statement::Prepare { name, .. } => {
                self.shapes.insert((*name).to_owned());
            }
            _ => {}
        }
    }

    /// Forgets a shape that the database does not know.
    pub fn forget(&mut self, shape: &Shape) {
        self.shapes.remove(&shape.name);
    }
}
