//! Cost of the quarantine for each request, depending on the number of records: `cargo bench -p
//! crocushold-routing --bench quarantine`.

use crocushold_base::Millis;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::Run;
use divan::Bencher;
use divan::black_box;

const NOW: Millis = Millis(1_000_000);

fn main() {
    divan::main();
}

/// Creates a quarantine with `records` quarantined requests.
fn quarantine(records: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..records {
        for end in 0..2 {
            let server = Incarnation(number * 2 + end);
            let sent = Millis(NOW.0 - 1000 + 100 * end);
            let run = Run {
                content: Fingerprint(u128::from(number)).into(),
                server,
                sent,
                began: None,
                writing: None,
            };
            quarantine.run_cut(run, sent + Millis(50));
            quarantine.server_ended(server, sent + Millis(55));
        }
    }
    quarantine
}

#[divan::bench(args = [0, 2_000, 18_000, 110_000])]
fn fingerprint(bencher: Bencher<'_, '_>, bytes: usize) {
    let body = vec![7u8; bytes];
    bencher.bench(|| Fingerprint::of(&[b"POST", b"/path/", b"account", black_box(&body)]));
}

#[divan::bench(args = [0, 16, 1024])]
fn admit_another(bencher: Bencher<'_, '_>, records: u64) {
    let quarantine = quarantine(records);
    bencher.bench(|| quarantine.admit(black_box(&Fingerprint(u128::MAX).into()), NOW));
}

#[divan::bench(args = [1, 16, 1024])]
fn admit_held(bencher: Bencher<'_, '_>, records: u64) {
    let quarantine = quarantine(records);
    bencher.bench(|| quarantine.admit(black_box(&Fingerprint(0).into()), NOW));
}

#[divan::bench(args = [0, 16, 1024])]
fn served(bencher: Bencher<'_, '_>, records: u64) {
    let mut quarantine = quarantine(records);
    let mut number = u128::MAX;
    bencher.bench_local(|| {
        number -= 1;
        quarantine.served(&Fingerprint(number).into(), NOW, NOW)
    });
}
