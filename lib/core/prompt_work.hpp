/// \file
/// What a request asks of an engine; shared by the sources of `placement_owner`.
#pragma once

#include "ragwortcove/core/engine_state.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace ragwortcove::core {

/// Prompts that take longer to compute delay other requests, and count as long.
inline constexpr duration long_prefill_threshold = std::chrono::milliseconds{400};

/// Prompt tokens that the engine has to compute for the request.
inline std::uint32_t uncached_tokens(const engine_state& engine, const permit_request& request)
{
    return request.prefill_tokens -
           std::min(request.prefill_tokens, engine.cache.cached_tokens(request.prefix));
}

} // namespace ragwortcove::core
