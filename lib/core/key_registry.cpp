#include "ragwortcove/core/key_registry.hpp"

#include <cassert>

namespace ragwortcove::core {

/// Keys are kept for twice the lifetime of a ticket: a key may first be used at the end of that
/// lifetime, and its request may still be open for some time.
static constexpr duration key_retention = 2 * key_registry::ticket_lifetime;

key_status key_registry::status(const std::string& key) const
{
    const auto found = this->keys.find(key);
    return found == this->keys.end() ? key_status::free : found->second.status;
}

key_registry::key_record& key_registry::find_or_add(const std::string& key, time_point now)
{
    const auto [at, added] = this->keys.try_emplace(key);
    if (added)
        this->by_age.emplace_back(now, key);
    return at->second;
}

void key_registry::begin(const std::string& key, time_point now)
{
    key_record& record = this->find_or_add(key, now);
    assert(record.status == key_status::free && "only a free key can be put in progress");
    record.status = key_status::in_progress;
}

void key_registry::end(const std::string& key, bool may_have_run)
{
    const auto found = this->keys.find(key);
    assert(found != this->keys.end() && found->second.status == key_status::in_progress &&
           "only a key in progress can end");
    found->second.status = may_have_run ? key_status::used : key_status::free;
}

bool key_registry::hand_over(const std::string& key, incarnation to, time_point now)
{
    key_record& record = this->find_or_add(key, now);
    if (record.status == key_status::handed_over)
        return record.holder == to;
    if (record.status != key_status::free)
        return false;
    record.status = key_status::handed_over;
    record.holder = to;
    return true;
}

void key_registry::expire(time_point now)
{
    while (!this->by_age.empty() && this->by_age.front().first + key_retention <= now) {
        const std::string key = std::move(this->by_age.front().second);
        this->by_age.pop_front();
        if (this->status(key) == key_status::in_progress) {
            this->by_age.emplace_back(now, key);
            continue;
        }
        this->keys.erase(key);
    }
}

} // namespace ragwortcove::core
