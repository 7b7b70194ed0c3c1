#include "ragwortcove/daemon/daemon_settings.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <set>
#include <span>
#include <string_view>

namespace ragwortcove::daemon {

using settings::ini_document;
using settings::ini_entry;
using settings::ini_section;
using settings::located_error;

namespace {

/// Stores one key's text in the settings; false when the text cannot be taken.
using setter = bool (*)(daemon_settings& into, std::string_view text);

/// One key that a settings file may have.
struct known_key {
    std::string_view section;
    std::string_view key;
    bool required = false;
    std::string_view expected;
    setter store = nullptr;
};

} // namespace

static constexpr std::string_view expected_endpoint =
    "an IP address and a port, such as 192.0.2.1:8080";

template <class Number> static bool read_number(std::string_view text, Number& into)
{
    const char* end = text.data() + text.size();
    const std::from_chars_result read = std::from_chars(text.data(), end, into);
    return read.ec == std::errc{} && read.ptr == end;
}

static bool store_name(std::string_view text, std::string& into)
{
    static constexpr std::size_t longest_name = 63;
    static constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-.";
    if (text.empty() || text.size() > longest_name)
        return false;
    if (text.find_first_not_of(allowed) != std::string_view::npos)
        return false;
    into = std::string{text};
    return true;
}

static bool store_path(std::string_view text, std::string& into)
{
    into = std::string{text};
    return !text.empty();
}

static bool store_endpoint(std::string_view text, core::endpoint& into)
{
    const std::optional<core::endpoint> parsed = core::parse_endpoint(text);
    if (!parsed)
        return false;
    into = *parsed;
    return true;
}

static std::string_view trim(std::string_view text)
{
    static constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

static bool store_endpoints(std::string_view text, std::vector<core::endpoint>& into)
{
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const std::optional<core::endpoint> parsed =
            core::parse_endpoint(trim(text.substr(0, comma)));
        if (!parsed)
            return false;
        into.push_back(*parsed);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

static bool store_duration(std::string_view text, core::duration least, core::duration most,
                           core::duration& into)
{
    const std::optional<core::duration> parsed = core::parse_duration(text);
    if (!parsed || *parsed < least || *parsed > most)
        return false;
    into = *parsed;
    return true;
}

static bool store_rate(std::string_view text, double& into)
{
    static constexpr double least_calls_per_second = 0.1;
    static constexpr double most_calls_per_second = 1000.0;
    double parsed = 0.0;
    if (!read_number(text, parsed))
        return false;
    if (parsed < least_calls_per_second || parsed > most_calls_per_second)
        return false;
    into = parsed;
    return true;
}

static bool store_mode(std::string_view text, platform_mode& into)
{
    into = text == "embedded" ? platform_mode::embedded : platform_mode::http;
    return text == "embedded" || text == "http";
}

static bool store_level(std::string_view text, log_level& into)
{
    static constexpr std::array levels{log_level::debug, log_level::info, log_level::warning,
                                       log_level::error};
    const auto* found =
        std::ranges::find(levels, text, [](log_level level) { return to_string(level); });
    if (found == levels.end())
        return false;
    into = *found;
    return true;
}

static bool store_format(std::string_view text, log_format& into)
{
    into = text == "json" ? log_format::json : log_format::text;
    return text == "json" || text == "text";
}

static bool store_log_file(std::string_view text, std::string& into)
{
    into = text == "stderr" ? std::string{} : std::string{text};
    return !text.empty();
}

static bool store_token(std::string_view text, std::string& into)
{
    static constexpr std::size_t shortest_token = 16;
    into = std::string{text};
    return text.size() >= shortest_token;
}

static constexpr std::string_view expected_name = "1 to 63 characters out of a-z, 0-9, '-' and '.'";
static constexpr std::string_view expected_path = "a path";

// Lambdas without captures, so that the table is a constant.
static constexpr std::array known_keys{
    known_key{"node", "name", true, expected_name,
              [](daemon_settings& into, std::string_view text) {
                  return store_name(text, into.node.name.value);
              }},
    known_key{"node", "region", true, expected_name,
              [](daemon_settings& into, std::string_view text) {
                  return store_name(text, into.node.region.value);
              }},
    known_key{"node", "failure_domain", true, expected_name,
              [](daemon_settings& into, std::string_view text) {
                  return store_name(text, into.node.failure_domain.value);
              }},
    known_key{"node", "callers", true, expected_endpoint,
              [](daemon_settings& into, std::string_view text) {
                  return store_endpoint(text, into.node.callers);
              }},
    known_key{"node", "peers", true, expected_endpoint,
              [](daemon_settings& into, std::string_view text) {
                  return store_endpoint(text, into.node.peers);
              }},
    known_key{"node", "seeds", false, "IP addresses with ports, separated by commas",
              [](daemon_settings& into, std::string_view text) {
                  return store_endpoints(text, into.node.seeds);
              }},
    known_key{"node", "address_time_to_live", false, "a duration from 100ms to 10m, such as 5s",
              [](daemon_settings& into, std::string_view text) {
                  return store_duration(text, std::chrono::milliseconds{100},
                                        std::chrono::minutes{10}, into.node.address_time_to_live);
              }},
    known_key{"node", "idle_limit", false, "a duration from 100ms to 5m, such as 2s",
              [](daemon_settings& into, std::string_view text) {
                  return store_duration(text, std::chrono::milliseconds{100},
                                        std::chrono::minutes{5}, into.node.idle_limit);
              }},
    known_key{"node", "placement_policy", false, "the name of a placement policy",
              [](daemon_settings& into, std::string_view text) {
                  into.node.placement_policy = std::string{text};
                  return !text.empty();
              }},
    known_key{"platform", "mode", true, "http or embedded",
              [](daemon_settings& into, std::string_view text) {
                  return store_mode(text, into.platform.mode);
              }},
    known_key{"platform", "address", true, expected_endpoint,
              [](daemon_settings& into, std::string_view text) {
                  return store_endpoint(text, into.platform.address);
              }},
    known_key{"platform", "calls_per_second", false, "a number from 0.1 to 1000",
              [](daemon_settings& into, std::string_view text) {
                  return store_rate(text, into.node.platform_calls_per_second);
              }},
    known_key{"log", "level", false, "debug, info, warning or error",
              [](daemon_settings& into, std::string_view text) {
                  return store_level(text, into.log.level);
              }},
    known_key{"log", "file", false, "stderr or a path",
              [](daemon_settings& into, std::string_view text) {
                  return store_log_file(text, into.log.file);
              }},
    known_key{"log", "format", false, "text or json",
              [](daemon_settings& into, std::string_view text) {
                  return store_format(text, into.log.format);
              }},
    known_key{"tls", "certificate", false, expected_path,
              [](daemon_settings& into, std::string_view text) {
                  return store_path(text, into.tls.certificate_file);
              }},
    known_key{"tls", "private_key", false, expected_path,
              [](daemon_settings& into, std::string_view text) {
                  return store_path(text, into.tls.private_key_file);
              }},
    known_key{"tls", "client_authority", false, expected_path,
              [](daemon_settings& into, std::string_view text) {
                  return store_path(text, into.tls.client_authority_file);
              }},
    known_key{"peer_tls", "certificate", false, expected_path,
              [](daemon_settings& into, std::string_view text) {
                  return store_path(text, into.peer_tls.certificate_file);
              }},
    known_key{"peer_tls", "private_key", false, expected_path,
              [](daemon_settings& into, std::string_view text) {
                  return store_path(text, into.peer_tls.private_key_file);
              }},
    known_key{"peer_tls", "authority", false, expected_path,
              [](daemon_settings& into, std::string_view text) {
                  return store_path(text, into.peer_tls.authority_file);
              }},
    known_key{"admin", "token", false, "at least 16 characters",
              [](daemon_settings& into, std::string_view text) {
                  return store_token(text, into.admin_token);
              }},
};

bool is_loopback(const core::endpoint& address)
{
    return address.address.starts_with("127.") || address.address == "::1";
}

static bool is_known_section(std::string_view name)
{
    return std::ranges::any_of(known_keys,
                               [&](const known_key& known) { return known.section == name; });
}

static const known_key* find_known_key(std::string_view section, std::string_view key)
{
    const auto* found = std::ranges::find_if(known_keys, [&](const known_key& known) {
        return known.section == section && known.key == key;
    });
    return found == known_keys.end() ? nullptr : found;
}

static std::string list_keys(std::string_view section)
{
    std::string listed;
    for (const known_key& known : known_keys) {
        if (known.section != section)
            continue;
        if (!listed.empty())
            listed += ", ";
        listed += known.key;
    }
    return listed;
}

static std::string list_sections()
{
    std::set<std::string_view> names;
    for (const known_key& known : known_keys)
        names.insert(known.section);
    std::string listed;
    for (const std::string_view name : names) {
        if (!listed.empty())
            listed += ", ";
        listed += name;
    }
    return listed;
}

namespace {

/// Walks a document and gathers settings and mistakes side by side.
struct settings_reader {
    const ini_document& document;
    daemon_settings settings;
    std::vector<located_error> errors;
    std::set<std::pair<std::string, std::string>> seen;

    void report(std::size_t line, std::string_view key, std::string_view expected,
                std::string_view found);
    void read_section(const ini_section& section);
    void read_entry(const ini_section& section, const ini_entry& entry);
    void require(std::string_view section, std::string_view key, std::string_view expected);
    [[nodiscard]] bool has(std::string_view section, std::string_view key) const;
    void check_pair(std::string_view section, std::string_view key, std::string_view needed);
    void check_plain(std::string_view key, const core::endpoint& address, std::string_view section);
    void check_whole();
};

} // namespace

void settings_reader::report(std::size_t line, std::string_view key, std::string_view expected,
                             std::string_view found)
{
    this->errors.push_back(
        {this->document.file, line, std::string{key}, std::string{expected}, std::string{found}});
}

void settings_reader::read_section(const ini_section& section)
{
    if (!is_known_section(section.name)) {
        this->report(section.line, section.name, "one of the sections " + list_sections(),
                     section.name);
        return;
    }
    for (const ini_entry& entry : section.entries)
        this->read_entry(section, entry);
}

void settings_reader::read_entry(const ini_section& section, const ini_entry& entry)
{
    const known_key* known = find_known_key(section.name, entry.key);
    if (known == nullptr) {
        this->report(entry.line, entry.key,
                     "one of the keys of [" + section.name + "]: " + list_keys(section.name), "");
        return;
    }
    if (!this->seen.emplace(section.name, entry.key).second) {
        this->report(entry.line, entry.key, "each key once", entry.value);
        return;
    }
    if (!known->store(this->settings, entry.value))
        this->report(entry.line, entry.key, known->expected, entry.value);
}

bool settings_reader::has(std::string_view section, std::string_view key) const
{
    return this->seen.contains({std::string{section}, std::string{key}});
}

/// Reports a missing key at its section's header, or at the whole file without one.
void settings_reader::require(std::string_view section, std::string_view key,
                              std::string_view expected)
{
    if (this->has(section, key))
        return;
    const ini_section* header = settings::find_section(this->document, section);
    const std::size_t line = header == nullptr ? 0 : header->line;
    const std::string place = "[" + std::string{section} + "] " + std::string{key};
    this->report(line, place, expected, "");
}

void settings_reader::check_pair(std::string_view section, std::string_view key,
                                 std::string_view needed)
{
    if (this->has(section, key))
        this->require(section, needed, "a path, since " + std::string{key} + " is set");
}

/// Plain connections are for loopback alone.
void settings_reader::check_plain(std::string_view key, const core::endpoint& address,
                                  std::string_view section)
{
    if (!this->has("node", key) || address.port == 0 || is_loopback(address))
        return;
    this->require(section, "certificate",
                  "a path, since [node] " + std::string{key} + " is not on loopback");
}

void settings_reader::check_whole()
{
    for (const known_key& known : known_keys) {
        if (known.required)
            this->require(known.section, known.key, known.expected);
    }
    this->check_plain("callers", this->settings.node.callers, "tls");
    this->check_plain("peers", this->settings.node.peers, "peer_tls");
    this->check_pair("tls", "certificate", "private_key");
    this->check_pair("tls", "private_key", "certificate");
    this->check_pair("tls", "client_authority", "certificate");
    this->check_pair("peer_tls", "certificate", "private_key");
    this->check_pair("peer_tls", "certificate", "authority");
    this->check_pair("peer_tls", "private_key", "certificate");
    this->check_pair("peer_tls", "authority", "certificate");
}

settings_outcome read_daemon_settings(const ini_document& document)
{
    settings_reader reader{document, {}, document.errors, {}};
    for (const ini_section& section : document.sections)
        reader.read_section(section);
    reader.check_whole();
    std::ranges::stable_sort(reader.errors, {}, &located_error::line);
    if (!reader.errors.empty())
        return {std::nullopt, std::move(reader.errors)};
    return {std::move(reader.settings), {}};
}

settings_outcome load_daemon_settings(const std::string& path)
{
    const ini_document document = settings::load_ini(path);
    // A file that cannot be opened has one fault; that keys are missing follows from it.
    if (document.sections.empty() && !document.errors.empty())
        return {std::nullopt, document.errors};
    return read_daemon_settings(document);
}

} // namespace ragwortcove::daemon
