#pragma once

#include <criterion/criterion.h>

/// Defines the test of one cell of the fault matrix: the effect of `fault` at `step` of a protocol. Criterion
/// lists it as suite `step__<protocol>_<step>` and test `fault__<fault>`; `tools/fault-matrix` reads both
/// from the report of the run. Further tests of a cell use FAULT_CELL_MORE with a distinct `word`. The body
/// starts with a comment on the visible failure, the order of events and the cause.
///
/// Faults: process_dies, paused_wakes_late, connection_silent, message_lost, message_late, message_doubled,
/// message_reordered, partition, partition_one_way, upstream_cold, config_down, config_stale, host_list_lags,
/// domain_out, clock_jump, two_faults, same_twice.
/// Steps: request_intake, request_limit, request_route, request_permit, request_dispatch, request_stream,
/// request_resume, request_cancel, ticket_issue, ticket_send, ticket_answer, ticket_status, gang_reserve,
/// gang_import, gang_decode, gang_release, order_give, order_apply, bundle_read, bundle_verify,
/// bundle_spread, bundle_adopt, member_probe, member_suspect, member_rejoin, drain_leave, drain_return,
/// process_stop.
#define FAULT_CELL(step, fault) Test(step__##step, fault__##fault)
#define FAULT_CELL_MORE(step, fault, word) Test(step__##step, fault__##fault##__##word)
