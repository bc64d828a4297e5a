//! The continuous batching model.

use std::time::Duration;

use crocushold_standins::Batch;
use crocushold_standins::BatchSettings;
use crocushold_standins::Job;
use crocushold_standins::JobId;
use test_case::test_case;

#[test_case(1, 11.0; "one job")]
#[test_case(8, 18.0; "a fuller batch")]
#[test_case(40, 26.0; "no fuller than the limit")]
fn step_lasts_longer_the_more_jobs_share_it(jobs: u64, millis: f64) {
    let mut batch = batch(16);
    for _ in 0..jobs {
        batch.submit(job(0, 100));
    }
    assert_eq!(batch.begin_step(), Some(span(millis)));
    assert_eq!(batch.end_step().advanced.len() as u64, jobs.min(16));
}

#[test]
fn slow_factor_stretches_each_step() {
    let mut batch = batch(16);
    batch.submit(job(0, 100));
    batch.set_slow(4.0);
    assert_eq!(batch.begin_step(), Some(span(44.0)));
}

#[test]
fn queue_is_ordered_by_priority_then_arrival() {
    let mut batch = batch(1);
    let first = batch.submit(job(5, 1));
    let late = batch.submit(job(9, 1));
    let urgent = batch.submit(job(1, 1));
    let second = batch.submit(job(5, 1));
    assert_eq!(run(&mut batch), [urgent, first, second, late]);
}

#[test]
fn running_job_is_not_preempted() {
    let mut batch = batch(1);
    let running = batch.submit(job(9, 3));
    batch.begin_step();
    batch.end_step();
    let urgent = batch.submit(job(1, 1));
    assert_eq!(run(&mut batch), [running, urgent]);
}

#[test]
fn prompt_is_prefilled_in_chunks_before_the_first_token() {
    let mut batch = batch(16);
    let prompt = Job {
        prefill: 2500,
        ..job(0, 1)
    };
    batch.submit(prompt);
    let steps: Vec<_> = (0..4).map(|_| step(&mut batch)).collect();
    // Prefilling 1000 tokens takes 50 ms in addition to the 10 ms of a step; the last step decodes.
    let expected = [(60.0, 0), (60.0, 0), (35.0, 0), (11.0, 1)];
    assert_eq!(steps, expected.map(|(ms, tokens)| (span(ms), tokens)));
}

#[test]
fn cancelled_job_frees_its_slot() {
    let mut batch = batch(1);
    let running = batch.submit(job(0, 1000));
    let waiting = batch.submit(job(0, 1000));
    let last = batch.submit(job(0, 1));
    batch.begin_step();
    assert!(batch.cancel(running) && batch.cancel(waiting));
    assert!(!batch.cancel(running), "a job leaves once");
    assert_eq!(run(&mut batch), [last]);
    assert!(batch.kv_free() == 1.0);
}

#[test]
fn full_kv_memory_keeps_jobs_queued() {
    let mut batch = batch(16);
    let big = Job {
        kv_tokens: 700,
        ..job(0, 1)
    };
    batch.submit(big);
    batch.submit(big);
    batch.begin_step();
    assert_eq!((batch.running(), batch.waiting()), (1, 1));
    assert_eq!(run(&mut batch).len(), 2);
}

fn run(batch: &mut Batch) -> Vec<JobId> {
    let mut finished = Vec::new();
    while batch.begin_step().is_some() {
        finished.extend(batch.end_step().finished);
    }
    finished
}

fn step(batch: &mut Batch) -> (Duration, usize) {
    let took = batch.begin_step().unwrap();
    (took, batch.end_step().advanced.len())
}

fn batch(batch_limit: usize) -> Batch {
    Batch::new(BatchSettings {
        batch_limit,
        base_ms: 10.0,
        sequence_ms: 1.0,
        prefill_rate: 20_000.0,
        prefill_chunk: 1000,
        kv_tokens: 1000,
    })
}

fn job(priority: i64, length: u32) -> Job {
    Job {
        priority,
        prefill: 0,
        kv_tokens: 10,
        length,
    }
}

fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}
