#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/cli/object_json.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

namespace {

/// Prints the objects that belong to the described one.
struct related_printer {
    const std::vector<core::object>& all;
    const core::object& described;

    void operator()(const core::route_spec& route) const
    {
        std::cout << "upstreams:\n";
        for (const auto& each : this->all) {
            const auto* upstream = std::get_if<core::upstream_spec>(&each.spec);
            if (upstream != nullptr && upstream->target == route.target &&
                core::matches(route.selector, each.labels))
                std::cout << "  " << each.key.name << "  version " << upstream->version.value
                          << (upstream->leaving ? "  leaving" : "") << '\n';
        }
        this->print_moves(core::route_name{this->described.key.name});
    }
    void operator()(const core::version_spec&) const
    {
        std::cout << "served by:\n";
        for (const auto& each : this->all) {
            const auto* upstream = std::get_if<core::upstream_spec>(&each.spec);
            if (upstream != nullptr && upstream->version.value == this->described.key.name)
                std::cout << "  " << each.key.name << '\n';
        }
    }
    void operator()(const core::tier_spec&) const
    {
        std::cout << "routes:\n";
        for (const auto& each : this->all) {
            const auto* route = std::get_if<core::route_spec>(&each.spec);
            if (route != nullptr && route->tier.value == this->described.key.name)
                std::cout << "  " << each.key.name << '\n';
        }
    }
    void operator()(const core::move_spec&) const { this->print_status(this->described.key.name); }
    template <class Spec> void operator()(const Spec&) const {}

private:
    void print_moves(const core::route_name& route) const
    {
        for (const auto& each : this->all) {
            const auto* move = std::get_if<core::move_spec>(&each.spec);
            if (move == nullptr || move->route != route)
                continue;
            std::cout << "move " << each.key.name << ": " << move->from.value << " to "
                      << move->to.value << '\n';
            this->print_status(each.key.name);
        }
    }
    void print_status(const std::string& move) const
    {
        for (const auto& each : this->all) {
            const auto* status = std::get_if<core::move_status_spec>(&each.spec);
            if (status == nullptr || each.key.name != move)
                continue;
            std::cout << "status: " << to_string(status->phase) << ", "
                      << status->share_permille / 10.0 << "% on the new version"
                      << (status->reason.empty() ? "" : ", " + status->reason) << '\n';
        }
    }
};

} // namespace

static void print_description(const core::platform_found& found,
                              const std::vector<core::object>& all)
{
    std::cout << '[' << to_string(found.value.key.kind) << ' ' << found.value.key.name << "]\n";
    for (const auto& field : core::to_fields(found.value))
        std::cout << field.key << " = " << field.value << '\n';
    std::cout << "\nrevision: " << found.value.written_at.value << "\nchange: " << found.change_id
              << '\n';
    std::visit(related_printer{all, found.value}, found.value.spec);
}

exit_code run_describe(const words& arguments)
{
    cli::command_line line("describe", "Shows one object and what belongs to it.",
                           "ragwortcove describe route lookups -p 127.0.0.1:7000");
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "kind of object", true, "", "KIND",
                                               line.arguments());
    TCLAP::UnlabeledValueArg<std::string> name("name", "its name", true, "", "NAME",
                                               line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    const core::object_key key{parse_kind(kind.getValue()), name.getValue()};

    cli::platform_session session(platform.address(), platform_patience);
    const auto result = session.read(core::platform_get{key});
    if (std::holds_alternative<core::platform_missing>(result)) {
        std::cerr << "ragwortcove: " << to_string(key.kind) << ' ' << key.name
                  << ": no such object\n";
        return exit_code::failed;
    }
    const auto* found = std::get_if<core::platform_found>(&result);
    const auto listed = found == nullptr ? std::nullopt : session.list();
    if (!listed)
        return report_unreachable();
    if (line.output() == cli::output_format::json)
        std::cout << cli::write_json(found->value, found->change_id) << '\n';
    else
        print_description(*found, listed->objects);
    return exit_code::ok;
}

} // namespace ragwortcove::tool
