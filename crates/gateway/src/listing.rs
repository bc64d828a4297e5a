//! A full listing of the store, which is read page by page.

use std::collections::HashSet;

use crocushold_base::Event;
use crocushold_base::Millis;
use log::info;

use crate::era::Revision;
use crate::malformed::MalformedEntries;
use crate::shared::Shared;
use crate::source::Entry;
use crate::source::Page;
use crate::source::Source;
use crate::source::SourceError;

/// The most entries and ends of pages that a listing holds: several times the servers of the largest
/// fleets, in a fraction of the memory of the smallest instance.
const MAX_HELD: usize = 50_000;

/// The most pages of a listing, so that a store that names fresh entries without end isn't called for ever.
const MAX_PAGES: u64 = 10_000;

/// Time without a page from which an unfinished listing begins anew. If the changes since its first page aren't
/// in the store's history any more when it ends, the store says so.
const MAX_PAUSE: Millis = Millis::from_secs(10);

/// All entries of the store.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    /// The revision from which to watch.
    pub(crate) revision: Revision,
    pub(crate) entries: Vec<Entry>,
    /// The revision of the latest change of any entry. Its number is zero if there is none.
    pub(crate) last_change: Revision,
    /// Entries that can't be decoded and belong to no known server.
    pub(crate) malformed: MalformedEntries,
    /// When its first page was asked for.
    pub(crate) started: Millis,
    /// Number of pages read.
    pub(crate) pages: u64,
    /// Names at which pages have ended.
    ends: HashSet<String>,
}

impl Listing {
    /// Adds a page. Returns the name after which the next one begins; `None` after the last page.
    ///
    /// # Errors
    ///
    /// Fails if the page is from another era than the first one, if it ends where an earlier page has
    /// ended, or if the listing has too many pages or entries.
    fn add(
        &mut self,
        page: Page,
        is_known: impl Fn(&str) -> bool,
    ) -> Result<Option<String>, SourceError> {
        // Changes between the pages are read again by a watch that starts at the first page's
        // revision.
        if self.pages == 0 {
            self.revision = page.revision;
        } else if self.revision.era != page.revision.era {
            return Err(SourceError::Failed(
                "the era changed between two pages".to_owned(),
            ));
        }
        self.pages += 1;
        self.last_change = self.last_change.max(page.last_change);
        for entry in page.entries {
            self.add_entry(entry, &is_known);
        }
        if self.entries.len() + self.ends.len() > MAX_HELD || self.pages > MAX_PAGES {
            return Err(SourceError::TooLarge);
        }
        if let Some(end) = &page.next
            && !self.ends.insert(end.clone())
        {
            return Err(SourceError::NoProgress);
        }
        Ok(page.next)
    }

    /// Adds an entry. Of a malformed one only the name of a known server matters.
    fn add_entry(&mut self, entry: Entry, is_known: impl Fn(&str) -> bool) {
        match entry {
            Entry::Malformed {
                name,
                server,
                finding,
            } if !server.as_deref().is_some_and(is_known) => self.malformed.add(name, finding),
            entry => self.entries.push(entry),
        }
    }
}

/// A listing in progress.
///
/// It is kept while calls fail, and goes on at the page that is missing. If each failure began it anew, a long
/// listing would never end at a store that loses a part of its answers.
#[derive(Debug, Default)]
pub(crate) struct PartialListing {
    listing: Listing,
    /// The name after which the next page begins.
    next: Option<String>,
    /// When the last page arrived.
    updated: Millis,
}

impl PartialListing {
    /// Number of pages read so far.
    pub(crate) fn pages(&self) -> u64 {
        self.listing.pages
    }

    /// Reads the pages that are missing, and returns the listing.
    ///
    /// # Errors
    ///
    /// Fails if a call fails; the next read goes on at that page. Fails as well if a page doesn't fit those
    /// before it, and the next read begins anew.
    pub(crate) async fn read(
        &mut self,
        shared: &Shared,
        source: &impl Source,
    ) -> Result<Listing, SourceError> {
        let now = shared.clock.now();
        if now.since(self.updated) > MAX_PAUSE {
            *self = PartialListing::default();
        }
        if self.pages() == 0 {
            self.listing.started = now;
        }
        loop {
            let page = source.page(self.next.as_deref()).await?;
            let is_known = |id: &str| shared.directory().is_known(id);
            let added = self.listing.add(page, is_known);
            if !matches!(added, Ok(Some(_))) {
                shared.metrics.set_listed_entries(0);
                let ended = std::mem::take(self);
                return added.map(|_| ended.listing);
            }
            self.next = added?;
            self.updated = shared.clock.now();
            self.report(shared);
        }
    }

    fn report(&self, shared: &Shared) {
        let listing = &self.listing;
        shared.metrics.count_listing_page(listing.entries.len());
        let elapsed = shared.clock.now().since(listing.started);
        log_progress(listing, self.next.as_deref().unwrap_or_default(), elapsed);
    }
}

/// Logs that a listing goes on. The number of pages doubles between two lines, so that a long listing
/// is logged in a few of them.
fn log_progress(listing: &Listing, next: &str, elapsed: Millis) {
    if !listing.pages.is_power_of_two() {
        return;
    }
    let event = Event::new("store-listing-continues")
        .with("pages", listing.pages)
        .with("entries", listing.entries.len())
        .with("next", next)
        .with("after", elapsed);
    info!("{event}");
}

#[cfg(test)]
mod tests;
