//! Which test fills which cell of the fault matrix.

use crate::matrix::Cell;
use crate::matrix::Fault;
use crate::matrix::Promise;
use crate::matrix::Step;

/// Every test of a fault, once for each cell that it fills.
pub(crate) const CELLS: &[Cell] = &[
    // Backend servers.
    Cell {
        fault: Fault::Refused,
        step: Step::Connecting,
        promises: &[Promise::Whole, Promise::Slots],
        test: "server_faults::a_refused_connection_is_followed_by_another_server",
    },
    Cell {
        fault: Fault::Refused,
        step: Step::Connecting,
        promises: &[Promise::NotRun, Promise::Slots],
        test: "server_faults::without_a_server_the_request_is_told_not_run",
    },
    Cell {
        fault: Fault::Crash,
        step: Step::FirstByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "server_faults::a_crash_before_the_first_byte_is_followed_by_another_server",
    },
    Cell {
        fault: Fault::Crash,
        step: Step::FirstByte,
        promises: &[Promise::Once, Promise::Slots],
        test: "server_faults::a_booking_that_may_have_run_is_not_repeated::test_case_2_crash_after_the_effect",
    },
    Cell {
        fault: Fault::Crash,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::a_crash_in_a_stream_is_a_visible_cut::test_case_1_streaming",
    },
    Cell {
        fault: Fault::Crash,
        step: Step::LastByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::a_crash_in_a_stream_is_a_visible_cut::test_case_2_before_the_last_byte",
    },
    Cell {
        fault: Fault::Crash,
        step: Step::Idle,
        promises: &[Promise::Whole],
        test: "server_faults::a_crash_of_idle_connections_is_not_seen",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::FirstByte,
        promises: &[Promise::Once, Promise::Slots],
        test: "server_faults::a_booking_that_may_have_run_is_not_repeated::test_case_1_connection_closed_after_the_effect",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_that_is_cut_never_looks_whole::test_case_1_chunked_stream",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_that_is_cut_never_looks_whole::test_case_2_stream_with_a_length",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_that_is_cut_never_looks_whole::test_case_3_chunked_whole_answer",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_that_is_cut_never_looks_whole::test_case_4_whole_answer_with_a_length",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_without_an_end_is_an_error",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::LastByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_that_is_cut_never_looks_whole::test_case_5_stream_before_its_last_byte",
    },
    Cell {
        fault: Fault::Cut,
        step: Step::LastByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "answer_faults::an_answer_that_is_cut_never_looks_whole::test_case_6_stream_with_a_length_before_its_last_byte",
    },
    Cell {
        fault: Fault::Hang,
        step: Step::FirstByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "server_faults::a_hang_before_the_first_byte_is_followed_by_another_server",
    },
    Cell {
        fault: Fault::Hang,
        step: Step::FirstByte,
        promises: &[Promise::Once, Promise::Slots],
        test: "server_faults::a_booking_that_may_have_run_is_not_repeated::test_case_3_hang_after_the_effect",
    },
    Cell {
        fault: Fault::Stall,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Cancel, Promise::Slots],
        test: "answer_faults::a_stream_that_stalls_is_cut_and_cancelled",
    },
    Cell {
        fault: Fault::Unavailable,
        step: Step::FirstByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "server_faults::an_unavailable_server_is_followed_by_another",
    },
    Cell {
        fault: Fault::Unavailable,
        step: Step::FirstByte,
        promises: &[Promise::Once, Promise::Slots],
        test: "server_faults::a_booking_answered_unavailable_is_sent_once",
    },
    // Load.
    Cell {
        fault: Fault::Burst,
        step: Step::Queued,
        promises: &[Promise::Live, Promise::Starve, Promise::Slots],
        test: "load_faults::a_burst_of_batch_refuses_and_delays_no_live_request",
    },
    Cell {
        fault: Fault::Burst,
        step: Step::Queued,
        promises: &[Promise::Live, Promise::Starve, Promise::Slots],
        test: "load_faults::a_flood_of_live_requests_starves_no_batch",
    },
    Cell {
        fault: Fault::Burst,
        step: Step::Queued,
        promises: &[Promise::NotRun, Promise::Slots],
        test: "load_faults::a_burst_beyond_the_queue_is_refused_at_once",
    },
    Cell {
        fault: Fault::Straggler,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "load_faults::a_straggler_gets_little_new_work",
    },
    Cell {
        fault: Fault::LoadReports,
        step: Step::Queued,
        promises: &[Promise::Whole, Promise::Slots],
        test: "load_faults::wrong_hints_pile_nothing_up::test_case_1_lagging_load_reports",
    },
    Cell {
        fault: Fault::CacheEvents,
        step: Step::Queued,
        promises: &[Promise::Whole, Promise::Slots],
        test: "load_faults::wrong_hints_pile_nothing_up::test_case_2_gapped_cache_events",
    },
    // Callers.
    Cell {
        fault: Fault::CallerGone,
        step: Step::Body,
        promises: &[Promise::Slots],
        test: "caller_faults::a_caller_gone_before_its_body_leaves_nothing",
    },
    Cell {
        fault: Fault::CallerGone,
        step: Step::Queued,
        promises: &[Promise::Slots],
        test: "caller_faults::a_caller_gone_from_the_queue_never_runs",
    },
    Cell {
        fault: Fault::CallerGone,
        step: Step::FirstByte,
        promises: &[Promise::Cancel, Promise::Slots],
        test: "caller_faults::a_caller_gone_cancels_the_engines_work::test_case_1_waiting_for_the_first_byte",
    },
    Cell {
        fault: Fault::CallerGone,
        step: Step::FirstByte,
        promises: &[Promise::Once, Promise::Slots],
        test: "caller_faults::a_booking_whose_caller_left_is_not_repeated",
    },
    Cell {
        fault: Fault::CallerGone,
        step: Step::Streaming,
        promises: &[Promise::Cancel, Promise::Slots],
        test: "caller_faults::a_caller_gone_cancels_the_engines_work::test_case_2_streaming",
    },
    Cell {
        fault: Fault::CallerGone,
        step: Step::LastByte,
        promises: &[Promise::Slots],
        test: "caller_faults::a_caller_gone_before_the_last_byte_gives_its_slot_back",
    },
    Cell {
        fault: Fault::CallerGone,
        step: Step::Idle,
        promises: &[Promise::Whole, Promise::Slots],
        test: "caller_faults::a_caller_gone_while_idle_cancels_nobody",
    },
    Cell {
        fault: Fault::CallerSlow,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "caller_faults::a_caller_that_reads_on_late_gets_the_whole_answer",
    },
    Cell {
        fault: Fault::CallerSlow,
        step: Step::Streaming,
        promises: &[Promise::Cancel, Promise::Slots],
        test: "caller_faults::a_caller_that_never_reads_is_cut",
    },
    // The platform.
    Cell {
        fault: Fault::ConfigDown,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "platform_faults::an_outage_of_the_platform_stops_nothing",
    },
    Cell {
        fault: Fault::ConfigStale,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "platform_faults::an_older_revision_reverts_nothing::test_case_1_stale",
    },
    Cell {
        fault: Fault::ConfigBack,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "platform_faults::an_older_revision_reverts_nothing::test_case_2_going_back",
    },
    Cell {
        fault: Fault::ConfigBack,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "platform_faults::an_older_revision_reverts_nothing::test_case_3_going_back_with_its_numbers",
    },
    Cell {
        fault: Fault::ConfigBack,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "fleet::a_platform_that_goes_back_reverts_nothing",
    },
    Cell {
        fault: Fault::ConfigChange,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "fleet::a_change_is_in_force_on_eight_instances_within_five_seconds",
    },
    Cell {
        fault: Fault::ConfigChange,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Config, Promise::Slots],
        test: "platform_faults::a_change_cuts_no_stream",
    },
    Cell {
        fault: Fault::ConfigRejected,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "platform_faults::a_rejected_text_changes_nothing",
    },
    Cell {
        fault: Fault::ListLeaving,
        step: Step::Connecting,
        promises: &[Promise::Leaving],
        test: "platform_faults::a_leaving_server_finishes_and_gets_nothing_new",
    },
    Cell {
        fault: Fault::ListLeaving,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Leaving, Promise::Slots],
        test: "platform_faults::a_leaving_server_finishes_and_gets_nothing_new",
    },
    Cell {
        fault: Fault::ListEmpty,
        step: Step::Connecting,
        promises: &[Promise::Whole],
        test: "platform_faults::a_list_without_servers_stops_nothing",
    },
    Cell {
        fault: Fault::ListLagging,
        step: Step::Connecting,
        promises: &[Promise::Whole],
        test: "platform_faults::a_lagging_list_is_made_up_for_by_refused_connections",
    },
    // Entry processes.
    Cell {
        fault: Fault::Frozen,
        step: Step::Queued,
        promises: &[Promise::NotRun, Promise::Slots],
        test: "process_faults::a_frozen_instance_starts_nothing_that_is_overdue",
    },
    Cell {
        fault: Fault::Frozen,
        step: Step::FirstByte,
        promises: &[Promise::Whole, Promise::Slots],
        test: "process_faults::a_frozen_instance_repeats_nothing_that_was_answered",
    },
    Cell {
        fault: Fault::Frozen,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Slots],
        test: "process_faults::a_frozen_instance_goes_on_with_its_streams",
    },
    Cell {
        fault: Fault::Killed,
        step: Step::Queued,
        promises: &[Promise::NotRun],
        test: "process_faults::a_killed_instance_never_runs_what_was_queued",
    },
    Cell {
        fault: Fault::Killed,
        step: Step::FirstByte,
        promises: &[Promise::Once],
        test: "process_faults::a_killed_instance_leaves_visible_cuts_and_no_work",
    },
    Cell {
        fault: Fault::Killed,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Cancel],
        test: "process_faults::a_killed_instance_leaves_visible_cuts_and_no_work",
    },
    Cell {
        fault: Fault::Stop,
        step: Step::Body,
        promises: &[Promise::Whole, Promise::Stop],
        test: "process_faults::a_planned_stop_answers_what_is_in_progress::test_case_3_before_reading_the_body",
    },
    Cell {
        fault: Fault::Stop,
        step: Step::Queued,
        promises: &[Promise::Whole, Promise::Stop],
        test: "process_faults::a_planned_stop_answers_what_is_in_progress::test_case_1_queued",
    },
    Cell {
        fault: Fault::Stop,
        step: Step::FirstByte,
        promises: &[Promise::Whole, Promise::Stop],
        test: "process_faults::a_planned_stop_answers_what_is_in_progress::test_case_2_waiting_for_the_first_byte",
    },
    Cell {
        fault: Fault::Stop,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Stop],
        test: "process_faults::a_planned_stop_cuts_no_stream",
    },
    Cell {
        fault: Fault::Stop,
        step: Step::Streaming,
        promises: &[Promise::Whole, Promise::Cancel],
        test: "process_faults::a_planned_stop_ends_at_its_bound",
    },
    Cell {
        fault: Fault::Stop,
        step: Step::Idle,
        promises: &[Promise::Whole, Promise::Stop],
        test: "process_faults::a_planned_stop_ends_idle_connections",
    },
    // Pairs.
    Cell {
        fault: Fault::StopCrash,
        step: Step::Streaming,
        promises: &[Promise::Whole],
        test: "process_faults::a_crash_during_a_planned_stop_is_a_visible_cut",
    },
    Cell {
        fault: Fault::StopHangGone,
        step: Step::FirstByte,
        promises: &[Promise::Stop],
        test: "process_faults::a_planned_stop_does_not_wait_for_callers_that_left",
    },
    Cell {
        fault: Fault::FrozenChange,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "process_faults::a_frozen_instance_takes_the_change_it_missed",
    },
    Cell {
        fault: Fault::FrozenDown,
        step: Step::Applying,
        promises: &[Promise::Config, Promise::Whole],
        test: "process_faults::a_frozen_instance_that_wakes_to_an_outage_serves_on",
    },
    Cell {
        fault: Fault::KilledFrozenPlatform,
        step: Step::Applying,
        promises: &[Promise::Config],
        test: "fleet::an_instance_replaced_in_an_outage_learns_from_its_peers",
    },
    Cell {
        fault: Fault::GoneHang,
        step: Step::Queued,
        promises: &[Promise::Slots],
        test: "load_faults::callers_that_leave_a_hanging_engine_free_its_slots",
    },
    Cell {
        fault: Fault::GoneHang,
        step: Step::FirstByte,
        promises: &[Promise::Cancel, Promise::Slots],
        test: "load_faults::callers_that_leave_a_hanging_engine_free_its_slots",
    },
];
