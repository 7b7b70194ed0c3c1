/// \file
/// Calls to the platform's object API and their results.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/types.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::core {

struct platform_get {
    object_key key;
};

/// Lists every configuration object (not claims) at one revision.
struct platform_list {};

/// Conditional write: takes effect only when the stored revision equals `expected`; revision zero
/// means that the object must not exist.
struct platform_put {
    object value;
    revision expected;
    /// Identifies this write, so that its effect can be looked up when the response is lost.
    std::string change_id;
};

struct platform_delete {
    object_key key;
    revision expected;
    std::string change_id;
};

using platform_request = std::variant<platform_get, platform_list, platform_put, platform_delete>;

struct platform_found {
    object value;
    /// The change that wrote this revision.
    std::string change_id;
};
struct platform_missing {};
struct platform_listed {
    store_id store;
    revision at;
    std::vector<object> objects;
};
struct platform_written {
    revision at;
};
/// The condition did not hold; `current` is unset when the object does not exist.
struct platform_conflict {
    std::optional<object> current;
    std::string current_change_id;
};
/// The call limit refused the call; it took no effect.
struct platform_throttled {
    duration retry_after{0};
};
/// No usable response; a write may have taken effect.
struct platform_unreachable {};
/// The platform refused the call as malformed; it took no effect.
struct platform_rejected {
    std::string message;
};

using platform_result =
    std::variant<platform_found, platform_missing, platform_listed, platform_written,
                 platform_conflict, platform_throttled, platform_unreachable, platform_rejected>;

} // namespace ragwortcove::core
