#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/cli/plan.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <boost/json.hpp>

#include <iostream>

namespace ragwortcove::tool {

using cli::change_action;
using cli::exit_code;

static void print_object(std::ostream& to, const core::object& value)
{
    for (const auto& field : core::to_fields(value))
        to << "    " << field.key << " = " << field.value << '\n';
}

static void print_conflict(const cli::planned_change& change,
                           const core::platform_conflict& conflict)
{
    const auto base = change.current ? change.current->written_at.value : 0;
    std::cerr << "ragwortcove: conflict on [" << to_string(change.wanted.key.kind) << ' '
              << change.wanted.key.name << "]: somebody else changed it first\n"
              << "  yours, based on revision " << base << ":\n";
    print_object(std::cerr, change.wanted);
    if (!conflict.current) {
        std::cerr << "  theirs: deleted\n";
        return;
    }
    std::cerr << "  theirs, at revision " << conflict.current->written_at.value << " (change "
              << conflict.current_change_id << "):\n";
    print_object(std::cerr, *conflict.current);
}

namespace {

/// Reports how a write ended.
struct outcome_report {
    const cli::planned_change& change;
    core::revision& written_at;

    exit_code operator()(const core::platform_written& written) const
    {
        this->written_at = written.at;
        return exit_code::ok;
    }
    exit_code operator()(const core::platform_conflict& conflict) const
    {
        print_conflict(this->change, conflict);
        return exit_code::conflict;
    }
    exit_code operator()(const core::platform_rejected& rejected) const
    {
        std::cerr << "ragwortcove: the platform rejected [" << to_string(change.wanted.key.kind)
                  << ' ' << change.wanted.key.name << "]: " << rejected.message << '\n';
        return exit_code::failed;
    }
    exit_code operator()(const core::platform_unreachable&) const { return report_unreachable(); }
};

} // namespace

static void print_result(cli::output_format format, const cli::planned_change& change,
                         core::revision at)
{
    if (format == cli::output_format::json) {
        std::cout << boost::json::object{{"action", to_string(change.action)},
                                         {"kind", to_string(change.wanted.key.kind)},
                                         {"name", change.wanted.key.name},
                                         {"revision", at.value}}
                  << '\n';
        return;
    }
    std::cout << to_string(change.action) << " [" << to_string(change.wanted.key.kind) << ' '
              << change.wanted.key.name << "] revision " << at.value << '\n';
}

static exit_code write_change(cli::platform_session& platform, const cli::planned_change& change,
                              cli::output_format format)
{
    const auto base = change.current ? change.current->written_at : core::revision{0};
    auto at = base;
    if (change.action != change_action::keep) {
        const auto outcome = platform.put(change.wanted, base);
        const auto code = std::visit(outcome_report{change, at}, outcome);
        if (code != exit_code::ok)
            return code;
    }
    print_result(format, change, at);
    return exit_code::ok;
}

static exit_code write_all(cli::platform_session& platform,
                           const std::vector<cli::planned_change>& plan, cli::output_format format)
{
    for (const auto& change : plan) {
        const auto code = write_change(platform, change, format);
        if (code == exit_code::ok)
            continue;
        std::cerr << "ragwortcove: stopped there; apply the file again to go on\n";
        return code;
    }
    return exit_code::ok;
}

static void print_plan(const std::vector<cli::planned_change>& plan)
{
    std::size_t kept = 0;
    for (const auto& change : plan) {
        if (change.action == change_action::keep)
            ++kept;
        else
            cli::print_difference(std::cout, change);
    }
    std::cout << plan.size() - kept << " to change, " << kept << " unchanged\n";
}

/// Checks files whole, against what is in force, and hands the plan to `then`.
template <class Then>
static exit_code with_plan(const std::vector<std::string>& files, const core::endpoint& address,
                           Then then)
{
    const auto declared = read_files(files);
    if (!declared.errors.empty()) {
        print_errors(std::cerr, declared.errors);
        return exit_code::invalid_input;
    }
    cli::platform_session platform(address, platform_patience);
    const auto listed = platform.list();
    if (!listed)
        return report_unreachable();
    const auto errors = settings::check_references(declared.objects, listed->objects, wall_clock());
    if (!errors.empty()) {
        print_errors(std::cerr, errors);
        return exit_code::invalid_input;
    }
    return then(platform, cli::plan_changes(declared.objects, listed->objects));
}

exit_code run_apply(const words& arguments)
{
    cli::command_line line("apply",
                           "Checks files of objects whole, then brings them into force. A write "
                           "takes effect only if nobody else has changed the object since.",
                           "ragwortcove apply -p 127.0.0.1:7000 -f examples/consortium.ini");
    TCLAP::MultiArg<std::string> files("f", "file", "INI file of objects; may be repeated", true,
                                       "path", line.arguments());
    TCLAP::SwitchArg dry_run("n", "dry-run", "only show what would change", line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    return with_plan(files.getValue(), platform.address(),
                     [&](cli::platform_session& session, const auto& plan) {
                         if (!dry_run.getValue())
                             return write_all(session, plan, line.output());
                         print_plan(plan);
                         return exit_code::ok;
                     });
}

exit_code run_diff(const words& arguments)
{
    cli::command_line line("diff", "Shows what apply would change.",
                           "ragwortcove diff -p 127.0.0.1:7000 -f examples/consortium.ini");
    TCLAP::MultiArg<std::string> files("f", "file", "INI file of objects; may be repeated", true,
                                       "path", line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    return with_plan(files.getValue(), platform.address(),
                     [](cli::platform_session&, const auto& plan) {
                         print_plan(plan);
                         return exit_code::ok;
                     });
}

} // namespace ragwortcove::tool
