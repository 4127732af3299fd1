//! How many records to ask the store for at a time.

/// Records of the next page. Their lengths are known only once they have arrived, so a page that
/// was lost is asked for again with half of them: it may be more than one answer carries.
#[derive(Debug, Clone, Copy)]
pub struct PageSize {
    records: usize,
    most: usize,
}

impl PageSize {
    /// Returns a size that never exceeds `most` records.
    pub fn new(most: usize) -> Self {
        Self { records: most, most }
    }

    /// Records to ask for.
    pub fn records(self) -> usize {
        self.records
    }

    /// Notes that a page arrived, so that a little more may be asked for.
    pub fn on_page_received(&mut self) {
        self.records = (self.records + 1).min(self.most);
    }

    /// Notes that a page was lost; returns whether less can be asked for.
    pub fn on_page_lost(&mut self) -> bool {
        let can_shrink = self.records > 1;
        self.records = (self.records / 2).max(1);
        can_shrink
    }
}
