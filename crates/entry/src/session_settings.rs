//! Settings of a caller's session.

use base::organisation::KeyDigest;

use crate::parameters::{ApplicationName, Parameters};

/// Settings of a session, established at login.
#[derive(Debug)]
pub struct SessionSettings {
    /// Service that the caller is connected to.
    pub service: Box<str>,
    /// Largest message that the caller may send, in bytes.
    pub message_bytes: usize,
    /// Digest of the key that the caller sent, if it was asked for one.
    pub key: Option<KeyDigest>,
    /// User that the caller logged in as.
    pub user: Box<str>,
    /// Value of `application_name`.
    pub application_name: ApplicationName,
    /// Parameters of the proxy itself, `goldcrestrail.*`.
    pub parameters: Parameters,
    /// Other parameters by name, each with the `SET` statement for a pooled connection.
    pub set_statements: Vec<(String, String)>,
    /// All of `set_statements` as one script. A connection must have run it before it runs a
    /// request.
    pub set_script: String,
}

impl SessionSettings {
    /// Size of the parameters, in bytes: each is kept by itself and in the script.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        2 * self.set_script.len()
    }

    /// Records parameters that were set, each with its statement, or `None` for a reset to the
    /// default.
    pub fn update_set_statements(&mut self, set_statements: &[(String, Option<String>)]) {
        for (name, statement) in set_statements {
            if name == "all" {
                self.set_statements.clear();
                self.application_name.set(None);
                // The token is kept: without it the caller might not read its own writes.
                self.parameters = Parameters {
                    token: self.parameters.token,
                    ..Parameters::default()
                };
            }
            self.set_statements.retain(|(existing, _)| existing != name);
            if let Some(statement) = statement {
                self.set_statements.push((name.clone(), statement.clone()));
            }
        }
        self.set_script.clear();
        for (i, (_, statement)) in self.set_statements.iter().enumerate() {
            self.set_script.push_str(if i == 0 { "" } else { "; " });
            self.set_script.push_str(statement);
        }
    }
}
