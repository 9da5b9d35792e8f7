//! Revisions of the platform's store.
//!
//! The store numbers its changes. When it returns from a copy it has lost the newest ones and
//! gives their numbers out again, in a new era. Revisions are therefore compared by era
//! first, and whatever was read in an earlier era is older than the whole of a later one.

use std::fmt;

use serde::{Serialize, Serializer};

/// Position in the history of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Revision {
    /// Number that rises by one when the store returns from a copy.
    pub era: u64,
    /// Number of the change within the era; zero if nothing has been read.
    #[serde(rename = "revision")]
    pub number: u64,
}

impl Revision {
    /// Revision above all others.
    pub const MAX: Self = Self {
        era: u64::MAX,
        number: u64::MAX,
    };

    /// Creates a revision from its era and its number.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns true if nothing has been read yet.
    #[must_use]
    pub fn is_none(self) -> bool {
        self.number == 0
    }
}

impl From<u64> for Revision {
    /// Creates a revision of a store that has never returned from a copy.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

/// Prints the number, preceded by the era unless it is zero.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

/// Serializes a revision as its number alone, for fields whose era is known from another one.
pub(crate) fn serialize_number<S: Serializer>(
    revision: &Revision,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    revision.number.serialize(serializer)
}
