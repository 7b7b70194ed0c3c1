#include "event_queue.hpp"

#include <algorithm>

namespace ragwortcove::bench {

void event_queue::at(core::time_point when, action what)
{
    this->entries.push({std::max(when, this->current), this->added++, std::move(what)});
}

void event_queue::run_until(core::time_point until)
{
    while (!this->entries.empty() && this->entries.top().when <= until) {
        // The queue gives no other way to move an element out; it is popped at once.
        action what = std::move(const_cast<entry&>(this->entries.top()).what);
        this->current = this->entries.top().when;
        this->entries.pop();
        what();
    }
    this->current = std::max(this->current, until);
}

} // namespace ragwortcove::bench
