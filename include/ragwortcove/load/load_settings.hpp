/// \file
/// What a load run sends: classes of requests with their arrivals and lengths, read from INI.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/settings/ini_document.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortcove::load {

/// Every draw is the same.
struct fixed_length {
    double value = 0.0;
};

/// Every value between two is as likely as any other.
struct uniform_length {
    double least = 0.0;
    double most = 0.0;
};

/// Lognormal; `spread` is the standard deviation of the logarithm.
struct lognormal_length {
    double median = 0.0;
    double spread = 0.0;
};

using length_distribution = std::variant<fixed_length, uniform_length, lognormal_length>;

/// Reads `100`, `uniform 10 200` or `lognormal 150 1.2`.
[[nodiscard]] std::optional<length_distribution> parse_length_distribution(std::string_view text);
/// A whole length of at least one.
[[nodiscard]] std::uint32_t draw_length(const length_distribution& from, std::mt19937_64& random);

enum class arrival_process {
    /// Independent arrivals.
    poisson,
    /// Equal gaps.
    even,
    /// Groups of requests at once; the groups arrive independently.
    bursts,
};

enum class request_kind { service, chat };

/// Requests of one kind to one route.
struct load_class {
    std::string name;
    std::string route;
    /// Only names the tier in the results; the route decides it.
    std::string tier;
    std::string team;
    request_kind kind = request_kind::service;
    std::string method = "GET";
    /// Path on the service.
    std::string path = "/";
    arrival_process arrivals = arrival_process::poisson;
    double rate_per_second = 0.0;
    std::uint32_t burst_size = 1;
    length_distribution prompt_tokens = fixed_length{100.0};
    length_distribution output_tokens = fixed_length{100.0};
    bool stream = true;
    /// Sends a key of its own with each request.
    bool keyed = false;
    std::chrono::microseconds timeout{std::chrono::seconds{30}};
};

struct load_settings {
    /// Entries asked for addresses.
    std::vector<core::endpoint> entries;
    /// An upstream that is called without any entry, for comparison.
    std::optional<core::endpoint> direct;
    std::chrono::microseconds duration{std::chrono::seconds{10}};
    /// Time at the start whose requests are not counted.
    std::chrono::microseconds warm_up{0};
    std::uint64_t seed = 1;
    std::uint32_t connections = 32;
    std::vector<load_class> classes;
};

/// Settings to run with, or every mistake in the file.
struct load_settings_outcome {
    std::optional<load_settings> settings;
    std::vector<settings::located_error> errors;
};

[[nodiscard]] load_settings_outcome read_load_settings(const settings::ini_document& document);

} // namespace ragwortcove::load
