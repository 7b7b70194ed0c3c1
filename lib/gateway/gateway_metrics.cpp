#include "ragwortcove/gateway/gateway_metrics.hpp"

#include <array>

namespace ragwortcove::gateway {

namespace statistics = boost::accumulators;

static constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};
static constexpr std::string_view prefix = "ragwortcove_";

/// Names come from the operator and from upstreams, so a value may hold any byte.
static std::string make_label(std::string_view key, std::string_view value)
{
    std::string label = std::string(key) + "=\"";
    for (const char each : value) {
        if (each == '\\' || each == '"')
            label += '\\';
        if (each == '\n')
            label += "\\n";
        else
            label += each;
    }
    return label + "\"";
}

void gateway_metrics::count(std::string_view counter, std::string_view label,
                            std::string_view value, std::uint64_t amount)
{
    const auto found = this->counters.try_emplace(std::string(counter)).first;
    found->second[make_label(label, value)] += amount;
}

void gateway_metrics::observe(std::string_view histogram, std::string_view route,
                              core::duration elapsed)
{
    auto& by_route = this->distributions[std::string(histogram)];
    const auto found =
        by_route
            .try_emplace(make_label("route", route),
                         distribution{statistics::extended_p_square_probabilities = quantiles})
            .first;
    found->second(std::chrono::duration<double>(elapsed).count());
}

/// Appends one line of a metric: its name with a suffix, its labels in braces, its value.
static void add_line(std::string& to, std::string_view name, std::string_view labels,
                     const std::string& value)
{
    to += name;
    if (!labels.empty()) {
        to += "{";
        to += labels;
        to += "}";
    }
    to += " ";
    to += value;
    to += "\n";
}

static void add_type(std::string& to, std::string_view name, std::string_view type)
{
    to += "# TYPE ";
    to += name;
    to += " ";
    to += type;
    to += "\n";
}

static std::string full_name(std::string_view name, std::string_view suffix)
{
    std::string result{prefix};
    result += name;
    result += suffix;
    return result;
}

std::string gateway_metrics::render(const std::vector<gauge>& gauges) const
{
    std::string text;
    for (const auto& [name, values] : this->counters) {
        const std::string full = full_name(name, "_total");
        add_type(text, full, "counter");
        for (const auto& [label, value] : values)
            add_line(text, full, label, std::to_string(value));
    }
    for (const auto& [name, routes] : this->distributions) {
        add_type(text, full_name(name, "_seconds"), "summary");
        for (const auto& [label, values] : routes) {
            std::ptrdiff_t index = 0;
            for (const double quantile : quantiles) {
                const std::string labels =
                    label + "," + make_label("quantile", std::to_string(quantile).substr(0, 4));
                add_line(text, full_name(name, "_seconds"), labels,
                         std::to_string(statistics::extended_p_square(values)[index]));
                ++index;
            }
            add_line(text, full_name(name, "_seconds_sum"), label,
                     std::to_string(statistics::sum(values)));
            add_line(text, full_name(name, "_seconds_count"), label,
                     std::to_string(statistics::count(values)));
        }
    }
    for (const gauge& each : gauges) {
        const std::string full = full_name(each.name, "");
        text += "# HELP ";
        text += full;
        text += " ";
        text += each.help;
        text += "\n";
        add_type(text, full, "gauge");
        add_line(text, full, "", std::to_string(each.value));
    }
    return text;
}

} // namespace ragwortcove::gateway
