//! A full listing of the store, which is read page by page.

use crocushold_base::Event;
use crocushold_base::Millis;
use log::info;

use crate::era::Revision;
use crate::shared::Shared;
use crate::source::Entry;
use crate::source::Page;
use crate::source::Source;
use crate::source::SourceError;

/// All entries of the store.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    /// The revision from which to watch.
    pub(crate) revision: Revision,
    pub(crate) entries: Vec<Entry>,
    /// The revision of the latest change of any entry. Its number is zero if there is none.
    pub(crate) last_change: Revision,
    /// Number of pages read.
    pub(crate) pages: u64,
}

impl Listing {
    /// Adds a page. Returns the name after which the next one begins; `None` after the last page.
    ///
    /// # Errors
    ///
    /// Fails if the page is from another era than the first one.
    fn add(&mut self, page: Page) -> Result<Option<String>, SourceError> {
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
        self.entries.extend(page.entries);
        Ok(page.next)
    }
}

/// Lists the store.
pub(crate) async fn read_listing(
    shared: &Shared,
    source: &impl Source,
) -> Result<Listing, SourceError> {
    let listed = read_pages(shared, source).await;
    shared.metrics.set_listed_entries(0);
    listed
}

async fn read_pages(shared: &Shared, source: &impl Source) -> Result<Listing, SourceError> {
    let started = shared.clock.now();
    let mut listing = Listing::default();
    let mut after = None;
    loop {
        let page = source.page(after.as_deref()).await?;
        let Some(next) = listing.add(page)? else {
            return Ok(listing);
        };
        shared.metrics.count_listing_page(listing.entries.len());
        log_progress(&listing, &next, shared.clock.now().since(started));
        after = Some(next);
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
