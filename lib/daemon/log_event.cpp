#include "ragwortcove/daemon/log_event.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace ragwortcove::daemon {

static constexpr std::array catalogue{
    log_event_entry{log_event::process_started, "process_started", log_level::info,
                    "the daemon has read its settings and begins to run",
                    "none; `incarnation` is the number that request ids of this run start with"},
    log_event_entry{log_event::listening, "listening", log_level::info,
                    "an address takes connections, at once or again", "none"},
    log_event_entry{log_event::listen_failed, "listen_failed", log_level::error,
                    "an address of the settings cannot be listened on; it is tried again",
                    "see `error`: free the port, wait until the VM has the address, or correct "
                    "`key` of the settings (`[node] callers`, `[node] peers` or an embedded "
                    "`[platform] address` of a daemon without a gateway)"},
    log_event_entry{log_event::drain_started, "drain_started", log_level::info,
                    "a graceful shutdown was asked for; no new caller is sent here", "none"},
    log_event_entry{log_event::drain_finished, "drain_finished", log_level::info,
                    "every request is answered and the daemon ends", "none"},
    log_event_entry{log_event::drain_repeated, "drain_repeated", log_level::warning,
                    "a stop was asked for again during a graceful shutdown; it changes nothing",
                    "wait for `drain_finished`; its open requests are in `ragwortcove status`"},
    log_event_entry{log_event::settings_reloaded, "settings_reloaded", log_level::info,
                    "the settings file was read again and its safe keys are in force", "none"},
    log_event_entry{log_event::settings_not_applied, "settings_not_applied", log_level::warning,
                    "a key of the settings file differs from the running daemon's",
                    "restart the daemon to bring `key` into force"},
    log_event_entry{log_event::settings_rejected, "settings_rejected", log_level::error,
                    "the settings file has an error; the running settings stay in force",
                    "correct the file as `detail` says, then send SIGHUP again"},
    log_event_entry{log_event::plain_mode, "plain_mode", log_level::warning,
                    "callers and operators are served without TLS",
                    "set `[tls]` unless the address is on loopback"},
    log_event_entry{log_event::platform_embedded, "platform_embedded", log_level::warning,
                    "the object store is in this process's memory and nothing in it lasts",
                    "use `[platform] mode = http` for anything but a first try"},
    log_event_entry{log_event::operator_rejected, "operator_rejected", log_level::warning,
                    "an operator's call had neither the token nor a client certificate",
                    "check who calls; give operators the token or a certificate"},
    log_event_entry{log_event::certificate_renewed, "certificate_renewed", log_level::info,
                    "the certificate's files were read again; new connections get the new one",
                    "none"},
    log_event_entry{log_event::certificate_rejected, "certificate_rejected", log_level::error,
                    "the certificate's files cannot be used; the old certificate stays in force",
                    "check that `[tls] certificate` and `private_key` belong together"},
    log_event_entry{log_event::readiness_changed, "readiness_changed", log_level::info,
                    "this node became ready to serve, or is no more", "none"},
    log_event_entry{log_event::metrics_listening, "metrics_listening", log_level::info,
                    "counters and histograms are served at `address`", "none"},
    log_event_entry{log_event::lines_left_out, "lines_left_out", log_level::warning,
                    "lines of an event were too many, or the log's reader stalled; `count` is how "
                    "many are missing",
                    "use the counters for totals; look at the log's reader when it stalls"},
    log_event_entry{
        log_event::incarnation_raised, "incarnation_raised", log_level::info,
        "others know a later run of this node than its clock gave; it takes a later one",
        "check the VM's clock when it repeats"},
    log_event_entry{log_event::process_ended, "process_ended", log_level::info,
                    "the gateway has closed what it held, and the process ends",
                    "a process that is still there after this line is held up by the VM"},
    log_event_entry{log_event::accept_failed, "accept_failed", log_level::error,
                    "connections wait at the address of `key` and cannot be accepted",
                    "see `error`; with too many open files, look for callers that keep many "
                    "connections, or raise the process's limit of descriptors"},
    log_event_entry{log_event::start_delayed, "start_delayed", log_level::warning,
                    "this node has not been ready since its start; `awaits` is what it lacks, "
                    "`lists` how far the lists of the store have come that have several pages",
                    "for documents see `platform_lost`; the node goes on trying"},
    log_event_entry{log_event::process_failed, "process_failed", log_level::error,
                    "the process ends because of an error that nothing handles",
                    "report `reason` with the lines before it"},

    log_event_entry{log_event::request_placed, "request_placed", log_level::info,
                    "a request goes to an upstream", "none"},
    log_event_entry{log_event::request_queued, "request_queued", log_level::info,
                    "a request waits for a permit", "none; many of them mean too little capacity"},
    log_event_entry{log_event::permit_granted, "permit_granted", log_level::debug,
                    "this node granted a permit as a placement owner", "none"},
    log_event_entry{log_event::permit_denied, "permit_denied", log_level::info,
                    "this node denied a permit as a placement owner",
                    "none; many of them mean too little capacity"},
    log_event_entry{log_event::request_displaced, "request_displaced", log_level::info,
                    "a queued request gave way to one of a higher tier",
                    "add capacity if lower tiers must not wait"},
    log_event_entry{log_event::request_refused, "request_refused", log_level::info,
                    "a request ended without an answer; `detail` names verdict and reason",
                    "look up the reason in docs/CALLERS.md"},
    log_event_entry{log_event::request_retried, "request_retried", log_level::info,
                    "a request that provably did not run, or may be repeated, is sent again",
                    "look for `attempt_failed` lines of the same request"},
    log_event_entry{log_event::stream_resumed, "stream_resumed", log_level::info,
                    "a broken stream goes on where it broke", "none"},
    log_event_entry{log_event::request_answered, "request_answered", log_level::info,
                    "a caller has its whole answer", "none"},
    log_event_entry{log_event::answer_cut, "answer_cut", log_level::warning,
                    "an answer that had begun could not be completed; the caller was told",
                    "`last_failure`, `silent_ms`, `time_left_ms`, `rules` and `rules_now` tell the "
                    "causes apart; look for `attempt_failed` lines of the same request"},
    log_event_entry{log_event::call_rejected, "call_rejected", log_level::info,
                    "a call was malformed or named something unknown",
                    "tell the caller's developers; `detail` says what was expected"},
    log_event_entry{log_event::caller_vanished, "caller_vanished", log_level::info,
                    "a caller closed its connection before its answer was whole", "none"},
    log_event_entry{log_event::caller_too_slow, "caller_too_slow", log_level::warning,
                    "a caller read its answer too slowly and was cut off",
                    "check the caller's network; it may ask again under its verdict's rule"},
    log_event_entry{log_event::quota_exceeded, "quota_exceeded", log_level::info,
                    "a request was refused since its team has used up its quota",
                    "raise the team's quota if it is to send that much"},
    log_event_entry{
        log_event::request_failed, "request_failed", log_level::info,
        "a request ended with an error of this node; `verdict` says whether it may have "
        "run",
        "look for `attempt_failed` lines of the same request"},
    log_event_entry{log_event::quota_awaited, "quota_awaited", log_level::info,
                    "a request waits a moment since its team sends faster than its quota",
                    "none; many of them mean that the team is near its quota"},
    log_event_entry{log_event::connection_closed, "connection_closed", log_level::warning,
                    "this node closed a caller's connection before the end of its use; `reason` "
                    "and `phase` say why and when, `unsent` how many bytes the caller lacks",
                    "look for lines of the same `request`; without one no request was read"},

    log_event_entry{log_event::attempt_failed, "attempt_failed", log_level::warning,
                    "an upstream did not complete a request; `detail` or `how` says in which way, "
                    "`prompt_parts` which parts its prompt began with",
                    "look at the upstream when it is named often"},
    log_event_entry{log_event::upstream_ejected, "upstream_ejected", log_level::warning,
                    "an upstream gets no requests until it answers probes", "look at the upstream"},
    log_event_entry{log_event::upstream_restored, "upstream_restored", log_level::info,
                    "an upstream gets requests again", "none"},
    log_event_entry{log_event::report_unreadable, "report_unreadable", log_level::warning,
                    "an upstream's load or cache report could not be read",
                    "check the upstream's version and address"},
    log_event_entry{log_event::order_failed, "order_failed", log_level::warning,
                    "an upstream gave no usable answer to an order; it is asked again",
                    "look at the upstream when it is named often"},
    log_event_entry{log_event::upstream_changed, "upstream_changed", log_level::info,
                    "an upstream is ready, leaves, is gone or has started anew, as it announced",
                    "none"},
    log_event_entry{log_event::upstream_unreadable, "upstream_unreadable", log_level::warning,
                    "an upstream's announcement cannot be read; it is not used",
                    "look at who writes the announcement"},
    log_event_entry{log_event::upstream_silent, "upstream_silent", log_level::info,
                    "an upstream with a request sends nothing; it keeps the request until another "
                    "upstream has a slot for it",
                    "look at the upstream when it is named often"},
    log_event_entry{log_event::response_too_long, "response_too_long", log_level::warning,
                    "an upstream sent more bytes than a response may have; the attempt has failed",
                    "look at the upstream; docs/OPERATIONS.md lists the limits by `bound`"},
    log_event_entry{log_event::upstream_leaves, "upstream_leaves", log_level::info,
                    "an upstream has said in a response to the instance `from` that it leaves; it "
                    "gets no more requests until it starts anew",
                    "none"},
    log_event_entry{
        log_event::upstream_pauses, "upstream_pauses", log_level::info,
        "an upstream has turned a request away and wants nothing from this instance for "
        "`pause_ms`, at most an hour; others go on to send to it",
        "look at the upstream when it is named often"},
    log_event_entry{log_event::retry_after_unreadable, "retry_after_unreadable", log_level::warning,
                    "an upstream that turned a request away states no number of seconds in its "
                    "`Retry-After`; it is not paused",
                    "correct the upstream"},

    log_event_entry{log_event::response_misplaced, "response_misplaced", log_level::warning,
                    "an upstream sent a response to another request on a kept connection; it is "
                    "dropped, and the request waits for its own",
                    "look at the upstream when it is named often"},
    log_event_entry{log_event::upstream_ended, "upstream_ended", log_level::info,
                    "an upstream's process has ended while `requests` of this instance waited "
                    "for its responses, with `parts` in their prompts",
                    "none"},
    log_event_entry{log_event::part_held_back, "part_held_back", log_level::warning,
                    "upstreams have ended under this part of prompts, `upstreams` of them, "
                    "with no response between; requests with it are sent as trials only, one "
                    "at a time; `trials` of 3 have ended an upstream so far; `from` is this "
                    "instance, another one or the store",
                    "look at what the part is; `ragwortcove release` lets it through again"},
    log_event_entry{log_event::part_trial_sent, "part_trial_sent", log_level::info,
                    "a request with a part that is held back is sent, to find out whether "
                    "upstreams still end on it",
                    "none"},
    log_event_entry{log_event::part_cleared, "part_cleared", log_level::info,
                    "a part that was held back is not any more: an upstream has responded to "
                    "a request with it, or an operator has released it",
                    "none"},
    log_event_entry{log_event::part_unreadable, "part_unreadable", log_level::warning,
                    "an entry of the store for a part that is held back cannot be read; it is "
                    "ignored",
                    "correct or remove the entry at `place`"},
    log_event_entry{log_event::part_not_stored, "part_not_stored", log_level::warning,
                    "what is known of a part that is held back could not be stored; it is "
                    "retried, and the instances tell each other meanwhile",
                    "look at the platform when it repeats"},
    log_event_entry{log_event::part_trial_returned, "part_trial_returned", log_level::info,
                    "a trial has shown nothing of its part, for the `reason`, and does not count; "
                    "another request may be tried",
                    "none"},
    log_event_entry{log_event::upstream_warms_up, "upstream_warms_up", log_level::info,
                    "an upstream is warming up for `for_ms` more; until then it gets at most the "
                    "`rate` of requests a second of its target, from all instances together",
                    "none; see that the others can take its requests when many do at once"},

    log_event_entry{log_event::member_changed, "member_changed", log_level::info,
                    "another instance joined, left, is suspected or is dead",
                    "look at the VM when it stays `suspect` or `dead` without a planned stop"},
    log_event_entry{log_event::peer_disconnected, "peer_disconnected", log_level::info,
                    "a stream to another instance broke; it is opened again when needed",
                    "look at the network when it repeats"},
    log_event_entry{log_event::peer_message_unreadable, "peer_message_unreadable",
                    log_level::warning,
                    "a datagram from another instance, or an item of it, cannot be read, or states "
                    "a time or a number that cannot be meant; it is dropped",
                    "check that all instances run the same release"},
    log_event_entry{
        log_event::owner_silent, "owner_silent", log_level::warning,
        "the instance that owns a target or a quota did not answer; another one is used",
        "look at the instance or the network when it repeats"},
    log_event_entry{log_event::peer_documents_read, "peer_documents_read", log_level::info,
                    "newer documents came from another instance before the platform brought them",
                    "none; many of them mean that this instance cannot reach the platform"},
    log_event_entry{log_event::peer_documents_failed, "peer_documents_failed", log_level::warning,
                    "another instance that has newer documents did not give them in time, or has "
                    "too many readers; the platform is asked next",
                    "look at the network when it repeats"},
    log_event_entry{log_event::reading_changed, "reading_changed", log_level::info,
                    "this instance begins to read documents from the platform for the others, or "
                    "leaves that to them",
                    "none; many of them on one instance mean that it does not hear the others"},
    log_event_entry{
        log_event::fleet_view_changed, "fleet_view_changed", log_level::info,
        "this instance knows the fleet as the others do (`settled`), or has been paused "
        "and must hear from them first; until then it accounts for no quota",
        "look for what paused the VM when it repeats"},

    log_event_entry{log_event::store_era_began, "store_era_began", log_level::warning,
                    "the platform's store has come back from an older copy, and has lost changes; "
                    "the `kept` newer documents stay in force until they are written again",
                    "see that the operator and the upstreams write again what was lost"},
    log_event_entry{log_event::store_era_invalid, "store_era_invalid", log_level::warning,
                    "the store states an era that is no number, or lower than the one in force; it "
                    "is taken for the one in force",
                    "look at the store"},
    log_event_entry{log_event::store_response_outdated, "store_response_outdated", log_level::info,
                    "a response of the store from before it came back from a copy came late; it is "
                    "ignored",
                    "none"},
    log_event_entry{log_event::documents_left_out, "documents_left_out", log_level::warning,
                    "entries of the store, `count` of them, have no usable name or revision; they "
                    "are left out, the others hold",
                    "look at who writes entries of that kind"},
    log_event_entry{log_event::watch_cut, "watch_cut", log_level::info,
                    "the store ended a watch that waited, without a response; the documents are "
                    "listed again",
                    "none; see `platform_lost` for a store that does not answer"},
    log_event_entry{log_event::removals_delayed, "removals_delayed", log_level::info,
                    "the store was away for long enough that announcements may have lapsed, or has "
                    "lost some; upstreams that are missing now stay in use for `for_ms` after it "
                    "is back",
                    "none"},

    log_event_entry{log_event::nodes_sought, "nodes_sought", log_level::info,
                    "no seed responds to this instance; it has looked for others in the store, and "
                    "contacts those that it has `found`",
                    "see that the seeds in the settings are those of instances that run"},
    log_event_entry{log_event::node_entry_unreadable, "node_entry_unreadable", log_level::warning,
                    "an entry of the store for an instance that looks for others cannot be read; "
                    "it is ignored",
                    "correct or remove the entry at `place`"},
    log_event_entry{log_event::node_entry_call_failed, "node_entry_call_failed", log_level::warning,
                    "the store did not `write`, `list` or `remove` entries of instances that look "
                    "for others; the call is repeated when it is due",
                    "look at the platform when it repeats"},
    log_event_entry{
        log_event::documents_incomplete, "documents_incomplete", log_level::warning,
        "a list of the store has no end that can be reached; `count` documents were "
        "read, up to `page_after`, and are used; the rest is not known until it changes",
        "look at the store, and at the entry of that name"},

    log_event_entry{log_event::configuration_applied, "configuration_applied", log_level::info,
                    "a configuration revision is in force on this node", "none"},
    log_event_entry{log_event::platform_lost, "platform_lost", log_level::warning,
                    "the platform does not answer, or with what cannot be used (`reason`); this "
                    "node goes on with "
                    "what it has",
                    "restore the platform; writes of configuration wait until then"},
    log_event_entry{log_event::platform_regained, "platform_regained", log_level::info,
                    "the platform answers again", "none"},
    log_event_entry{log_event::rules_applied, "rules_applied", log_level::info,
                    "a version of the traffic rules is in force on this node", "none"},
    log_event_entry{
        log_event::rules_rejected, "rules_rejected", log_level::error,
        "a version of the traffic rules cannot be read; the last good one stays in force",
        "correct the configuration at `place`"},

    log_event_entry{log_event::move_stepped, "move_stepped", log_level::info,
                    "a move changed its phase or its share", "none"},
    log_event_entry{log_event::move_ended, "move_ended", log_level::info,
                    "a move is done or reverted; `detail` gives the reason",
                    "on `reverted`, look at the new version before moving again"},
    log_event_entry{log_event::brake_set, "brake_set", log_level::warning,
                    "a new version was seen to be bad and gets no more requests",
                    "look at the new version"},
    log_event_entry{log_event::rollout_ordered, "rollout_ordered", log_level::info,
                    "this node knows of an operator's roll-out, or its stored state changed",
                    "none"},
    log_event_entry{log_event::rollout_stepped, "rollout_stepped", log_level::info,
                    "the controller of a roll-out changed the new version's share, in "
                    "thousandths; `reason` gives the figures",
                    "none"},
    log_event_entry{log_event::rollout_halted, "rollout_halted", log_level::warning,
                    "the new version of a roll-out is bad and gets no more requests from this "
                    "node; `from` found it out or passed it on",
                    "look at the new version"},
    log_event_entry{log_event::rollout_state_stored, "rollout_state_stored", log_level::info,
                    "the platform has the state of a roll-out", "none"},
    log_event_entry{log_event::rollout_state_not_stored, "rollout_state_not_stored",
                    log_level::warning,
                    "the state of a roll-out could not be stored; it is decided again and retried",
                    "look at the platform when it repeats"},
    log_event_entry{log_event::rollout_unreadable, "rollout_unreadable", log_level::warning,
                    "an operator's roll-out cannot be read; it is not carried out",
                    "correct the entry at `place`"},
    log_event_entry{log_event::rollout_state_lost, "rollout_state_lost", log_level::warning,
                    "the store has come back from a copy without the state of a roll-out that had "
                    "ended; the state stays in force and is stored again",
                    "none"},
    log_event_entry{log_event::domain_drained, "domain_drained", log_level::info,
                    "the operator has a failure domain drained: none of its `upstreams` gets a "
                    "request from now on; `left` others remain",
                    "none, unless `left` is too small for the load"},
    log_event_entry{log_event::domain_drain_ended, "domain_drain_ended", log_level::info,
                    "the order to drain a failure domain is gone: its `upstreams` get requests "
                    "again, one after the other",
                    "none"},
    log_event_entry{log_event::domain_drain_unreadable, "domain_drain_unreadable",
                    log_level::warning,
                    "an order to drain a failure domain cannot be read; it has no effect",
                    "remove the entry, and order it under the domain's name"},
};

