/// \file
/// Draws peer messages for property tests; used inside a rapidcheck property.
#pragma once

#include "ragwortcove/core/peer_message.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ragwortcove::peer {

inline std::string draw_name()
{
    const auto length = *rc::gen::inRange<std::size_t>(1, 12);
    return *rc::gen::container<std::string>(length, rc::gen::inRange('a', 'z'));
}

inline std::string draw_name_or_empty()
{
    return *rc::gen::arbitrary<bool>() ? draw_name() : std::string{};
}

template <class Number> Number draw_number()
{
    return *rc::gen::arbitrary<Number>();
}

inline core::duration draw_duration()
{
    return core::duration{*rc::gen::inRange<std::int64_t>(0, 86'400'000'000)};
}

template <class Enum> Enum draw_enumerator(Enum last)
{
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

/// Draws up to four of what `draw` draws.
template <class Draw> auto draw_some(Draw draw)
{
    std::vector<decltype(draw())> result(*rc::gen::inRange<std::size_t>(0, 5));
    std::generate(result.begin(), result.end(), draw);
    return result;
}

inline core::incarnation draw_run()
{
    return {draw_number<std::uint64_t>()};
}

inline core::request_id draw_request()
{
    return {draw_run(), draw_number<std::uint64_t>()};
}

inline core::cell_id draw_cell()
{
    return {{draw_name_or_empty()}, {draw_name_or_empty()}, draw_number<std::uint32_t>()};
}

inline core::endpoint draw_endpoint()
{
    static const std::vector<std::string> addresses = {"", "127.0.0.1", "10.20.30.40", "::1",
                                                       "2001:db8::7"};
    return {*rc::gen::elementOf(addresses), draw_number<std::uint16_t>()};
}

inline core::prefix_hash draw_prefix()
{
    return {draw_number<std::uint64_t>()};
}

inline core::upstream_name draw_upstream()
{
    return {draw_name()};
}

inline core::cell_digest draw_digest()
{
    return {draw_cell(), draw_number<std::uint32_t>(), draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>(), draw_number<std::uint32_t>()};
}

inline core::version_evidence draw_evidence()
{
    return {{draw_name()},
            {draw_number<std::int64_t>()},
            {draw_name_or_empty()},
            draw_number<bool>(),
            draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>(),
            draw_number<std::uint32_t>()};
}

inline core::member_claim draw_member()
{
    return {{draw_name()},
            draw_run(),
            draw_number<std::uint64_t>(),
            draw_enumerator(core::member_state::dead),
            draw_endpoint(),
            draw_endpoint(),
            {draw_name_or_empty()},
            {draw_name_or_empty()}};
}

inline core::object_spec draw_spec(core::object_kind kind)
{
    switch (kind) {
    case core::object_kind::tier:
        return core::tier_spec{*rc::gen::inRange(0U, 16U), draw_duration()};
    case core::object_kind::team:
        return core::team_spec{static_cast<double>(*rc::gen::inRange(1, 100)) / 4.0};
    case core::object_kind::version:
        return core::version_spec{{draw_name()}, draw_name_or_empty()};
    case core::object_kind::upstream:
        return core::upstream_spec{core::upstream_kind::service,
                                   {"10.0.0.1", *rc::gen::inRange<std::uint16_t>(1, 65535)},
                                   {draw_name()},
                                   {draw_name()},
                                   {draw_name()},
                                   {draw_name_or_empty()},
                                   *rc::gen::inRange(1U, 1000U),
                                   draw_number<std::uint32_t>(),
                                   draw_number<bool>(),
                                   draw_number<bool>()};
    case core::object_kind::route:
        return core::route_spec{{draw_name()},
                                core::upstream_kind::engine,
                                {draw_name()},
                                {draw_name_or_empty()},
                                {{{draw_name(), draw_name()}}},
                                draw_number<bool>(),
                                std::chrono::seconds{*rc::gen::inRange(1, 600)},
                                *rc::gen::inRange(1U, 1000U)};
    case core::object_kind::move:
        return core::move_spec{{draw_name()},
                               {draw_name()},
                               {draw_name()},
                               {*rc::gen::inRange<std::int64_t>(1, 4'000'000'000'000)},
                               *rc::gen::inRange(1U, 1000U),
                               draw_duration()};
    case core::object_kind::move_status:
        return core::move_status_spec{draw_enumerator(core::move_phase::reverted),
                                      *rc::gen::inRange(0U, 1001U),
                                      {draw_number<std::uint64_t>()},
                                      draw_name_or_empty()};
    case core::object_kind::lease:
        return core::lease_spec{{draw_name()},
                                draw_run(),
                                {draw_number<std::uint64_t>()},
                                {*rc::gen::inRange<std::int64_t>(1, 4'000'000'000'000)}};
    case core::object_kind::claim:
        return core::claim_spec{draw_run(),
                                {*rc::gen::inRange<std::int64_t>(1, 4'000'000'000'000)}};
    }
    return core::tier_spec{};
}

inline core::object draw_object()
{
    const auto kind = draw_enumerator(core::object_kind::claim);
    return {{kind, draw_name()},
            {{draw_name(), draw_name()}},
            draw_spec(kind),
            {draw_number<std::uint64_t>()}};
}

inline core::feed_delta::removal draw_removal()
{
    return {{draw_enumerator(core::object_kind::claim), draw_name()},
            {draw_number<std::uint64_t>()}};
}

inline core::peer_message draw_permit_message(std::size_t index)
{
    switch (index) {
    case 0:
        return core::permit_request{draw_request(),
                                    draw_cell(),
                                    {draw_name()},
                                    {draw_name()},
                                    {draw_name()},
                                    {draw_name_or_empty()},
                                    draw_number<std::uint32_t>(),
                                    draw_number<std::uint32_t>(),
                                    draw_some(draw_prefix),
                                    draw_duration(),
                                    draw_some(draw_upstream)};
    case 1:
        return core::permit_grant{draw_request(),  draw_cell(),     {draw_number<std::uint64_t>()},
                                  draw_upstream(), draw_duration(), draw_number<std::uint32_t>()};
    case 2:
        return core::permit_denial{draw_request(), draw_cell(),
                                   draw_enumerator(core::refusal_reason::caller_gone),
                                   draw_duration()};
    case 3:
        return core::permit_withdrawal{draw_request(), draw_cell()};
    case 4:
        return core::permit_release{draw_request(),
                                    draw_cell(),
                                    draw_upstream(),
                                    draw_enumerator(core::attempt_outcome::unused),
                                    draw_number<std::uint32_t>(),
                                    draw_number<std::uint32_t>(),
                                    draw_number<std::uint32_t>(),
                                    draw_duration(),
                                    draw_duration()};
    case 5:
        return core::permit_report{draw_request(),
                                   draw_cell(),
                                   draw_upstream(),
                                   draw_number<std::uint32_t>(),
                                   draw_number<std::uint32_t>(),
                                   {draw_name()},
                                   {draw_name()}};
    }
    RC_FAIL("no such permit message");
}

/// Draws a message of the variant's alternative `index`.
inline core::peer_message draw_message(std::size_t index)
{
    switch (index) {
    case 6:
        return core::key_query{draw_request(), *rc::gen::arbitrary<std::string>()};
    case 7:
        return core::key_response{draw_request(), draw_enumerator(core::key_state::used)};
    case 8:
        return core::heartbeat{draw_member(),          draw_some(draw_member),
                               draw_some(draw_digest), draw_some(draw_evidence),
                               {draw_name_or_empty()}, {draw_number<std::uint64_t>()},
                               draw_number<bool>(),    draw_number<std::uint64_t>(),
                               draw_number<bool>()};
    case 9:
        return core::feed_request{{draw_name()}, {draw_number<std::uint64_t>()}};
    case 10: {
        const auto after = *rc::gen::inRange<std::uint64_t>(0, 1000);
        const auto upto = after + *rc::gen::inRange<std::uint64_t>(0, 1000);
        return core::feed_delta{
            {draw_name()}, {after}, {upto}, draw_some(draw_object), draw_some(draw_removal)};
    }
    case 11:
        return core::feed_snapshot{
            {draw_name()}, {draw_number<std::uint64_t>()}, draw_some(draw_object)};
    case 12:
        return core::permit_started{draw_request(), draw_cell(), draw_upstream()};
    }
    return draw_permit_message(index);
}

} // namespace ragwortcove::peer
