/// \file
/// One object of the platform that a node writes conditionally, one change at a time.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/core/platform_caller.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortcove::core {

/// What an answer of the platform came to.
enum class write_outcome {
    /// Not known yet: the object is read back by the change's own id.
    unknown,
    /// The change took effect.
    applied,
    /// The change took no effect; `current` may be newer than it was.
    refused,
};

/// Last known state of an object, and the change to it that is under way.
class stored_object {
public:
    stored_object(const object_key& of, call_purpose purpose) : key{of}, calls_for{purpose} {}

    /// Takes what the configuration in force says, if it is newer.
    void update_known(const object& seen);
    /// Writes over the last known state; nothing else may be under way.
    void write(object_spec spec, const std::string& change_id, platform_caller& platform,
               step_context& context);
    /// Reads the object back when that is due.
    void tick(platform_caller& platform, step_context& context);
    [[nodiscard]] write_outcome answered(const platform_result& result, step_context& context);

    [[nodiscard]] const std::optional<object>& current() const { return this->known; }
    [[nodiscard]] bool is_waiting_for(call_id id) const { return this->call == id; }
    /// Whether a change is under way or the platform asked for a pause.
    [[nodiscard]] bool is_busy(time_point now) const
    {
        return this->call || this->must_read || now < this->quiet_until;
    }

private:
    void pause(step_context& context);
    write_outcome compare(const object& value, const std::string& by_change);

    object_key key;
    call_purpose calls_for;
    std::optional<object> known;
    object wanted;
    std::string change;
    std::optional<call_id> call;
    bool must_read = false;
    std::uint32_t failures = 0;
    time_point quiet_until;
};

} // namespace ragwortcove::core
