#include "ragwortcove/gateway/gateway_metrics.hpp"

#include <array>

namespace ragwortcove::gateway {

namespace statistics = boost::accumulators;

static constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};
static constexpr std::string_view prefix = "ragwortcove_";

static std::string make_label(std::string_view key, std::string_view value)
{
    return std::string(key) + "=\"" + std::string(value) + "\"";
}

void gateway_metrics::count(std::string_view counter, std::string_view label,
                            std::string_view value)
{
    const auto found = this->counters.try_emplace(std::string(counter)).first;
    ++found->second[make_label(label, value)];
}

void gateway_metrics::observe(std::string_view histogram, std::string_view route,
                              core::duration took)
{
    auto& by_route = this->distributions[std::string(histogram)];
    const auto found =
        by_route
            .try_emplace(make_label("route", route),
                         distribution{statistics::extended_p_square_probabilities = quantiles})
            .first;
    found->second(std::chrono::duration<double>(took).count());
}

std::string gateway_metrics::render(const std::vector<gauge>& gauges) const
{
    std::string text;
    for (const auto& [name, values] : this->counters) {
        const std::string full = std::string(prefix) + name + "_total";
        text += "# TYPE " + full + " counter\n";
        for (const auto& [label, value] : values)
            text += full + "{" + label + "} " + std::to_string(value) + "\n";
    }
    for (const auto& [name, routes] : this->distributions) {
        const std::string full = std::string(prefix) + name + "_seconds";
        text += "# TYPE " + full + " summary\n";
        for (const auto& [label, values] : routes) {
            for (std::size_t index = 0; index < quantiles.size(); ++index) {
                text += full + "{" + label + ",quantile=\"" +
                        std::to_string(quantiles[index]).substr(0, 4) + "\"} " +
                        std::to_string(statistics::extended_p_square(values)[index]) + "\n";
            }
            text += full + "_sum{" + label + "} " + std::to_string(statistics::sum(values)) + "\n";
            text +=
                full + "_count{" + label + "} " + std::to_string(statistics::count(values)) + "\n";
        }
    }
    for (const gauge& each : gauges) {
        const std::string full = std::string(prefix) + each.name;
        text += "# HELP " + full + " " + each.help + "\n# TYPE " + full + " gauge\n";
        text += full + " " + std::to_string(each.value) + "\n";
    }
    return text;
}

} // namespace ragwortcove::gateway
