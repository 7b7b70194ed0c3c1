#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <boost/json.hpp>

#include <iostream>
#include <thread>

namespace ragwortcove::tool {

using cli::exit_code;

static constexpr std::chrono::seconds poll_interval{1};

namespace {

struct move_state {
    core::move_spec move;
    core::move_status_spec status;
    [[nodiscard]] bool has_ended() const
    {
        return this->status.phase == core::move_phase::done ||
               this->status.phase == core::move_phase::reverted;
    }
};

} // namespace

/// Finds a move and its status; a move without one has not begun.
static std::optional<move_state> find_move(const std::vector<core::object>& objects,
                                           const std::string& name)
{
    std::optional<move_state> found;
    for (const auto& each : objects) {
        const auto* move = std::get_if<core::move_spec>(&each.spec);
        if (move != nullptr && each.key.name == name)
            found = move_state{*move, {}};
    }
    for (const auto& each : objects) {
        const auto* status = std::get_if<core::move_status_spec>(&each.spec);
        if (found && status != nullptr && each.key.name == name)
            found->status = *status;
    }
    return found;
}

static void print_move(cli::output_format format, const std::string& name, const move_state& state)
{
    if (format == cli::output_format::json) {
        std::cout << boost::json::object{{"name", name},
                                         {"route", state.move.route.value},
                                         {"from", state.move.from.value},
                                         {"to", state.move.to.value},
                                         {"phase", to_string(state.status.phase)},
                                         {"share_permille", state.status.share_permille},
                                         {"reason", state.status.reason}}
                  << std::endl;
        return;
    }
    std::cout << name << ": " << to_string(state.status.phase) << ", "
              << state.status.share_permille / 10.0 << "% of " << state.move.route.value << " on "
              << state.move.to.value
              << (state.status.reason.empty() ? "" : "; " + state.status.reason) << std::endl;
}

exit_code run_move(const words& arguments)
{
    cli::command_line line("move",
                           "Shows how far a move is. With --wait it ends when the move does: with "
                           "0 when it is done and 1 when it was taken back.",
                           "ragwortcove move chat-v2 --wait -p 127.0.0.1:7000");
    TCLAP::UnlabeledValueArg<std::string> name("name", "name of the move", true, "", "NAME",
                                               line.arguments());
    TCLAP::SwitchArg wait("w", "wait", "wait until the move has ended", line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    const auto address = platform.address();

    std::optional<core::move_status_spec> shown;
    while (true) {
        const auto listed = cli::platform_session(address, platform_patience).list();
        if (!listed)
            return report_unreachable();
        const auto state = find_move(listed->objects, name.getValue());
        if (!state) {
            std::cerr << "ragwortcove: move " << name.getValue() << ": no such object\n";
            return exit_code::failed;
        }
        if (shown != state->status)
            print_move(line.output(), name.getValue(), *state);
        shown = state->status;
        if (state->status.phase == core::move_phase::reverted)
            return exit_code::failed;
        if (state->has_ended() || !wait.getValue())
            return exit_code::ok;
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace ragwortcove::tool
