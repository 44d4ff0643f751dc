//! The configuration as it is handed out: packed once for all who have the same one, as a change where theirs is kept.

use hingestage_rpc::messages::{ConfigDocument, ConfigTransfer, ConfigVersion};
use std::collections::{BTreeMap, VecDeque};

/// Documents that are kept to make changes from, and their bytes together; the one before the newest is kept however
/// long it is.
const KEPT_MAX: usize = 8;
const KEPT_BYTES_MAX: usize = 8 << 20;
const KEPT_LEAST: usize = 2;

/// The newest configuration, packed.
#[derive(Default)]
pub struct Transfers {
    /// Documents, the newest last.
    documents: VecDeque<ConfigDocument>,
    /// The newest one, by what its receiver has.
    packed: BTreeMap<Option<ConfigVersion>, ConfigTransfer>,
}

impl Transfers {
    /// A new configuration is in force.
    pub fn add(&mut self, document: ConfigDocument) {
        let newer = self.documents.back().is_none_or(|newest| document.version > newest.version);
        if newer {
            self.documents.push_back(document);
            self.packed.clear();
            self.forget();
        }
    }

    fn forget(&mut self) {
        let bytes = |documents: &VecDeque<ConfigDocument>| -> usize {
            documents.iter().map(|document| document.json.len()).sum()
        };
        while self.documents.len() > KEPT_MAX
            || (self.documents.len() > KEPT_LEAST && bytes(&self.documents) > KEPT_BYTES_MAX)
        {
            self.documents.pop_front();
        }
    }

    /// The newest configuration.
    pub fn newest(&self) -> Option<&ConfigDocument> {
        self.documents.back()
    }

    /// The newest configuration for one who has some version; none where there is none.
    pub fn newest_for(&mut self, have: Option<ConfigVersion>) -> Option<&ConfigTransfer> {
        let newest = self.documents.back()?;
        let base = self.documents.iter().find(|document| Some(document.version) == have);
        let base = base.filter(|base| base.version != newest.version);
        let key = base.map(|base| base.version);
        Some(self.packed.entry(key).or_insert_with(|| ConfigTransfer::new(newest, base)))
    }
}
