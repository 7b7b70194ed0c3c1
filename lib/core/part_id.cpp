#include "ragwortcove/core/part_id.hpp"

#include <array>
#include <charconv>

namespace ragwortcove::core {

std::string to_text(part_id part)
{
    constexpr int base = 16;
    constexpr std::size_t max_digits = 16;
    std::array<char, max_digits> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), part.value, base);
    return {digits.data(), written.ptr};
}

} // namespace ragwortcove::core
