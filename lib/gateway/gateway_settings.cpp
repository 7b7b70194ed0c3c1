#include "ragwortcove/gateway/gateway_settings.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/daemon_settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace ragwortcove::gateway {

using settings::ini_document;
using settings::ini_entry;
using settings::ini_section;
using settings::located_error;

namespace {

using setter = bool (*)(gateway_settings& into, std::string_view text);

struct known_key {
    std::string_view section;
    std::string_view key;
    bool required = false;
    std::string_view expected;
    setter set = nullptr;
};

} // namespace

static constexpr std::string_view expected_name = "1 to 63 characters";
static constexpr std::string_view expected_endpoint =
    "an IP address and a port, such as 192.0.2.1:8080";
static constexpr std::string_view expected_duration = "a duration, such as 250ms or 5s";

static bool read_name(std::string_view text, std::string& into)
{
    static constexpr std::size_t max_name_length = 63;
    into = std::string(text);
    return !text.empty() && text.size() <= max_name_length;
}

static bool read_endpoint(std::string_view text, core::endpoint& into)
{
    const std::optional<core::endpoint> parsed = core::parse_endpoint(text);
    if (parsed)
        into = *parsed;
    return parsed.has_value();
}

static bool read_endpoints(std::string_view text, std::vector<core::endpoint>& into)
{
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        core::endpoint parsed;
        if (!read_endpoint(text.substr(0, comma), parsed))
            return false;
        into.push_back(parsed);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

static bool read_duration(std::string_view text, core::duration& into)
{
    const std::optional<core::duration> parsed = core::parse_duration(text);
    if (parsed)
        into = *parsed;
    return parsed.has_value() && *parsed > core::duration::zero();
}

static bool read_number(std::string_view text, double& into)
{
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, into);
    return read.ec == std::errc{} && read.ptr == end && std::isfinite(into) && into >= 0.0;
}

static bool read_count(std::string_view text, std::uint32_t& into)
{
    double read = 0.0;
    const bool readable =
        read_number(text, read) && read <= std::numeric_limits<std::uint32_t>::max();
    if (readable)
        into = static_cast<std::uint32_t>(read);
    return readable;
}

static bool read_flag(std::string_view text, bool& into)
{
    into = text == "true";
    return text == "true" || text == "false";
}

static bool read_admission(std::string_view text, core::admission_mode& into)
{
    into =
        text == "deadline" ? core::admission_mode::by_deadline : core::admission_mode::by_patience;
    return text == "deadline" || text == "patience";
}

static bool read_level(std::string_view text, daemon::log_level& into)
{
    static constexpr std::array levels{daemon::log_level::debug, daemon::log_level::info,
                                       daemon::log_level::warning, daemon::log_level::error};
    const auto* found = std::ranges::find(
        levels, text, [](daemon::log_level level) { return daemon::to_string(level); });
    if (found == levels.end())
        return false;
    into = *found;
    return true;
}

