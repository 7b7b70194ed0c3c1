#include "ragwortcove/core/placement_board.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

/// A board of engines with two slots each, on virtual time.
struct board_of_engines {
    placement_board board;
    time_point now{1h};
    std::uint64_t sequence = 0;
    std::unique_ptr<rule_index> rules;
    std::vector<announced_upstream> upstreams;

    explicit board_of_engines(std::size_t engines)
    {
        ruleset made;
        made.targets = {{{"engines"}, true, 2, 100'000}};
        this->rules = std::make_unique<rule_index>(std::move(made));
        for (std::size_t index = 0; index < engines; ++index) {
            announced_upstream one;
            one.name.value = "e" + std::to_string(index);
            one.target.value = "engines";
            one.failure_domain.value = "a";
            this->upstreams.push_back(one);
        }
        this->board.set_upstreams(this->upstreams, this->rules.get());
        // A board that is new waits for reports; the tests begin after that.
        static_cast<void>(this->ask(9, 10));
        this->pass(200ms);
        this->finish_all();
    }

    [[nodiscard]] placement_ask make(std::uint32_t rank, std::uint32_t tokens)
    {
        placement_ask made;
        made.id = {{"entry"}, {1}, ++this->sequence};
        made.target.value = "engines";
        made.rank = rank;
        made.prompt_tokens = tokens;
        made.output_tokens = 100;
        made.goal_left = 500ms;
        made.patience = 2s;
        made.failure_domain.value = "a";
        return made;
    }
    placement_board::answers ask(std::uint32_t rank, std::uint32_t tokens)
    {
        return this->ask(this->make(rank, tokens));
    }
    placement_board::answers ask(const placement_ask& what)
    {
        placement_board::answers answers;
        this->board.ask(what, this->now, answers);
        this->remember(answers);
        return answers;
    }
    placement_board::answers pass(duration time)
    {
        placement_board::answers answers;
        this->now += time;
        this->board.tick(this->now, answers);
        this->remember(answers);
        return answers;
    }
    placement_board::answers finish(const placement_id& id,
                                    placement_outcome outcome = placement_outcome::completed)
    {
        placement_board::answers answers;
        this->board.release({id, outcome, 50ms, 20ms}, this->now, answers);
        this->granted.erase(id);
        this->remember(answers);
        return answers;
    }
    void finish_all()
    {
        while (!this->granted.empty())
            this->finish(this->granted.begin()->first);
    }
    void remember(const placement_board::answers& answers)
    {
        for (const placement_answer& answer : answers) {
            if (const auto* grant = std::get_if<placement_grant>(&answer))
                this->granted[grant->id] = grant->upstream;
        }
    }

    std::map<placement_id, upstream_name> granted;
};

} // namespace

TEST_CASE("a board never has more out than there are slots")
{
    board_of_engines on{3};
    for (int count = 0; count < 6; ++count)
        CHECK(on.ask(0, 1000).size() == 1);
    CHECK(on.ask(0, 1000).empty());
    CHECK(on.board.waiting() == 1);
    std::map<upstream_name, int> by_upstream;
    for (const auto& [id, upstream] : on.granted)
        ++by_upstream[upstream];
    for (const auto& [name, count] : by_upstream)
        CHECK(count == 2);
    SUBCASE("a slot that gets free goes to the one that waits")
    {
        CHECK(on.finish(on.granted.begin()->first).size() == 1);
        CHECK(on.board.waiting() == 0);
    }
    SUBCASE("an ask that comes twice waits once")
    {
        placement_ask again = on.make(0, 10);
        CHECK(on.ask(again).empty());
        CHECK(on.ask(again).empty());
        CHECK(on.board.waiting() == 2);
    }
    SUBCASE("an ask whose grant was lost gets the same grant again")
    {
        const auto& [id, upstream] = *on.granted.begin();
        placement_ask again = on.make(0, 10);
        again.id = id;
        const auto answers = on.ask(again);
        REQUIRE(answers.size() == 1);
        CHECK(std::get<placement_grant>(answers[0]).upstream == upstream);
        CHECK(on.board.in_flight() == 6);
    }
}

TEST_CASE("those who wait go in the order that serves callers best")
{
    board_of_engines on{1};
    on.ask(0, 100);
    on.ask(0, 100);
    const placement_ask low = on.make(5, 100);
    const placement_ask late = [&] {
        placement_ask made = on.make(1, 100);
        made.goal_left = -1ms;
        return made;
    }();
    const placement_ask soon = [&] {
        placement_ask made = on.make(1, 100);
        made.goal_left = 100ms;
        return made;
    }();
    const placement_ask later = on.make(1, 100);
    for (const placement_ask& each : {low, late, later, soon})
        CHECK(on.ask(each).empty());
    std::vector<placement_id> order;
    for (int count = 0; count < 4; ++count) {
        const auto answers = on.finish(on.granted.begin()->first);
        REQUIRE(answers.size() == 1);
        order.push_back(std::get<placement_grant>(answers[0]).id);
    }
    // Rank first, then those that can still be in time, the most urgent of them first.
    CHECK(order == std::vector<placement_id>{soon.id, later.id, late.id, low.id});
}

TEST_CASE("a prompt goes where its parts are kept")
{
    board_of_engines on{4};
    placement_ask first = on.make(0, 8000);
    first.parts = {{1, 60}, {77, 7940}};
    const auto answers = on.ask(first);
    REQUIRE(answers.size() == 1);
    CHECK(std::get<placement_grant>(answers[0]).uncached_tokens == 8000);
    const upstream_name warm = std::get<placement_grant>(answers[0]).upstream;
    on.finish(first.id);

    SUBCASE("the next one about the same is not computed again")
    {
        placement_ask next = on.make(0, 8000);
        next.parts = first.parts;
        const auto again = on.ask(next);
        CHECK(std::get<placement_grant>(again[0]).upstream == warm);
        CHECK(std::get<placement_grant>(again[0]).uncached_tokens == 0);
    }
    SUBCASE("a part counts only when those before it are kept too")
    {
        placement_ask other = on.make(0, 8000);
        other.parts = {{2, 60}, {77, 7940}};
        CHECK(std::get<placement_grant>(on.ask(other)[0]).uncached_tokens == 8000);
    }
    SUBCASE("an engine that started anew has kept nothing")
    {
        on.board.forget(warm);
        placement_ask next = on.make(0, 8000);
        next.parts = first.parts;
        CHECK(std::get<placement_grant>(on.ask(next)[0]).uncached_tokens == 8000);
    }
}

TEST_CASE("an upstream that fails more than its peers gets no work for a while")
{
    board_of_engines on{3};
    const auto fail_on = [&](const std::string& name, int times) {
        for (int count = 0; count < times; ++count) {
            placement_ask made = on.make(0, 100);
            for (const announced_upstream& each : on.upstreams) {
                if (each.name.value != name)
                    made.avoid.push_back(each.name);
            }
            if (on.ask(made).empty())
                return;
            on.finish(made.id, placement_outcome::broken);
        }
    };
    fail_on("e1", 4);
    for (int count = 0; count < 4; ++count)
        on.ask(0, 100);
    for (const auto& [id, upstream] : on.granted)
        CHECK(upstream.value != "e1");
    SUBCASE("and gets some again after that")
    {
        on.finish_all();
        on.pass(3s);
        bool used = false;
        for (int count = 0; count < 6; ++count)
            on.ask(0, 100);
        for (const auto& [id, upstream] : on.granted)
            used = used || upstream.value == "e1";
        CHECK(used);
    }
    SUBCASE("when all of them fail, the requests go on")
    {
        on.finish_all();
        fail_on("e0", 4);
        fail_on("e2", 4);
        CHECK_FALSE(on.ask(0, 100).empty());
    }
}

TEST_CASE("a request that cannot be placed is told so, and when to come back")
{
    board_of_engines on{1};
    on.ask(0, 100);
    on.ask(0, 100);
    SUBCASE("when its patience is over")
    {
        placement_ask waiting = on.make(0, 100);
        waiting.patience = 300ms;
        CHECK(on.ask(waiting).empty());
        const auto answers = on.pass(400ms);
        REQUIRE(answers.size() == 1);
        const auto& denial = std::get<placement_denial>(answers[0]);
        CHECK(denial.reason == denial_reason::overloaded);
        CHECK(denial.retry_after > 0ms);
    }
    SUBCASE("when no upstream is left")
    {
        placement_ask nowhere = on.make(0, 100);
        nowhere.avoid = {{"e0"}};
        const auto answers = on.ask(nowhere);
        REQUIRE(answers.size() == 1);
        CHECK(std::get<placement_denial>(answers[0]).reason == denial_reason::no_upstream);
    }
    SUBCASE("a leaving upstream is none")
    {
        on.upstreams[0].leaving = true;
        on.board.set_upstreams(on.upstreams, on.rules.get());
        CHECK(std::get<placement_denial>(on.ask(0, 100)[0]).reason == denial_reason::no_upstream);
    }
}

TEST_CASE("an owner agrees with what the entries report")
{
    board_of_engines on{1};
    placement_board::answers answers;
    const placement_held running{{{"other"}, {9}, 1}, {"engines"}, {"e0"}, 100, true};

    SUBCASE("a request that it did not place takes a slot")
    {
        on.board.held({"other"}, {9}, std::span(&running, 1), on.now, answers);
        CHECK(on.board.in_flight() == 1);
        on.ask(0, 100);
        CHECK(on.ask(0, 100).empty());
        SUBCASE("until it is not reported any more")
        {
            on.now += 1s;
            on.board.held({"other"}, {9}, {}, on.now, answers);
            CHECK(answers.size() == 1);
        }
        SUBCASE("until the entry's process ends")
        {
            on.board.entry_gone({9}, on.now, answers);
            CHECK(answers.size() == 1);
        }
    }
    SUBCASE("a report that is older than the end of a request does not bring it back")
    {
        on.board.release({running.id, placement_outcome::completed, {}, {}}, on.now, answers);
        on.board.held({"other"}, {9}, std::span(&running, 1), on.now, answers);
        CHECK(on.board.in_flight() == 0);
    }
    SUBCASE("a grant that is on its way is not taken back")
    {
        on.ask(0, 100);
        on.now += 100ms;
        on.board.held({"entry"}, {1}, {}, on.now, answers);
        CHECK(on.board.in_flight() == 1);
        on.now += 1s;
        on.board.held({"entry"}, {1}, {}, on.now, answers);
        CHECK(on.board.in_flight() == 0);
    }
}

} // namespace ragwortcove::core
