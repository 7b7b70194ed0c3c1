#include "ragwortcove/core/stored_object.hpp"

#include <cassert>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

static constexpr duration retry_base = 250ms;
static constexpr duration retry_max = 5s;
/// Pause after the platform rejected a write as malformed.
static constexpr duration rejected_pause = 5s;

void stored_object::update_known(const object& seen)
{
    if (!this->known || this->known->written_at < seen.written_at)
        this->known = seen;
}

void stored_object::write(object_spec spec, const std::string& change_id, platform_caller& platform,
                          step_context& context)
{
    assert(!this->is_busy(context.now) && "another change is in progress");
    this->wanted = object{this->key, {}, std::move(spec), {}};
    this->last_change_id = change_id;
    const revision expected = this->known ? this->known->written_at : revision{0};
    this->call =
        platform.call(this->purpose, platform_put{this->wanted, expected, change_id}, context);
}

void stored_object::tick(platform_caller& platform, step_context& context)
{
    if (this->call || !this->must_read || context.now < this->paused_until)
        return;
    this->call = platform.call(this->purpose, platform_get{this->key}, context);
}

void stored_object::pause_calls(step_context& context)
{
    this->paused_until = context.now + retry_base / 2 +
                         full_jitter(context.random, retry_base, this->failures, retry_max);
    ++this->failures;
}

write_outcome stored_object::compare_change(const object& value, const std::string& written_by)
{
    this->known = value;
    return written_by == this->last_change_id ? write_outcome::applied : write_outcome::refused;
}

write_outcome stored_object::answered(const platform_result& result, step_context& context)
{
    this->call.reset();
    struct visitor {
        stored_object& self;
        step_context& context;

        write_outcome operator()(const platform_found& found) const
        {
            return this->self.compare_change(found.value, found.change_id);
        }
        write_outcome operator()(const platform_missing&) const
        {
            this->self.known.reset();
            return write_outcome::refused;
        }
        write_outcome operator()(const platform_listed&) const { return write_outcome::refused; }
        write_outcome operator()(const platform_written& written) const
        {
            this->self.known = this->self.wanted;
            this->self.known->written_at = written.at;
            return write_outcome::applied;
        }
        write_outcome operator()(const platform_conflict& conflict) const
        {
            if (conflict.current)
                return this->self.compare_change(*conflict.current, conflict.current_change_id);
            this->self.known.reset();
            return write_outcome::refused;
        }
        write_outcome operator()(const platform_throttled& throttled) const
        {
            this->self.paused_until = this->context.now + throttled.retry_after;
            return this->self.must_read ? write_outcome::unknown : write_outcome::refused;
        }
        write_outcome operator()(const platform_unreachable&) const
        {
            this->self.must_read = true;
            this->self.pause_calls(this->context);
            return write_outcome::unknown;
        }
        write_outcome operator()(const platform_rejected&) const
        {
            this->self.paused_until = this->context.now + rejected_pause;
            return write_outcome::refused;
        }
    };
    const write_outcome outcome = std::visit(visitor{*this, context}, result);
    if (outcome == write_outcome::unknown)
        return outcome;
    this->must_read = false;
    this->failures = 0;
    return outcome;
}

} // namespace ragwortcove::core
