//! Places in the store's history.
//!
//! The store numbers its transactions. If it comes back from a copy, it lacks the newest of them and gives their numbers out again;
//! then it begins a new era. A number alone therefore names no transaction, and positions are compared by this module only.

/// Number of bits of a fencing token that hold the version.
const TOKEN_VERSION_BITS: u32 = 40;

/// A place in the store's history. Of two, the one in the later era is newer, whatever the versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Increases each time the store comes back from a copy; zero if the store names none.
    era: u64,
    /// Number of the transaction; increases within an era.
    version: u64,
}

impl Position {
    /// Creates the position of a transaction.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the era.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns the number of the transaction within its era.
    pub fn version(self) -> u64 {
        self.version
    }

    /// Returns whether there was no transaction before.
    pub fn is_start(self) -> bool {
        self.version == 0
    }

    /// Returns whether both positions are in one era, so that what happened between them is one history.
    pub fn continues(self, other: Self) -> bool {
        self.era == other.era
    }

    /// Returns whether the store has come back from a copy since `earlier`, which is not the start of a history.
    pub fn is_later_era_than(self, earlier: Self) -> bool {
        self.era > earlier.era && !earlier.is_start()
    }

    /// Returns the fencing token of a transaction, which increases with each transaction of any era.
    pub fn fencing_token(self) -> u64 {
        self.era << TOKEN_VERSION_BITS | self.version
    }
}

/// Place of a configuration among all that the operator has written. The operator's own number goes first: unlike positions, it
/// never goes back, so that neither a copy nor a late write brings back an older configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Edition {
    /// Number that the operator gave the configuration; zero if there is none.
    pub version: u64,
    /// Where it was written.
    pub position: Position,
}