std::span<const log_event_entry> log_event_catalogue()
{
    return catalogue;
}

const log_event_entry& describe(log_event event)
{
    const auto* found = std::ranges::find(catalogue, event, &log_event_entry::event);
    assert(found != catalogue.end() && "every log event has a row in the catalogue");
    return *found;
}

log_event event_of(core::decision_kind kind)
{
    using core::decision_kind;
    switch (kind) {
    case decision_kind::placed:
        return log_event::request_placed;
    case decision_kind::queued:
        return log_event::request_queued;
    case decision_kind::granted:
        return log_event::permit_granted;
    case decision_kind::denied:
        return log_event::permit_denied;
    case decision_kind::displaced:
        return log_event::request_displaced;
    case decision_kind::refused:
        return log_event::request_refused;
    case decision_kind::retried:
        return log_event::request_retried;
    case decision_kind::resumed:
        return log_event::stream_resumed;
    case decision_kind::attempt_failed:
        return log_event::attempt_failed;
    case decision_kind::answered:
        return log_event::request_answered;
    case decision_kind::cut:
        return log_event::answer_cut;
    case decision_kind::upstream_ejected:
        return log_event::upstream_ejected;
    case decision_kind::upstream_restored:
        return log_event::upstream_restored;
    case decision_kind::member_changed:
        return log_event::member_changed;
    case decision_kind::configuration_applied:
        return log_event::configuration_applied;
    case decision_kind::move_stepped:
        return log_event::move_stepped;
    case decision_kind::move_ended:
        return log_event::move_ended;
    case decision_kind::brake_set:
        return log_event::brake_set;
    case decision_kind::platform_lost:
        return log_event::platform_lost;
    case decision_kind::platform_regained:
        return log_event::platform_regained;
    case decision_kind::drained:
        return log_event::drain_finished;
    }
    return log_event::request_refused;
}

std::string_view to_string(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::string render_event_page()
{
    std::string page = "# Log events\n\n"
                       "Each line of the daemon's log carries an event number and its name. "
                       "This page is printed by\n`ragwortcoved --events`; a unit test compares "
                       "it with the catalogue in `lib/daemon/log_event.cpp`.\n\n"
                       "| event | name | level | meaning | what to do |\n"
                       "|---|---|---|---|---|\n";
    for (const log_event_entry& entry : catalogue) {
        page += "| " + std::to_string(static_cast<unsigned>(entry.event));
        page += " | `" + std::string{entry.name};
        page += "` | " + std::string{to_string(entry.level)};
        page += " | " + std::string{entry.meaning};
        page += " | " + std::string{entry.action} + " |\n";
    }
    return page;
}

} // namespace ragwortcove::daemon
