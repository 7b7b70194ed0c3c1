#include "ragwortcove/load/load_settings.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace ragwortcove::load {

using settings::ini_entry;
using settings::ini_section;
using settings::located_error;

static constexpr std::string_view class_prefix = "class ";
static constexpr std::string_view expected_number = "a whole number above zero";
static constexpr std::string_view expected_duration = "a duration such as 500ms or 10s";
static constexpr std::string_view expected_length =
    "a number, uniform LEAST MOST, or lognormal MEDIAN SPREAD";

template <class Into> struct known_key {
    std::string_view key;
    std::string_view expected;
    bool (*store)(Into& into, std::string_view text);
};

template <class Number> static bool store_number(std::string_view text, Number& into)
{
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, into);
    return read.ec == std::errc{} && read.ptr == end && into > Number{0};
}

static bool store_bool(std::string_view text, bool& into)
{
    into = text == "true";
    return into || text == "false";
}

static bool store_text(std::string_view text, std::string& into)
{
    into = std::string{text};
    return !text.empty();
}

static bool store_duration(std::string_view text, std::chrono::microseconds& into)
{
    const auto parsed = core::parse_duration(text);
    if (parsed)
        into = *parsed;
    return parsed.has_value();
}

static bool store_length(std::string_view text, length_distribution& into)
{
    const auto parsed = parse_length_distribution(text);
    if (parsed)
        into = *parsed;
    return parsed.has_value();
}

static bool store_entries(load_settings& into, std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        std::string_view word = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        word.remove_prefix(std::min(word.find_first_not_of(' '), word.size()));
        const auto parsed = core::parse_endpoint(word);
        if (!parsed)
            return false;
        into.entries.push_back(*parsed);
    }
    return !into.entries.empty();
}

static bool store_direct(load_settings& into, std::string_view text)
{
    into.direct = core::parse_endpoint(text);
    return into.direct.has_value();
}

static bool store_arrivals(load_class& into, std::string_view text)
{
    static constexpr std::array<std::string_view, 3> names{"poisson", "even", "bursts"};
    const auto* const found = std::find(names.begin(), names.end(), text);
    into.arrivals = static_cast<arrival_process>(found - names.begin());
    return found != names.end();
}

static bool store_kind(load_class& into, std::string_view text)
{
    into.kind = text == "chat" ? request_kind::chat : request_kind::service;
    return text == "chat" || text == "service";
}

static constexpr std::array run_keys{
    known_key<load_settings>{"entries", "addresses with ports, apart by commas", store_entries},
    known_key<load_settings>{"direct", "an address with a port", store_direct},
    known_key<load_settings>{"duration", expected_duration,
                             [](load_settings& into, std::string_view text) {
                                 return store_duration(text, into.duration);
                             }},
    known_key<load_settings>{"warm_up", expected_duration,
                             [](load_settings& into, std::string_view text) {
                                 return store_duration(text, into.warm_up);
                             }},
    known_key<load_settings>{
        "seed", expected_number,
        [](load_settings& into, std::string_view text) { return store_number(text, into.seed); }},
    known_key<load_settings>{"connections", expected_number,
                             [](load_settings& into, std::string_view text) {
                                 return store_number(text, into.connections);
                             }},
};

#define RAGWORTCOVE_CLASS_KEY(name, expected, store)                                               \
    known_key<load_class>                                                                          \
    {                                                                                              \
#name, expected,                                                                           \
            [](load_class & into, std::string_view text) { return store(text, into.name); }        \
    }

static constexpr std::array class_keys{
    RAGWORTCOVE_CLASS_KEY(route, "the name of a route", store_text),
    RAGWORTCOVE_CLASS_KEY(tier, "the name of a tier", store_text),
    RAGWORTCOVE_CLASS_KEY(team, "the name of a team", store_text),
    RAGWORTCOVE_CLASS_KEY(method, "GET or POST", store_text),
    RAGWORTCOVE_CLASS_KEY(path, "a path", store_text),
    RAGWORTCOVE_CLASS_KEY(rate_per_second, "a number above zero", store_number),
    RAGWORTCOVE_CLASS_KEY(burst_size, expected_number, store_number),
    RAGWORTCOVE_CLASS_KEY(prompt_tokens, expected_length, store_length),
    RAGWORTCOVE_CLASS_KEY(output_tokens, expected_length, store_length),
    RAGWORTCOVE_CLASS_KEY(stream, "true or false", store_bool),
    RAGWORTCOVE_CLASS_KEY(keyed, "true or false", store_bool),
    RAGWORTCOVE_CLASS_KEY(timeout, expected_duration, store_duration),
    known_key<load_class>{"arrivals", "poisson, even or bursts", store_arrivals},
    known_key<load_class>{"kind", "service or chat", store_kind},
};

#undef RAGWORTCOVE_CLASS_KEY

template <class Into>
static void read_entries(const std::string& file, const ini_section& section,
                         std::span<const known_key<Into>> keys, Into& into,
                         std::vector<located_error>& errors)
{
    for (const ini_entry& entry : section.entries) {
        const auto known = std::find_if(keys.begin(), keys.end(), [&](const known_key<Into>& each) {
            return each.key == entry.key;
        });
        if (known == keys.end()) {
            errors.push_back({file, entry.line, entry.key, "a key of this section", {}});
            continue;
        }
        if (!known->store(into, entry.value))
            errors.push_back(
                {file, entry.line, entry.key, std::string{known->expected}, entry.value});
    }
}

static void read_class(const std::string& file, const ini_section& section,
                       load_settings_outcome& outcome)
{
    load_class& made = outcome.settings->classes.emplace_back();
    made.name = section.name.substr(class_prefix.size());
    read_entries<load_class>(file, section, class_keys, made, outcome.errors);
    for (const std::string_view required : {"route", "rate_per_second"}) {
        if (settings::find_entry(section, required) == nullptr)
            outcome.errors.push_back(
                {file, section.line, section.name, "the key " + std::string{required}, {}});
    }
}

load_settings_outcome read_load_settings(const settings::ini_document& document)
{
    load_settings_outcome outcome;
    outcome.errors = document.errors;
    outcome.settings.emplace();
    for (const ini_section& section : document.sections) {
        if (section.name == "load")
            read_entries<load_settings>(document.file, section, run_keys, *outcome.settings,
                                        outcome.errors);
        if (section.name.starts_with(class_prefix))
            read_class(document.file, section, outcome);
        if (section.name != "load" && !section.name.starts_with(class_prefix))
            outcome.errors.push_back(
                {document.file, section.line, section.name, "[load] or [class NAME]", {}});
    }
    if (outcome.settings->entries.empty() && !outcome.settings->direct)
        outcome.errors.push_back({document.file, 0, "entries", "entries or direct in [load]", {}});
    if (outcome.settings->classes.empty())
        outcome.errors.push_back({document.file, 0, "class", "at least one [class NAME]", {}});
    if (!outcome.errors.empty())
        outcome.settings.reset();
    return outcome;
}

} // namespace ragwortcove::load
