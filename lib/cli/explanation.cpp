#include "ragwortcove/cli/explanation.hpp"

#include <array>
#include <charconv>

namespace ragwortcove::cli {

/// Wait for a place from which on it is told of as a cause, in milliseconds.
static constexpr long long_wait_ms = 100;

std::string field_of(std::string_view line, std::string_view key)
{
    const std::string start = " " + std::string(key) + "=";
    const std::size_t found = line.find(start);
    if (found == std::string_view::npos)
        return {};
    const std::string_view rest = line.substr(found + start.size());
    if (!rest.empty() && rest.front() == '"') {
        const std::size_t end = rest.find('"', 1);
        return std::string(rest.substr(1, end == std::string_view::npos ? end : end - 1));
    }
    return std::string(rest.substr(0, rest.find(' ')));
}

static long number_of(std::string_view line, std::string_view key)
{
    const std::string text = field_of(line, key);
    long value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

static bool ends_request(std::string_view name)
{
    static constexpr std::array ends{"request_refused", "request_failed", "answer_cut",
                                     "request_answered", "caller_vanished"};
    for (const std::string_view each : ends) {
        if (name == each)
            return true;
    }
    return false;
}

/// Last line of that name; empty when there is none.
static std::string last_named(std::span<const std::string> lines, std::string_view name)
{
    std::string found;
    for (const std::string& line : lines) {
        if (field_of(line, "name") == name)
            found = line;
    }
    return found;
}

static std::string describe_attempt(std::span<const std::string> lines)
{
    const std::string attempt = last_named(lines, "attempt_failed");
    if (attempt.empty())
        return "no upstream had been asked";
    return "upstream " + field_of(attempt, "upstream") + " ended it as " +
           field_of(attempt, "how") + " (status " + field_of(attempt, "status") + ") after " +
           field_of(attempt, "after_ms") + " ms";
}

static std::string describe_wait(std::span<const std::string> lines)
{
    const std::string placed = last_named(lines, "request_placed");
    const long waited = placed.empty() ? 0 : number_of(placed, "waited_ms");
    if (waited < long_wait_ms)
        return {};
    return "; it had waited " + std::to_string(waited) + " ms for a place";
}

static std::string describe_refusal(std::span<const std::string> lines, const std::string& end)
{
    const std::string quota = last_named(lines, "quota_exceeded");
    if (!quota.empty())
        return "refused, not run: team " + field_of(quota, "team") +
               " had used up its quota under rules " + field_of(quota, "rules") + " (cost " +
               field_of(quota, "cost") + ")";
    return "refused, " + field_of(end, "verdict") + ": " + field_of(end, "reason") + ", after " +
           field_of(end, "age_ms") + " ms; told to come back after " +
           field_of(end, "retry_after_ms") + " ms";
}

std::string conclude(std::span<const std::string> lines)
{
    std::string end;
    for (const std::string& line : lines) {
        if (ends_request(field_of(line, "name")))
            end = line;
    }
    const std::string name = field_of(end, "name");
    if (name == "request_refused")
        return describe_refusal(lines, end);
    if (name == "request_failed")
        return "answered " + field_of(end, "status") + ", " + field_of(end, "verdict") + ": " +
               field_of(end, "reason") + " under rules " + field_of(end, "rules") + "; " +
               describe_attempt(lines) + describe_wait(lines);
    if (name == "answer_cut")
        return "cut after event " + field_of(end, "last_event") + ": " + describe_attempt(lines) +
               describe_wait(lines);
    if (name == "caller_vanished")
        return "the caller left after " + field_of(end, "age_ms") + " ms" +
               (field_of(end, "upstream").empty()
                    ? ", while it waited"
                    : ", while upstream " + field_of(end, "upstream") + " was at work") +
               describe_wait(lines);
    if (name == "request_answered")
        return "answered " + field_of(end, "status") + " by upstream " + field_of(end, "upstream") +
               " after " + field_of(end, "whole_ms") + " ms" + describe_wait(lines);
    if (last_named(lines, "request_placed").empty() && last_named(lines, "attempt_failed").empty())
        return {};
    return "the lines do not tell its end: the process ended, or lines were left out";
}

} // namespace ragwortcove::cli
