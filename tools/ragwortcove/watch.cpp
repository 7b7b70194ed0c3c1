#include "commands.hpp"
#include "object_commands.hpp"
#include "platform/object_store.hpp"
#include "ragwortcove/cli/object_json.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

static constexpr std::chrono::seconds reconnect_delay{1};

namespace {

/// Prints changes until its time is over; opens the watch again when it ends.
class change_printer {
public:
    change_printer(const core::endpoint& address, core::revision after, cli::output_format form)
        : seen(after), format(form),
          platform(this->loop, adapter::object_store_settings{.address = address},
                   [this](core::event&& event) { this->take(event); })
    {
    }

    exit_code run(core::duration time)
    {
        if (time > core::duration{0})
            this->loop.after(time, [this] { this->loop.stop(); });
        this->platform.start(core::open_watch{this->seen});
        this->loop.run();
        return this->code;
    }

private:
    void take(const core::event& event)
    {
        if (const auto* changed = std::get_if<core::watch_changed>(&event))
            this->print(changed->changes);
        if (const auto* ended = std::get_if<core::watch_ended>(&event))
            this->take_end(*ended);
    }

    void take_end(const core::watch_ended& ended)
    {
        if (ended.must_list) {
            std::cerr << "ragwortcove: the platform no longer holds the changes after revision "
                      << this->seen.value << '\n';
            this->code = exit_code::failed;
            this->loop.stop();
            return;
        }
        this->loop.after(reconnect_delay,
                         [this] { this->platform.start(core::open_watch{this->seen}); });
    }

    void print(const core::feed_delta& changes)
    {
        this->seen = changes.upto;
        for (const auto& each : changes.changed)
            this->print_line(changes.store, each.written_at, each);
        for (const auto& each : changes.removed)
            this->print_line(changes.store, each.at, each.key);
        std::cout.flush();
    }

    template <class Change>
    void print_line(const core::store_id& store, core::revision at, const Change& change) const
    {
        if (this->format == cli::output_format::json)
            std::cout << cli::write_change(store, at, change) << '\n';
        else
            print_text(at, change);
    }
    static void print_text(core::revision at, const core::object& changed)
    {
        std::cout << at.value << "  changed  [" << to_string(changed.key.kind) << ' '
                  << changed.key.name << ']';
        for (const auto& field : core::to_fields(changed))
            std::cout << ' ' << field.key << '=' << field.value;
        std::cout << '\n';
    }
    static void print_text(core::revision at, const core::object_key& deleted)
    {
        std::cout << at.value << "  deleted  [" << to_string(deleted.kind) << ' ' << deleted.name
                  << "]\n";
    }

    http::loop loop;
    core::revision seen;
    cli::output_format format;
    exit_code code = exit_code::ok;
    adapter::object_store platform;
};

} // namespace

exit_code run_watch(const words& arguments)
{
    cli::command_line line("watch", "Prints changes of objects as they come, until interrupted.",
                           "ragwortcove watch -p 127.0.0.1:7000 --after 120");
    TCLAP::ValueArg<std::uint64_t> after("a", "after",
                                         "revision after which to begin; now if unset", false, 0,
                                         "revision", line.arguments());
    TCLAP::ValueArg<std::string> time("t", "time", "how long to watch, such as 30s", false, "",
                                      "duration", line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    const auto length = core::parse_duration(time.isSet() ? time.getValue() : "0s");
    if (!length)
        throw cli::invalid_arguments("--time: expected a duration such as 30s");

    core::revision start{after.getValue()};
    if (!after.isSet()) {
        cli::platform_session session(platform.address(), platform_patience);
        const auto listed = session.list();
        if (!listed)
            return report_unreachable();
        start = listed->at;
    }
    return change_printer(platform.address(), start, line.output()).run(*length);
}

} // namespace ragwortcove::tool
