//! Adaptive page size for range reads from the store.

/// Number of records to request per page.
///
/// The size of the records isn't known in advance, so a lost page may have been larger than one
/// answer can be. It is requested again with half as many records.
#[derive(Debug, Clone, Copy)]
pub struct PageSize {
    records: usize,
    max_records: usize,
}

impl PageSize {
    /// Creates a page size that starts at its maximum of `max_records`.
    pub fn new(max_records: usize) -> Self {
        Self { records: max_records, max_records }
    }

    /// Returns the number of records to request.
    pub fn records(self) -> usize {
        self.records
    }

    /// Increases the size by one record after a page was received.
    pub fn on_page_received(&mut self) {
        self.records = (self.records + 1).min(self.max_records);
    }

    /// Halves the size after a page was lost. Returns false if it was already one record.
    pub fn on_page_lost(&mut self) -> bool {
        let can_shrink = self.records > 1;
        self.records = (self.records / 2).max(1);
        can_shrink
    }
}
