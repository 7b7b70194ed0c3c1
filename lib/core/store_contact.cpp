#include "ragwortcove/core/store_contact.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

bool store_contact::on_answer(time_point now)
{
    this->answered_at = now;
    const std::optional<time_point> since = std::exchange(this->silent_since, std::nullopt);
    return since && now - *since >= min_outage;
}

// A call may fail after a later one was answered, for example when its connection is silent. The
// store was there until that answer.
bool store_contact::on_no_answer(time_point sent_at, time_point now)
{
    if (!this->silent_since)
        this->silent_since = std::max(sent_at, this->answered_at);
    return now - *this->silent_since >= min_outage;
}

} // namespace ragwortcove::core
