#include "ragwortcove/core/entry.hpp"
#include "ragwortcove/core/rendezvous.hpp"

#include <xxhash.h>

#include <array>
#include <cassert>
#include <cstdio>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// How long the entry that minted a ticket may take to respond.
static constexpr duration key_query_timeout = 1s;
/// Time to wait before a claim whose outcome is unknown is read back.
static constexpr duration claim_retry_after = 100ms;
static constexpr std::uint32_t max_claim_attempts = 5;
/// How long a claim stays in the platform's store.
static constexpr std::int64_t claim_lifetime_ms = 24LL * 60 * 60 * 1000;

static std::string claim_name(const std::string& key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

static std::string claim_change_id(const request_id& request)
{
    return "claim-" + format_request_id(request);
}

// The earlier request with this key may have run, even though this request did not.
void entry::refuse_key(open_request& request, refusal_reason reason, step_context& context)
{
    context.effects.emplace_back(
        refuse_exchange{request.exchange, request.id, {verdict::may_have_run, reason, 0s}});
    this->end_request(request, true, context);
}

void entry::check_key(open_request& request, step_context& context)
{
    // An idempotent request needs no key, since it may run twice.
    if (!request.call.key || request.idempotent) {
        this->place(request, context);
        return;
    }
    if (request.call.key->on_ticket) {
        this->check_ticket(request, *request.call.key->on_ticket, context);
        return;
    }
    this->claim_key(request, context);
}

static bool is_expired(const ticket& key_ticket, unix_millis wall)
{
    const auto minted =
        static_cast<std::int64_t>(key_ticket.nonce >> key_registry::nonce_random_bits);
    const auto lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(key_registry::ticket_lifetime);
    return wall.value - minted > lifetime.count();
}

void entry::check_ticket(open_request& request, const ticket& key_ticket, step_context& context)
{
    const std::string& key = request.call.key->text;
    // The registry removes old keys, so an old ticket may have been used and no request runs on it.
    if (is_expired(key_ticket, context.wall)) {
        this->refuse_key(request, refusal_reason::key_expired, context);
        return;
    }
    if (key_ticket.minted_by == this->env.self.run || this->keys.contains(key)) {
        this->use_registered_key(request, context);
        return;
    }
    const member* minter = this->env.members.find_run(key_ticket.minted_by);
    if (minter == nullptr) {
        this->refuse_key(request, refusal_reason::key_owner_gone, context);
        return;
    }
    request.phase = request_phase::querying_key;
    context.send(minter->claim.name, key_query{request.id, key});
    this->set_wakeup(request, context.now + key_query_timeout);
}

static refusal_reason refusal_reason_for(key_status status)
{
    return status == key_status::in_progress ? refusal_reason::key_in_progress
                                             : refusal_reason::key_already_used;
}

void entry::use_registered_key(open_request& request, step_context& context)
{
    const std::string& key = request.call.key->text;
    const key_status status = this->keys.status(key);
    if (status != key_status::free) {
        context.log(decision_kind::refused, request.id, request.call.route.value,
                    std::string(to_string(refusal_reason_for(status))));
        this->refuse_key(request, refusal_reason_for(status), context);
        return;
    }
    this->keys.begin(key, context.now);
    request.key = key_origin::registry;
    this->place(request, context);
}

// Until all members have learned of a restart, a restarted entry gets queries for keys on tickets
// of its predecessor. It has no record of what its predecessor dispatched, so it must not hand over
// the rights of such keys.
static bool may_hand_over(const std::string& key, incarnation self, unix_millis wall)
{
    const idempotency_key parsed = parse_idempotency_key(key);
    return parsed.on_ticket && parsed.on_ticket->minted_by == self &&
           !is_expired(*parsed.on_ticket, wall);
}

void entry::on_key_query(const node_name& from, incarnation run, const key_query& message,
                         step_context& context)
{
    const key_status previous_status = this->keys.status(message.key);
    if (may_hand_over(message.key, this->env.self.run, context.wall) &&
        this->keys.hand_over(message.key, run, context.now)) {
        context.send(from, key_response{message.request, key_state::handed_over});
        return;
    }
    const key_state state =
        previous_status == key_status::in_progress ? key_state::in_progress : key_state::used;
    context.send(from, key_response{message.request, state});
}

void entry::on_key_response(const key_response& message, step_context& context)
{
    open_request* request = this->find_request(message.request);
    if (request == nullptr || request->phase != request_phase::querying_key)
        return;
    this->set_wakeup(*request, request->deadline);
    if (message.state == key_state::handed_over) {
        this->use_registered_key(*request, context);
        return;
    }
    const refusal_reason reason = message.state == key_state::in_progress
                                      ? refusal_reason::key_in_progress
                                      : refusal_reason::key_already_used;
    this->refuse_key(*request, reason, context);
}

void entry::claim_key(open_request& request, step_context& context)
{
    request.phase = request_phase::claiming_key;
    if (++request.claim_attempts > max_claim_attempts) {
        this->refuse(request, refusal_reason::platform_unavailable, claim_retry_after * 10,
                     context);
        return;
    }
    object value;
    value.key = object_key{object_kind::claim, claim_name(request.call.key->text)};
    value.spec =
        claim_spec{this->env.self.run, unix_millis{context.wall.value + claim_lifetime_ms}};
    const call_id call = this->env.platform.call(
        call_purpose::claim, platform_put{value, revision{0}, claim_change_id(request.id)},
        context);
    request.platform_call = call;
    this->by_call[call] = request.exchange;
}

void entry::read_claim(open_request& request, step_context& context)
{
    const object_key key{object_kind::claim, claim_name(request.call.key->text)};
    const call_id call = this->env.platform.call(call_purpose::claim, platform_get{key}, context);
    request.platform_call = call;
    this->by_call[call] = request.exchange;
}

void entry::on_claim_found(open_request& request, const object& value, const std::string& change_id,
                           step_context& context)
{
    // Only a claim that this request wrote itself counts: the response to that write was lost.
    if (change_id == claim_change_id(request.id)) {
        request.key = key_origin::claim;
        request.claim_revision = value.written_at;
        this->place(request, context);
        return;
    }
    this->refuse_key(request, refusal_reason::key_already_used, context);
}

bool entry::on_claim_response(call_id call, const platform_result& result, step_context& context)
{
    const auto found = this->by_call.find(call);
    if (found == this->by_call.end())
        return false;
    open_request& request = this->requests.at(found->second);
    this->by_call.erase(found);
    request.platform_call.reset();
    if (const platform_written* written = std::get_if<platform_written>(&result)) {
        request.key = key_origin::claim;
        request.claim_revision = written->at;
        this->place(request, context);
    }
    else if (const platform_found* found_claim = std::get_if<platform_found>(&result)) {
        this->on_claim_found(request, found_claim->value, found_claim->change_id, context);
    }
    else if (const platform_conflict* conflict = std::get_if<platform_conflict>(&result)) {
        if (conflict->current)
            this->on_claim_found(request, *conflict->current, conflict->current_change_id, context);
        else
            this->read_claim(request, context);
    }
    else if (const platform_throttled* throttled = std::get_if<platform_throttled>(&result)) {
        this->refuse(request, refusal_reason::platform_unavailable, throttled->retry_after,
                     context);
    }
    else if (std::holds_alternative<platform_unreachable>(result) &&
             request.claim_attempts < max_claim_attempts) {
        ++request.claim_attempts;
        this->read_claim(request, context);
    }
    else if (std::holds_alternative<platform_missing>(result)) {
        // The claim was not written, or not yet. Repeating the conditional write is safe.
        this->set_wakeup(request, context.now + claim_retry_after);
    }
    else {
        this->refuse(request, refusal_reason::platform_unavailable, claim_retry_after * 10,
                     context);
    }
    return true;
}

void entry::release_key(open_request& request, bool may_have_run, step_context& context)
{
    switch (request.key) {
    case key_origin::none:
        return;
    case key_origin::registry:
        this->keys.end(request.call.key->text, may_have_run);
        return;
    case key_origin::claim:
        if (may_have_run)
            return;
        // The request did not run, so the key may be used again. If this call is lost, the key
        // stays claimed, which is safe.
        this->env.platform.call(
            call_purpose::claim,
            platform_delete{{object_kind::claim, claim_name(request.call.key->text)},
                            request.claim_revision,
                            "release-" + format_request_id(request.id)},
            context);
        return;
    }
}

} // namespace ragwortcove::core
