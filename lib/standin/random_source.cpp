#include "ragwortcove/standin/random_source.hpp"

#include <cmath>

namespace ragwortcove::standin {

random_source::random_source(std::uint64_t seed) : engine(seed) {}

double random_source::uniform()
{
    // The standard distributions differ between libraries; 53 bits fill a double's mantissa.
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(this->engine() >> 11U) * scale;
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return static_cast<std::uint64_t>(this->uniform() * static_cast<double>(bound));
}

bool random_source::chance(double probability)
{
    return this->uniform() < probability;
}

double random_source::exponential(double mean)
{
    return -mean * std::log1p(-this->uniform());
}

double random_source::log_uniform(double least, double most)
{
    return least * std::pow(most / least, this->uniform());
}

core::duration random_source::between(core::duration least, core::duration most)
{
    const double span = static_cast<double>((most - least).count());
    return least + core::duration{std::llround(span * this->uniform())};
}

} // namespace ragwortcove::standin
