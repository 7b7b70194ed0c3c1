/// \file
/// Catalogue of numbered log events; docs/EVENTS.md is its printed form.
#pragma once

#include "ragwortcove/core/effect.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace ragwortcove::daemon {

enum class log_level { debug, info, warning, error };

/// Everything that the daemon writes to its log; the value is the event's number.
enum class log_event : std::uint16_t {
    process_started = 100,
    listening = 101,
    listen_failed = 102,
    drain_started = 103,
    drain_finished = 104,
    drain_repeated = 105,
    settings_reloaded = 106,
    settings_not_applied = 107,
    settings_rejected = 108,
    plain_mode = 109,
    platform_embedded = 110,
    operator_rejected = 111,
    certificate_renewed = 112,
    certificate_rejected = 113,
    readiness_changed = 114,
    metrics_listening = 115,
    lines_left_out = 116,
    incarnation_raised = 117,
    process_ended = 118,
    accept_failed = 119,
    start_delayed = 120,
    process_failed = 121,

    request_placed = 200,
    request_queued = 201,
    permit_granted = 202,
    permit_denied = 203,
    request_displaced = 204,
    request_refused = 205,
    request_retried = 206,
    stream_resumed = 207,
    request_answered = 208,
    answer_cut = 209,
    call_rejected = 210,
    caller_vanished = 211,
    caller_too_slow = 212,
    quota_exceeded = 213,
    request_failed = 214,
    quota_awaited = 215,
    connection_closed = 216,

    attempt_failed = 300,
    upstream_ejected = 301,
    upstream_restored = 302,
    report_unreadable = 303,
    order_failed = 304,
    upstream_changed = 305,
    upstream_unreadable = 306,
    upstream_silent = 307,
    response_too_long = 308,
    upstream_leaves = 309,
    upstream_pauses = 310,
    retry_after_unreadable = 311,
    response_misplaced = 312,
    upstream_ended = 313,
    part_held_back = 314,
    part_trial_sent = 315,
    part_cleared = 316,
    part_unreadable = 317,
    part_not_stored = 318,
    part_trial_returned = 319,
    upstream_warms_up = 323,

    member_changed = 400,
    peer_disconnected = 401,
    peer_message_unreadable = 402,
    owner_silent = 403,
    peer_documents_read = 404,
    peer_documents_failed = 405,
    reading_changed = 406,
    fleet_view_changed = 407,
    store_era_began = 408,
    store_era_invalid = 409,
    store_response_outdated = 410,
    documents_left_out = 411,
    watch_cut = 412,
    removals_delayed = 413,
    nodes_sought = 414,
    node_entry_unreadable = 415,
    node_entry_call_failed = 416,
    documents_incomplete = 417,

    configuration_applied = 500,
    platform_lost = 501,
    platform_regained = 502,
    rules_applied = 503,
    rules_rejected = 504,

    move_stepped = 600,
    move_ended = 601,
    brake_set = 602,
    rollout_ordered = 603,
    rollout_stepped = 604,
    rollout_halted = 605,
    rollout_state_stored = 606,
    rollout_state_not_stored = 607,
    rollout_unreadable = 608,
    rollout_state_lost = 609,
    domain_drained = 620,
    domain_drain_ended = 621,
    domain_drain_unreadable = 622,
};

/// One row of the catalogue.
struct log_event_entry {
    log_event event = log_event::process_started;
    std::string_view name;
    log_level level = log_level::info;
    std::string_view meaning;
    /// What an operator should do when the event is seen.
    std::string_view action;
};

/// The whole catalogue, in order of the numbers.
[[nodiscard]] std::span<const log_event_entry> log_event_catalogue();
[[nodiscard]] const log_event_entry& describe(log_event event);
/// Event that a decision of the core is logged as.
[[nodiscard]] log_event event_of(core::decision_kind kind);
[[nodiscard]] std::string_view to_string(log_level level);
/// Text of docs/EVENTS.md.
[[nodiscard]] std::string render_event_page();

} // namespace ragwortcove::daemon