static constexpr std::array known_keys{
    known_key{"node", "name", true, expected_name,
              [](gateway_settings& into, std::string_view text) {
                  return read_name(text, into.name.value);
              }},
    known_key{"node", "region", true, expected_name,
              [](gateway_settings& into, std::string_view text) {
                  return read_name(text, into.region.value);
              }},
    known_key{"node", "failure_domain", true, expected_name,
              [](gateway_settings& into, std::string_view text) {
                  return read_name(text, into.failure_domain.value);
              }},
    known_key{"gateway", "callers", true, expected_endpoint,
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoint(text, into.callers);
              }},
    known_key{"gateway", "readiness", true, expected_endpoint,
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoint(text, into.readiness);
              }},
    known_key{"gateway", "directory", true, expected_endpoint,
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoint(text, into.directory);
              }},
    known_key{"gateway", "peers", true, expected_endpoint,
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoint(text, into.peers);
              }},
    known_key{"gateway", "metrics", false, expected_endpoint,
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoint(text, into.metrics);
              }},
    known_key{"gateway", "seeds", false, "IP addresses with ports, separated by commas",
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoints(text, into.seeds);
              }},
    known_key{"gateway", "store", true, expected_endpoint,
              [](gateway_settings& into, std::string_view text) {
                  return read_endpoint(text, into.store);
              }},
    known_key{"gateway", "address_time_to_live", false, expected_duration,
              [](gateway_settings& into, std::string_view text) {
                  return read_duration(text, into.address_time_to_live);
              }},
    known_key{"gateway", "stop_limit", false, expected_duration,
              [](gateway_settings& into, std::string_view text) {
                  return read_duration(text, into.stop_limit);
              }},
    known_key{"gateway", "repeat_share", false, "a number from zero on",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.repeats.share);
              }},
    known_key{"gateway", "repeat_allowance", false, "a number from zero on",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.repeats.allowance);
              }},
    known_key{"gateway", "repeat_window", false, expected_duration,
              [](gateway_settings& into, std::string_view text) {
                  return read_duration(text, into.repeats.window);
              }},
    known_key{"gateway", "quota_window", false, expected_duration,
              [](gateway_settings& into, std::string_view text) {
                  return read_duration(text, into.quotas.window);
              }},
    known_key{"gateway", "quota_overrun", false, "a number from zero on",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.quotas.overrun);
              }},
    known_key{"gateway", "quota_slack", false, "a number from zero on",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.quotas.slack);
              }},
    known_key{"gateway", "canary_share", false, "a number from zero to one",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.rollouts.max_share) &&
                         into.rollouts.max_share <= 1.0;
              }},
    known_key{"gateway", "canary_allowance", false, "a number from zero on",
              [](gateway_settings& into, std::string_view text) {
                  return read_count(text, into.rollouts.extra_requests);
              }},
    known_key{"gateway", "warmup_overrun", false, "a number from one on",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.warmups.overrun) && into.warmups.overrun >= 1.0;
              }},
    known_key{"gateway", "warmup_slack", false, "a number from zero on",
              [](gateway_settings& into, std::string_view text) {
                  return read_number(text, into.warmups.slack);
              }},
    known_key{"gateway", "pace_places", false, "true or false",
              [](gateway_settings& into, std::string_view text) {
                  return read_flag(text, into.placement.paced_places);
              }},
    known_key{"gateway", "admission", false, "deadline or patience",
              [](gateway_settings& into, std::string_view text) {
                  return read_admission(text, into.admission);
              }},
    known_key{"gateway", "team_shares", false, "true or false",
              [](gateway_settings& into, std::string_view text) {
                  return read_flag(text, into.team_shares);
              }},
    known_key{"gateway", "cell_waits", false, "true or false",
              [](gateway_settings& into, std::string_view text) {
                  return read_flag(text, into.cell_waits);
              }},
    known_key{"gateway", "spill", false, "auto or off",
              [](gateway_settings& into, std::string_view text) {
                  into.placement.spill.enabled = text == "auto";
                  return text == "auto" || text == "off";
              }},
    known_key{"gateway", "spill_cost", false, expected_duration,
              [](gateway_settings& into, std::string_view text) {
                  return read_duration(text, into.placement.spill.cost_per_kilobyte);
              }},
    known_key{"gateway", "trusted_network", false, "true or false",
              [](gateway_settings& into, std::string_view text) {
                  return read_flag(text, into.trusted_network);
              }},
    known_key{"log", "level", false, "debug, info, warning or error",
              [](gateway_settings& into, std::string_view text) {
                  return read_level(text, into.log.level);
              }},
};

// A template names every key; a deployment that does not state a value leaves it empty, or leaves
// the placeholder in its place.
static bool is_unstated(std::string_view value)
{
    return value.empty() || (value.starts_with("{{") && value.ends_with("}}"));
}

bool is_gateway_document(const ini_document& document)
{
    return settings::find_section(document, "gateway") != nullptr;
}

namespace {

/// Reads a document and collects its settings and its errors.
struct settings_reader {
    const ini_document& document;
    gateway_settings settings;
    std::vector<located_error> errors;
    std::set<std::pair<std::string, std::string>> seen;

    void report(std::size_t line, std::string_view key, std::string_view expected,
                std::string_view found)
    {
        this->errors.push_back({this->document.file, line, std::string(key), std::string(expected),
                                std::string(found)});
    }

    void read_entry(const ini_section& section, const ini_entry& entry)
    {
        const auto* known = std::ranges::find_if(known_keys, [&](const known_key& each) {
            return each.section == section.name && each.key == entry.key;
        });
        if (known == known_keys.end()) {
            this->report(entry.line, entry.key, "a key of [" + section.name + "]", "");
            return;
        }
        if (is_unstated(entry.value))
            return;
        if (!this->seen.emplace(section.name, entry.key).second) {
            this->report(entry.line, entry.key, "each key once", entry.value);
            return;
        }
        if (!known->set(this->settings, entry.value))
            this->report(entry.line, entry.key, known->expected, entry.value);
    }

    void check_document()
    {
        for (const known_key& known : known_keys) {
            const bool given =
                this->seen.contains({std::string(known.section), std::string(known.key)});
            if (known.required && !given)
                this->report(0, "[" + std::string(known.section) + "] " + std::string(known.key),
                             known.expected, "");
        }
        const bool is_exposed =
            !daemon::is_loopback(this->settings.callers) && this->settings.callers.port != 0;
        if (is_exposed && !this->settings.trusted_network)
            this->report(0, "[gateway] trusted_network",
                         "true, since callers is not on loopback and connections are plain",
                         "false");
    }
};

} // namespace

gateway_settings_outcome read_gateway_settings(const ini_document& document)
{
    settings_reader reader{document, {}, document.errors, {}};
    reader.settings.log.file = daemon::standard_output;
    for (const ini_section& section : document.sections) {
        for (const ini_entry& entry : section.entries)
            reader.read_entry(section, entry);
    }
    reader.check_document();
    std::ranges::stable_sort(reader.errors, {}, &located_error::line);
    if (!reader.errors.empty())
        return {std::nullopt, std::move(reader.errors)};
    return {std::move(reader.settings), {}};
}

} // namespace ragwortcove::gateway
