/// \file
/// The object API as a command uses it: calls that are waited for, and writes whose lost answers
/// are looked up.
#pragma once

#include "platform/object_store.hpp"
#include "ragwortcove/cli/backoff.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/http/loop.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace ragwortcove::cli {

/// What became of a write, once that is known.
using write_outcome = std::variant<core::platform_written, core::platform_conflict,
                                   core::platform_rejected, core::platform_unreachable>;

class platform_session {
public:
    platform_session(const core::endpoint& address, std::chrono::microseconds patience);

    /// Repeats a read until it is answered or patience ends.
    core::platform_result read(const core::platform_request& request);
    /// Every object at one revision; nothing when the platform cannot be reached.
    std::optional<core::platform_listed> list();
    /// Writes under a condition. Without an answer it first asks whether the change took effect,
    /// by its id, and only then tries again.
    write_outcome put(core::object value, core::revision expected);
    write_outcome remove(const core::object_key& key, core::revision expected);

private:
    core::platform_result call_once(const core::platform_request& request);
    /// Waits before another try; false when patience has ended.
    bool wait_to_retry(core::duration at_least);
    write_outcome write(const core::platform_request& request, const core::object_key& key,
                        core::revision expected, const std::string& change_id);
    std::optional<write_outcome> find_lost_write(const core::platform_request& request,
                                                 const core::object_key& key,
                                                 core::revision expected,
                                                 const std::string& change_id);

    http::loop loop;
    core::platform_result answer;
    adapter::object_store platform;
    backoff delays;
    std::chrono::microseconds give_up_at;
    std::uint64_t calls = 0;
};

} // namespace ragwortcove::cli
