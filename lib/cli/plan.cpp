#include "ragwortcove/cli/plan.hpp"

#include <algorithm>

namespace ragwortcove::cli {

static std::optional<core::object> find_object(std::span<const core::object> objects,
                                               const core::object_key& key)
{
    const auto found = std::find_if(objects.begin(), objects.end(),
                                    [&](const core::object& each) { return each.key == key; });
    if (found == objects.end())
        return std::nullopt;
    return *found;
}

static change_action action_for(const core::object& wanted,
                                const std::optional<core::object>& current)
{
    if (!current)
        return change_action::create;
    const bool same = current->spec == wanted.spec && current->labels == wanted.labels;
    return same ? change_action::keep : change_action::update;
}

std::vector<planned_change> plan_changes(std::span<const settings::declared_object> declared,
                                         std::span<const core::object> in_force)
{
    std::vector<planned_change> plan;
    for (const auto& each : declared) {
        auto current = find_object(in_force, each.value.key);
        const auto action = action_for(each.value, current);
        plan.push_back({action, each.value, std::move(current)});
    }
    std::sort(plan.begin(), plan.end(),
              [](const auto& a, const auto& b) { return a.wanted.key < b.wanted.key; });
    return plan;
}

std::string_view to_string(change_action action)
{
    switch (action) {
    case change_action::create:
        return "create";
    case change_action::update:
        return "update";
    case change_action::keep:
        return "keep";
    }
    return "unknown";
}

static void print_missing(std::ostream& to, char mark, std::span<const core::field> from,
                          std::span<const core::field> other)
{
    for (const auto& each : from) {
        if (std::find(other.begin(), other.end(), each) == other.end())
            to << "  " << mark << ' ' << each.key << " = " << each.value << '\n';
    }
}

void print_difference(std::ostream& to, const planned_change& change)
{
    const auto wanted = core::to_fields(change.wanted);
    const auto current =
        change.current ? core::to_fields(*change.current) : std::vector<core::field>{};
    to << to_string(change.action) << " [" << to_string(change.wanted.key.kind) << ' '
       << change.wanted.key.name << "]\n";
    print_missing(to, '-', current, wanted);
    print_missing(to, '+', wanted, current);
}

} // namespace ragwortcove::cli
