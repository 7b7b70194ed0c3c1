#include "ragwortcove/core/prompt.hpp"

#include "ragwortcove/core/request.hpp"

#include <xxhash.h>

namespace ragwortcove::core {

void append_message(std::string& prompt, std::string_view role, std::string_view content)
{
    prompt.append(role);
    prompt.push_back('\n');
    prompt.append(content);
    prompt.push_back('\n');
}

std::uint32_t estimate_tokens(std::string_view text)
{
    return static_cast<std::uint32_t>((text.size() + bytes_per_token - 1) / bytes_per_token);
}

std::vector<prefix_hash> prefix_hashes(std::string_view text)
{
    constexpr std::size_t block_bytes = std::size_t{prefix_block_tokens} * bytes_per_token;
    std::vector<prefix_hash> hashes;
    hashes.reserve(text.size() / block_bytes);
    std::uint64_t chained = 0;
    while (text.size() >= block_bytes) {
        // Each hash seeds the next one, so that equal blocks after different prefixes differ.
        chained = XXH3_64bits_withSeed(text.data(), block_bytes, chained);
        hashes.push_back({chained});
        text.remove_prefix(block_bytes);
    }
    return hashes;
}

} // namespace ragwortcove::core
