#include "ragwortcove/cli/platform_session.hpp"

#include <array>
#include <charconv>
#include <random>

namespace ragwortcove::cli {

static std::uint64_t random_number()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

static std::string new_change_id()
{
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), random_number(), 16).ptr;
    return "cli-" + std::string(digits.data(), end);
}

platform_session::platform_session(const core::endpoint& address,
                                   std::chrono::microseconds patience)
    : platform(this->loop, adapter::object_store_settings{.address = address},
               [this](core::event&& event) {
                   if (auto* answered = std::get_if<core::platform_answered>(&event))
                       this->answer = std::move(answered->result);
                   this->loop.stop();
               }),
      delays(random_number()), give_up_at(this->loop.now() + patience)
{
}

core::platform_result platform_session::call_once(const core::platform_request& request)
{
    this->platform.start(core::call_platform{{++this->calls}, request});
    this->loop.run();
    return std::move(this->answer);
}

bool platform_session::wait_to_retry(core::duration at_least)
{
    const auto delay = at_least + this->delays.next();
    if (this->loop.now() + delay >= this->give_up_at)
        return false;
    this->loop.after(delay, [this] { this->loop.stop(); });
    this->loop.run();
    return true;
}

core::platform_result platform_session::read(const core::platform_request& request)
{
    while (true) {
        auto result = this->call_once(request);
        core::duration at_least{0};
        if (const auto* throttled = std::get_if<core::platform_throttled>(&result))
            at_least = throttled->retry_after;
        else if (!std::holds_alternative<core::platform_unreachable>(result))
            return result;
        if (!this->wait_to_retry(at_least))
            return core::platform_unreachable{};
    }
}

std::optional<core::platform_listed> platform_session::list()
{
    auto result = this->read(core::platform_list{});
    auto* listed = std::get_if<core::platform_listed>(&result);
    if (listed == nullptr)
        return std::nullopt;
    return std::move(*listed);
}

write_outcome platform_session::put(core::object value, core::revision expected)
{
    const auto change_id = new_change_id();
    const auto key = value.key;
    return this->write(core::platform_put{std::move(value), expected, change_id}, key, expected,
                       change_id);
}

write_outcome platform_session::remove(const core::object_key& key, core::revision expected)
{
    const auto change_id = new_change_id();
    return this->write(core::platform_delete{key, expected, change_id}, key, expected, change_id);
}

namespace {

/// Takes the results that settle a write; the others leave it open.
struct settled_write {
    const std::string& change_id;

    std::optional<write_outcome> operator()(const core::platform_written& written) const
    {
        return written;
    }
    std::optional<write_outcome> operator()(const core::platform_conflict& conflict) const
    {
        // An earlier try of this same change, whose answer was lost, has taken effect.
        if (conflict.current && conflict.current_change_id == this->change_id)
            return core::platform_written{conflict.current->written_at};
        return conflict;
    }
    std::optional<write_outcome> operator()(const core::platform_rejected& rejected) const
    {
        return rejected;
    }
    template <class Open> std::optional<write_outcome> operator()(const Open&) const
    {
        return std::nullopt;
    }
};

} // namespace

write_outcome platform_session::write(const core::platform_request& request,
                                      const core::object_key& key, core::revision expected,
                                      const std::string& change_id)
{
    while (true) {
        const auto result = this->call_once(request);
        if (auto settled = std::visit(settled_write{change_id}, result))
            return std::move(*settled);
        const auto* throttled = std::get_if<core::platform_throttled>(&result);
        if (!this->wait_to_retry(throttled == nullptr ? core::duration{0} : throttled->retry_after))
            return core::platform_unreachable{};
        if (throttled != nullptr)
            continue;
        if (auto found = this->find_lost_write(request, key, expected, change_id))
            return std::move(*found);
    }
}

/// Says what became of a write without an answer; nothing when it has had no effect yet. Trying
/// again is then safe: the condition lets only one of the two take effect.
std::optional<write_outcome>
platform_session::find_lost_write(const core::platform_request& request,
                                  const core::object_key& key, core::revision expected,
                                  const std::string& change_id)
{
    const bool removes = std::holds_alternative<core::platform_delete>(request);
    const auto result = this->read(core::platform_get{key});
    if (const auto* found = std::get_if<core::platform_found>(&result)) {
        if (found->change_id == change_id)
            return core::platform_written{found->value.written_at};
        if (found->value.written_at == expected)
            return std::nullopt;
        return core::platform_conflict{found->value, found->change_id};
    }
    if (!std::holds_alternative<core::platform_missing>(result))
        return core::platform_unreachable{};
    if (removes)
        return core::platform_written{expected};
    if (expected == core::revision{0})
        return std::nullopt;
    return core::platform_conflict{};
}

} // namespace ragwortcove::cli
