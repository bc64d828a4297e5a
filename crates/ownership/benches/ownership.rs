//! Benchmarks of claims, orders and limits. Run them with `cargo bench -p crocushold-ownership`.

use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ClaimSettings;
use crocushold_ownership::Claims;
use crocushold_ownership::EngineId;
use crocushold_ownership::Fencing;
use crocushold_ownership::Limit;
use crocushold_ownership::LimitSettings;
use crocushold_ownership::Limits;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::OrderSettings;
use crocushold_ownership::Orders;
use crocushold_ownership::Outcome;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::RoleId;
use crocushold_ownership::SettleRequest;
use crocushold_ownership::Target;
use crocushold_ownership::View;
use divan::AllocProfiler;
use divan::Bencher;
use divan::black_box;

// Measures the memory used by each benchmark, and so the memory per key.
#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

const NOW: Millis = Millis(1_000);

fn main() {
    divan::main();
}

fn view(count: usize) -> View {
    View::new((0..count).map(|n| Member::new(&format!("entry-{n}"), 1)))
}

fn request(view: &View, n: u128) -> ClaimRequest {
    let key = ClaimKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835));
    ClaimRequest {
        key,
        account: AccountId::from_name("clara"),
        claim: ClaimId {
            claimant: view.members()[0],
            seq: n as u64,
        },
        digest: RequestDigest(1),
        group: view.group(key.placement_hash()).id(),
    }
}

/// A single member, which holds every key: measures a vote without hand-over.
fn filled(view: &View, keys: u128) -> Claims {
    let settings = ClaimSettings {
        cold_start: Millis::ZERO,
        capacity: usize::MAX,
        max_per_account: usize::MAX,
        ..ClaimSettings::default()
    };
    let mut claims = Claims::new(settings, view.members()[0], NOW);
    claims.on_view(view.clone(), NOW);
    for n in 0..keys {
        claims.on_claim(&request(view, n), NOW);
    }
    claims
}

/// The memory per key is the "max alloc" column divided by the number of keys.
#[divan::bench(args = [1_000, 10_000, 100_000, 1_000_000], sample_count = 3, sample_size = 1)]
fn fill_claims(bencher: Bencher, keys: u128) {
    let view = view(1);
    bencher.bench_local(|| filled(&view, keys));
}

#[divan::bench(args = [1_000, 10_000, 100_000, 1_000_000])]
fn claim_and_settle(bencher: Bencher, keys: u128) {
    let view = view(1);
    let mut claims = filled(&view, keys);
    let mut n = keys;
    bencher.bench_local(|| {
        n += 1;
        let request = request(&view, n);
        black_box(claims.on_claim(&request, NOW));
        let settle = SettleRequest {
            key: request.key,
            account: request.account,
            claim: request.claim,
            digest: request.digest,
            outcome: Outcome::Completed { status: 201 },
        };
        claims.on_settle(&settle, NOW);
    });
}

#[divan::bench(args = [8, 64, 400])]
fn group_of_a_key(bencher: Bencher, members: usize) {
    let view = view(members);
    bencher.bench_local(|| black_box(view.group(black_box(7))));
}

/// A tick over 5,900 engines, of which the instance owns 1/8 or 1/400.
#[divan::bench(args = [8, 400])]
fn tick_orders(bencher: Bencher, members: usize) {
    let view = view(members);
    let mut orders = Orders::new(OrderSettings::default(), view.members()[0], NOW);
    for id in 0..5_900 {
        let target = Target {
            engine: EngineId(id),
            revision: 1,
            fencing: Fencing::Checked,
            models: vec![ModelId(1)],
            role: Some(RoleId(0)),
        };
        orders.on_target(target, NOW);
    }
    orders.on_view(view.clone(), &view, NOW);
    bencher.bench_local(|| black_box(orders.on_tick(NOW)));
}

/// A change of the membership, which recomputes the ownership of 5,900 engines.
#[divan::bench(args = [8, 400])]
fn change_view_of_orders(bencher: Bencher, members: usize) {
    let views = [view(members), view(members - 1)];
    let mut orders = Orders::new(OrderSettings::default(), views[0].members()[0], NOW);
    for id in 0..5_900 {
        let target = Target {
            engine: EngineId(id),
            revision: 1,
            fencing: Fencing::Checked,
            models: vec![ModelId(1)],
            role: Some(RoleId(0)),
        };
        orders.on_target(target, NOW);
    }
    let mut turn = 0;
    bencher.bench_local(|| {
        turn ^= 1;
        orders.on_view(views[turn].clone(), &views[0], NOW);
    });
}

fn limits() -> Limits {
    let view = view(400);
    let mut limits = Limits::new(LimitSettings::default(), view.members()[0], NOW);
    let limit = Limit {
        rate: 1_000.0,
        slots: 10_000,
    };
    for id in 0..3_700 {
        limits.on_limit(AccountId(id), limit, NOW);
    }
    limits.on_view(view.clone(), &view, NOW);
    limits
}

/// The "max alloc" column is the memory used by 3,700 accounts.
#[divan::bench(sample_count = 3, sample_size = 1)]
fn fill_limits() -> Limits {
    limits()
}

#[divan::bench]
fn admit(bencher: Bencher) {
    let mut limits = limits();
    let mut n = 0;
    bencher.bench_local(|| {
        n += 1;
        black_box(limits.admit(AccountId(n % 3_700), 1.0, Millis(n)));
        limits.release(AccountId(n % 3_700));
    });
}

#[divan::bench]
fn lend(bencher: Bencher) {
    let mut limits = limits();
    let from = view(400).members()[1];
    let mut n = 0;
    bencher.bench_local(|| {
        n += 1;
        let request = BorrowRequest {
            account: AccountId(n % 3_700),
            units: 1.0,
            slots: 2,
            held: 1,
        };
        black_box(limits.on_borrow(from, &request, Millis(n)));
    });
}

#[divan::bench]
fn tick_limits(bencher: Bencher) {
    let mut limits = limits();
    let mut n = 1_000;
    bencher.bench_local(|| {
        n += 100;
        black_box(limits.on_tick(Millis(n)));
    });
}
