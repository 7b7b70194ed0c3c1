#include "ragwortcove/load/load_settings.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace ragwortcove::load {

static std::optional<double> read_positive(const std::string& word)
{
    std::istringstream in(word);
    double value = 0.0;
    in >> value;
    if (in.fail() || !in.eof() || !(value > 0.0))
        return std::nullopt;
    return value;
}

std::optional<length_distribution> parse_length_distribution(std::string_view text)
{
    std::istringstream in{std::string{text}};
    std::vector<std::string> words;
    for (std::string word; in >> word;)
        words.push_back(word);
    if (words.size() == 1) {
        const auto value = read_positive(words[0]);
        return value ? std::optional<length_distribution>(fixed_length{*value}) : std::nullopt;
    }
    if (words.size() != 3)
        return std::nullopt;
    const auto first = read_positive(words[1]);
    const auto second = read_positive(words[2]);
    if (!first || !second)
        return std::nullopt;
    if (words[0] == "uniform" && *first <= *second)
        return uniform_length{*first, *second};
    if (words[0] == "lognormal")
        return lognormal_length{*first, *second};
    return std::nullopt;
}

namespace {

struct length_drawer {
    std::mt19937_64& random;

    double operator()(const fixed_length& from) const { return from.value; }
    double operator()(const uniform_length& from) const
    {
        return std::uniform_real_distribution<double>(from.least, from.most)(this->random);
    }
    double operator()(const lognormal_length& from) const
    {
        return std::lognormal_distribution<double>(std::log(from.median),
                                                   from.spread)(this->random);
    }
};

} // namespace

std::uint32_t draw_length(const length_distribution& from, std::mt19937_64& random)
{
    static constexpr double longest = 1e6;
    const double drawn = std::visit(length_drawer{random}, from);
    return static_cast<std::uint32_t>(std::clamp(std::round(drawn), 1.0, longest));
}

} // namespace ragwortcove::load
