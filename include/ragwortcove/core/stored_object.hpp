/// \file
/// An object of the platform's store that a node writes conditionally, one change at a time.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/core/platform_caller.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortcove::core {

/// Effect of a write, as far as the platform's response tells.
enum class write_outcome {
    /// Not known yet: the object is read back and its change id compared.
    unknown,
    /// The change took effect.
    applied,
    /// The change took no effect; `current` may be newer than it was.
    refused,
};

/// Last known state of an object, and the change to it that is in progress.
class stored_object {
public:
    stored_object(const object_key& of, call_purpose for_calls) : key{of}, purpose{for_calls} {}

    /// Replaces the last known state by that of the configuration in force, if that is newer.
    void update_known(const object& seen);
    /// Overwrites the last known state; no other change may be in progress.
    void write(object_spec spec, const std::string& change_id, platform_caller& platform,
               step_context& context);
    /// Reads the object back if a write's effect is unknown and the pause is over.
    void tick(platform_caller& platform, step_context& context);
    [[nodiscard]] write_outcome answered(const platform_result& result, step_context& context);

    [[nodiscard]] const std::optional<object>& current() const { return this->known; }
    [[nodiscard]] bool is_waiting_for(call_id id) const { return this->call == id; }
    /// Whether a change is in progress or calls are paused after a failed one.
    [[nodiscard]] bool is_busy(time_point now) const
    {
        return this->call || this->must_read || now < this->paused_until;
    }

private:
    void pause_calls(step_context& context);
    write_outcome compare_change(const object& value, const std::string& written_by);

    object_key key;
    call_purpose purpose;
    std::optional<object> known;
    object wanted;
    std::string last_change_id;
    std::optional<call_id> call;
    bool must_read = false;
    std::uint32_t failures = 0;
    time_point paused_until;
};

} // namespace ragwortcove::core
