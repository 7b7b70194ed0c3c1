/// \file
/// What a run consists of: nodes, upstreams, configuration objects and callers' traffic.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/standin/engine_model.hpp"
#include "ragwortcove/standin/platform_model.hpp"
#include "ragwortcove/standin/service_model.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortcove::bench {

struct node_plan {
    core::node_name name;
    core::failure_domain_name failure_domain;
    core::endpoint callers;
    core::endpoint peers;
};

struct engine_plan {
    core::upstream_name name;
    core::failure_domain_name failure_domain;
    core::endpoint address;
    standin::engine_settings engine;
};

struct service_plan {
    core::upstream_name name;
    core::failure_domain_name failure_domain;
    core::endpoint address;
    core::target_name target;
    core::version_name version;
    standin::service_settings service;
};

/// Whole numbers from `least` to `most`, log-uniform.
struct length_range {
    double least = 1;
    double most = 1;
    [[nodiscard]] double mean() const;
    /// Mean of what a length is longer than `length`; zero for shorter ones.
    [[nodiscard]] double mean_beyond(double length) const;
};

/// Open-loop arrivals on one route.
struct traffic_plan {
    core::route_name route;
    core::team_name team;
    /// Share of all engine work, or of all service calls, that this traffic makes up.
    double share = 1.0;
    length_range prompt_tokens;
    length_range output_tokens;
    /// Prompts that begin with the same text: how many such texts and how long each is.
    std::uint32_t shared_prefixes = 0;
    std::uint32_t shared_prefix_tokens = 0;
    /// Whether callers take the answer in parts.
    bool streaming = false;
};

struct deployment {
    std::string name;
    core::region_name region;
    std::vector<node_plan> nodes;
    std::vector<engine_plan> engines;
    std::vector<service_plan> services;
    /// Configuration, written to the platform before the run.
    std::vector<core::object> objects;
    std::vector<traffic_plan> traffic;
    standin::platform_settings platform;
    /// Callers that keep addresses of their own.
    std::uint32_t callers = 20;
    /// Service calls a second at a load of 1; services are not what is scarce.
    double service_calls_per_second = 50.0;
};

/// Lounge access: ten engines, three admission servers, nine nodes.
[[nodiscard]] deployment consortium();
/// Licence assistant: twenty engines, three licence and payment servers, nine nodes.
[[nodiscard]] deployment torvelund();
/// Three nodes, four engines and two services, for fault schedules by the thousand.
[[nodiscard]] deployment small_site();

/// The route's object; asserts that there is one.
[[nodiscard]] const core::route_spec& route_of(const deployment& plan,
                                               const core::route_name& name);
[[nodiscard]] std::uint32_t rank_of(const deployment& plan, const core::route_name& route);
/// Requests a second that all engines together can finish of the engines' traffic, with shared
/// prefixes cached.
[[nodiscard]] double engine_capacity(const deployment& plan);

} // namespace ragwortcove::bench
