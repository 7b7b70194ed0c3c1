/// \file
/// Settings of a daemon that serves HTTP traffic on the users' platform, read from an INI file.
#pragma once

#include "ragwortcove/core/admission_policy.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"
#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/rollout_controller.hpp"
#include "ragwortcove/core/team_quota.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/warmup_limit.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/settings/ini_document.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

struct gateway_settings {
    core::node_name name;
    core::region_name region;
    core::failure_domain_name failure_domain;
    /// Address that accepts requests of callers.
    core::endpoint callers;
    /// Address that serves readiness checks.
    core::endpoint readiness;
    /// Address that serves the list of caller addresses.
    core::endpoint directory;
    /// TCP and UDP address for other nodes.
    core::endpoint peers;
    /// Address that serves metrics; with port zero only `peers` serves them.
    core::endpoint metrics;
    /// Addresses of other nodes that receive the first heartbeats.
    std::vector<core::endpoint> seeds;
    core::endpoint store;
    /// Time to live of an address list at a caller, as sent with each list.
    core::duration address_time_to_live = std::chrono::seconds{1};
    /// Time from the request to stop until the process is killed.
    core::duration stop_limit = std::chrono::seconds{8};
    core::repeat_limits repeats;
    core::quota_tolerance quotas;
    core::rollout_limits rollouts;
    core::warmup_tolerance warmups;
    core::placement_options placement;
    /// How requests for engines are admitted under overload.
    core::admission_mode admission = core::admission_mode::by_patience;
    /// Whether waiting requests are served by their teams' shares.
    bool team_shares = false;
    /// Whether cells without free slots are compared by the waits that their owners state.
    bool cell_waits = false;
    /// Whether unencrypted connections are allowed beyond loopback.
    bool trusted_network = false;
    daemon::log_settings log;
};

struct gateway_settings_outcome {
    std::optional<gateway_settings> settings;
    std::vector<settings::located_error> errors;
};

/// Whether a settings file is for a gateway, which means that it has a section `[gateway]`.
[[nodiscard]] bool is_gateway_document(const settings::ini_document& document);
[[nodiscard]] gateway_settings_outcome
read_gateway_settings(const settings::ini_document& document);

} // namespace ragwortcove::gateway
