/// \file
/// Memory of an engine, in tokens, that the requests placed on it may take. Answers a load of long
/// prompts: an engine that is given more than fits preempts what it runs, or ends.
#pragma once

#include <cstdint>

namespace ragwortcove::core {

/// Tokens that a request takes at most: its whole prompt, also where parts of it are shared with
/// other requests, and its expected response.
[[nodiscard]] constexpr std::uint64_t tokens_in_memory(std::uint32_t prompt_tokens,
                                                       std::uint32_t output_tokens)
{
    return std::uint64_t{prompt_tokens} + output_tokens;
}

class engine_memory {
public:
    /// `capacity` of zero tokens is not known, and bounds nothing.
    void set_limits(std::uint64_t capacity, std::uint32_t slots);
    /// Whether a request could be placed if the engine had no other one.
    [[nodiscard]] bool could_hold(std::uint64_t tokens) const;
    [[nodiscard]] bool has_room_for(std::uint64_t tokens) const;
    void add(std::uint64_t tokens) { this->used += tokens; }
    void remove(std::uint64_t tokens) { this->used -= tokens < this->used ? tokens : this->used; }
    [[nodiscard]] std::uint64_t used_tokens() const { return this->used; }
    /// What is assumed of a request that another owner placed and that reports only the tokens that
    /// the engine computes for it.
    [[nodiscard]] std::uint64_t assumed_tokens(std::uint32_t computed_tokens) const;

private:
    /// Tokens that several requests may take together. The rest is for responses that get longer
    /// than expected.
    [[nodiscard]] std::uint64_t shared_capacity() const;

    std::uint64_t capacity = 0;
    std::uint32_t slots = 1;
    std::uint64_t used = 0;
};

} // namespace ragwortcove::core
