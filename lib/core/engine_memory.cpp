#include "ragwortcove/core/engine_memory.hpp"

#include <algorithm>

namespace ragwortcove::core {

/// Tenths of an engine's memory that requests are expected to take together at most.
static constexpr std::uint64_t expected_tenths = 9;

void engine_memory::set_limits(std::uint64_t tokens, std::uint32_t slot_count)
{
    this->capacity = tokens;
    this->slots = std::max(1U, slot_count);
}

std::uint64_t engine_memory::shared_capacity() const
{
    return this->capacity * expected_tenths / 10;
}

bool engine_memory::could_hold(std::uint64_t tokens) const
{
    return this->capacity == 0 || tokens <= this->capacity;
}

// A request that needs nearly all of the memory gets an engine for itself.
bool engine_memory::has_room_for(std::uint64_t tokens) const
{
    if (this->capacity == 0 || this->used == 0)
        return this->could_hold(tokens);
    return this->used + tokens <= this->shared_capacity();
}

// An engine full of such requests has used its shared part of the memory, and no more.
std::uint64_t engine_memory::assumed_tokens(std::uint32_t computed_tokens) const
{
    return std::max<std::uint64_t>(computed_tokens, this->shared_capacity() / this->slots);
}

} // namespace ragwortcove::core
