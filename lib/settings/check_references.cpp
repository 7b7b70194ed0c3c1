#include "ragwortcove/settings/object_file.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace ragwortcove::settings {

using core::object_kind;

namespace {

using object_map = std::map<core::object_key, core::object>;

/// The objects as they would stand after the declared ones are applied.
class reference_check {
public:
    reference_check(std::span<const core::object> old_objects, core::unix_millis at) : now(at)
    {
        for (const auto& each : old_objects)
            this->in_force.emplace(each.key, each);
        this->all = this->in_force;
    }

    void add(const declared_object& declared)
    {
        if (!this->declared_keys.insert(declared.value.key).second)
            this->fail(declared, "", "each section once");
        this->all.insert_or_assign(declared.value.key, declared.value);
    }

    void check(const declared_object& declared)
    {
        std::visit([&](const auto& spec) { this->check_spec(declared, spec); },
                   declared.value.spec);
    }

    std::vector<located_error> errors;

private:
    template <class Spec> [[nodiscard]] const Spec* find(object_kind kind, std::string_view name)
    {
        const auto found = this->all.find({kind, std::string(name)});
        return found == this->all.end() ? nullptr : std::get_if<Spec>(&found->second.spec);
    }

    [[nodiscard]] bool is_target(const core::target_name& target) const
    {
        return std::any_of(this->all.begin(), this->all.end(), [&](const auto& entry) {
            const auto* upstream = std::get_if<core::upstream_spec>(&entry.second.spec);
            return upstream != nullptr && upstream->target == target;
        });
    }

    /// Whether an upstream that the route may use serves the route's version.
    [[nodiscard]] bool is_served(const core::route_spec& route) const
    {
        return std::any_of(this->all.begin(), this->all.end(), [&](const auto& entry) {
            const auto* upstream = std::get_if<core::upstream_spec>(&entry.second.spec);
            return upstream != nullptr && upstream->target == route.target &&
                   upstream->kind == route.kind && upstream->version == route.version &&
                   core::matches(route.selector, entry.second.labels);
        });
    }

    void check_spec(const declared_object& at, const core::upstream_spec& spec)
    {
        if (!spec.version.empty())
            this->check_version(at, "version", spec.version, spec.target);
    }

    void check_spec(const declared_object& at, const core::route_spec& spec)
    {
        if (this->find<core::tier_spec>(object_kind::tier, spec.tier.value) == nullptr)
            this->fail(at, "tier", "a tier that is declared");
        if (!this->is_target(spec.target)) {
            this->fail(at, "target", "a target that an upstream declares");
            return;
        }
        if (spec.version.empty() || !this->check_version(at, "version", spec.version, spec.target))
            return;
        if (!this->is_served(spec))
            this->fail(at, "version", "a version that a selected upstream serves");
    }

    void check_spec(const declared_object& at, const core::move_spec& spec)
    {
        const auto* route = this->find<core::route_spec>(object_kind::route, spec.route.value);
        if (route == nullptr) {
            this->fail(at, "route", "a route that is declared");
            return;
        }
        this->check_version(at, "from", spec.from, route->target);
        this->check_version(at, "to", spec.to, route->target);
        if (spec.from == spec.to)
            this->fail(at, "to", "another version than from");
        if (this->is_unchanged(at.value))
            return;
        if (spec.finish_by <= this->now)
            this->fail(at, "finish_by", "a time that has not passed");
        if (this->other_move_on(spec.route, at.value.key))
            this->fail(at, "route", "a route without another move that has not ended");
    }

    /// Tiers, teams and versions name no other object.
    template <class Spec> void check_spec(const declared_object&, const Spec&) {}

    bool check_version(const declared_object& at, std::string_view key,
                       const core::version_name& name, const core::target_name& target)
    {
        const auto* version = this->find<core::version_spec>(object_kind::version, name.value);
        if (version == nullptr) {
            this->fail(at, key, "a version that is declared");
            return false;
        }
        if (version->target != target) {
            this->fail(at, key, "a version of the target " + target.value);
            return false;
        }
        return true;
    }

    [[nodiscard]] bool is_unchanged(const core::object& value) const
    {
        const auto found = this->in_force.find(value.key);
        return found != this->in_force.end() && found->second.spec == value.spec;
    }

    [[nodiscard]] bool has_ended(const std::string& move)
    {
        const auto* status = this->find<core::move_status_spec>(object_kind::move_status, move);
        return status != nullptr && (status->phase == core::move_phase::done ||
                                     status->phase == core::move_phase::reverted);
    }

    [[nodiscard]] bool other_move_on(const core::route_name& route, const core::object_key& self)
    {
        return std::any_of(this->all.begin(), this->all.end(), [&](const auto& entry) {
            const auto* move = std::get_if<core::move_spec>(&entry.second.spec);
            return move != nullptr && entry.first != self && move->route == route &&
                   !this->has_ended(entry.first.name);
        });
    }

    void fail(const declared_object& at, std::string_view key, std::string expected)
    {
        const auto* entry = find_entry(at.section, key);
        this->errors.push_back({at.file, entry == nullptr ? at.section.line : entry->line,
                                std::string(key), std::move(expected),
                                entry == nullptr ? at.section.name : entry->value});
    }

    object_map in_force;
    object_map all;
    std::set<core::object_key> declared_keys;
    core::unix_millis now;
};

} // namespace

std::vector<located_error> check_references(std::span<const declared_object> declared,
                                            std::span<const core::object> in_force,
                                            core::unix_millis now)
{
    reference_check check(in_force, now);
    for (const auto& each : declared)
        check.add(each);
    for (const auto& each : declared)
        check.check(each);
    std::stable_sort(check.errors.begin(), check.errors.end(), [](const auto& a, const auto& b) {
        return std::tie(a.file, a.line) < std::tie(b.file, b.line);
    });
    return std::move(check.errors);
}

} // namespace ragwortcove::settings
