//! Packed configurations for distribution, cached per version that the receiver has. A receiver whose version is still
//! held here gets a delta.

use hingestage_rpc::messages::{ConfigDocument, ConfigTransfer, ConfigVersion};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of documents held as bases for deltas.
const DOCUMENTS_MAX: usize = 8;
/// Maximum total size of the held documents, except for the last `DOCUMENTS_MIN`.
const TOTAL_BYTES_MAX: usize = 8 << 20;
/// Number of documents held whatever their size: the newest and the one before.
const DOCUMENTS_MIN: usize = 2;

/// The latest configurations and their packed forms.
#[derive(Default)]
pub struct Transfers {
    /// Held documents, the newest last.
    documents: VecDeque<ConfigDocument>,
    /// The newest document in packed form, by the receiver's version.
    packed: BTreeMap<Option<ConfigVersion>, ConfigTransfer>,
}

impl Transfers {
    /// Adds a configuration; one that is not newer is ignored.
    pub fn add(&mut self, document: ConfigDocument) {
        let newer = self.documents.back().is_none_or(|newest| document.version > newest.version);
        if newer {
            self.documents.push_back(document);
            self.packed.clear();
            self.evict();
        }
    }

    fn evict(&mut self) {
        let bytes = |documents: &VecDeque<ConfigDocument>| -> usize {
            documents.iter().map(|document| document.json.len()).sum()
        };
        while self.documents.len() > DOCUMENTS_MAX
            || (self.documents.len() > DOCUMENTS_MIN && bytes(&self.documents) > TOTAL_BYTES_MAX)
        {
            self.documents.pop_front();
        }
    }

    /// The newest configuration.
    pub fn newest(&self) -> Option<&ConfigDocument> {
        self.documents.back()
    }

    /// The newest configuration, packed for a receiver that has version `have`.
    pub fn newest_for(&mut self, have: Option<ConfigVersion>) -> Option<&ConfigTransfer> {
        let newest = self.documents.back()?;
        let base = self.documents.iter().find(|document| Some(document.version) == have);
        let base = base.filter(|base| base.version != newest.version);
        let key = base.map(|base| base.version);
        Some(self.packed.entry(key).or_insert_with(|| ConfigTransfer::new(newest, base)))
    }
}
