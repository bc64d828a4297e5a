//! The whole system in one process: stand-ins for the platform, two engines and a plain service,
//! two entry instances, and a caller. The example runs to completion by itself.
//!
//! ```text
//! cargo run --release --example quickstart
//! ```

mod caller;
mod site;

use std::error::Error;

use async_std::task;
use crocushold_metrics::BurnReport;
use crocushold_metrics::BurnRules;
use crocushold_metrics::Scrape;
use crocushold_platform::HttpFetch;
use crocushold_platform::fetch;

use crate::caller::Caller;
use crate::site::Site;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    task::block_on(run())
}

async fn run() -> Outcome<()> {
    println!("== starting the stand-ins and two entry instances");
    let site = Site::start().await?;
    site.wait_serving().await;
    for instance in &site.instances {
        println!(
            "callers at {}, operator at {}",
            instance.listen, instance.operator
        );
    }
    let caller = Caller::new(site.instances[0].listen);
    let other_caller = Caller::new(site.instances[1].listen);

    println!("\n== a live chat, streamed as it comes");
    caller.chat("demo.parents", "chat", true).await?;
    println!("\n== a draft, whole, through the other instance");
    other_caller.chat("demo.parents", "drafts", false).await?;
    println!("\n== the nightly batch, which waits behind both");
    caller.chat("demo.nightly", "nightly", false).await?;
    println!("\n== a slot lookup and a confirmation at the plain service");
    caller.get("demo.parents", "/booking/slots").await?;
    other_caller
        .post("demo.parents", "/booking/confirmations", "parent-7")
        .await?;

    println!("\n== refused: an unknown key; a class of another account; too many requests");
    caller.chat("demo.nobody", "chat", true).await?;
    caller.chat("demo.nightly", "chat", true).await?;
    for _ in 0..8 {
        caller.chat("demo.limited", "nightly", false).await?;
    }

    println!("\n== the burn of each class's error budget");
    print!("{}", burn(&site).await);
    println!("\n== a planned stop of both instances");
    site.stop().await;
    Ok(())
}

async fn burn(site: &Site) -> BurnReport {
    let client = HttpFetch::default();
    let mut scrapes = Vec::new();
    for instance in &site.instances {
        let address = instance.operator.to_string();
        let text = fetch(&client, &address, "/metrics").await;
        scrapes.push(Scrape {
            address,
            text: text.map_err(|error| error.to_string()),
        });
    }
    BurnReport::from_scrapes(&BurnRules::default(), &scrapes)
}
