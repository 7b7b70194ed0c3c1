/// \file
/// A document feed on the event loop, and the store that it reads.
#pragma once

#include "../http/loopback.hpp"
#include "ragwortcove/gateway/document_feed.hpp"
#include "ragwortcove/http/inbound.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ragwortcove::gateway::test {

inline constexpr std::size_t kind_count = adapter::replicated_kind_count;

/// A fake store on the event loop, with documents of all kinds and long-polling watches.
struct fake_store {
    http::loop& event_loop;
    std::unique_ptr<http::inbound_server> server;
    std::uint64_t revision = 10;
    /// Text of the header that states the era; empty for none.
    std::string era;
    /// Versions of documents that state one.
    std::map<std::string, std::uint64_t> versions;
    std::map<std::string, std::map<std::string, std::uint64_t>> documents;
    /// Open watches, each with the kind that it watches.
    std::vector<std::pair<http::inbound_exchange, std::string>> open_watches;
    /// Latest change of each kind that no open watch is notified of.
    std::map<std::string, std::string> unannounced;
    std::size_t lists = 0;
    /// Reads of the one document of rules.
    std::size_t gets = 0;
    /// Kind whose lists never say that they have ended; empty for none.
    std::string endless_kind;
    /// Kind whose lists give their first page again and again; empty for none.
    std::string repeating_kind;
    /// Documents on one page of a list.
    std::size_t page_size = 500;
    /// Time from the next request for a list to its response, which is made at once.
    core::duration list_delay{0};
    int watches = 0;
    /// Status with which every call fails; zero for none.
    int error_status = 0;
    /// Kind whose calls fail; empty for none.
    std::string refused_kind;
    /// Kind that the store does not know; empty for none.
    std::string unknown_kind;

    explicit fake_store(http::loop& loop) : event_loop(loop)
    {
        http::inbound_handlers handlers;
        handlers.requested = [this](http::inbound_exchange id, http::inbound_request&& request) {
            this->handle_request(id, request.head.target);
        };
        handlers.abandoned = [this](http::inbound_exchange id) {
            std::erase_if(this->open_watches, [id](const auto& each) { return each.first == id; });
        };
        this->server =
            std::make_unique<http::inbound_server>(loop, http::socket_address{"127.0.0.1", 0},
                                                   http::inbound_limits{}, std::move(handlers));
    }

    [[nodiscard]] std::string document(const std::string& name, std::uint64_t at) const
    {
        const auto version = this->versions.find(name);
        const std::string content = version == this->versions.end()
                                        ? R"({"x":1})"
                                        : R"({"version":)" + std::to_string(version->second) + "}";
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(at) +
               R"(},"spec":)" + content + "}";
    }
    /// Comes back from a copy of an earlier revision, in which the rules have an earlier version.
    void restore(std::uint64_t earlier, std::uint64_t version)
    {
        this->revision = earlier;
        this->documents["config"]["main"] = earlier;
        this->versions["main"] = version;
        this->era = std::to_string(std::stoull(this->era) + 1);
        const auto waiting = std::exchange(this->open_watches, {});
        for (const auto& [id, kind] : waiting)
            this->respond_with(id, 410, "");
    }
    void respond_with(http::inbound_exchange id, int status, const std::string& body)
    {
        std::vector<http::header> headers;
        if (!this->era.empty())
            headers.push_back({"Store-Era", this->era});
        this->server->respond(id, status, headers, body);
    }
    [[nodiscard]] core::revision revision_now() const { return {this->revision}; }
    void respond(http::inbound_exchange id, const std::string& body)
    {
        this->respond_with(id, 200, body);
    }
    void handle_request(http::inbound_exchange id, const std::string& target)
    {
        const std::string path = target.substr(0, target.find('?'));
        const std::string kind = path.substr(path.rfind('/') + 1);
        if (this->error_status != 0) {
            this->server->respond(id, this->error_status, {}, "");
            return;
        }
        if (kind == this->refused_kind) {
            this->server->respond(id, 503, {}, "");
            return;
        }
        if (kind == this->unknown_kind) {
            this->server->respond(id, 404, {}, "");
            return;
        }
        if (target.find("watch=") != std::string::npos) {
            ++this->watches;
            if (target.find("wait_ms=0") == std::string::npos)
                this->open_watches.emplace_back(id, kind);
            else
                this->respond(id, R"({"events":[)" + this->unannounced[kind] +
                                      R"(],"current_rev":)" + std::to_string(this->revision) + "}");
            return;
        }
        if (path.ends_with("/config/main")) {
            ++this->gets;
            this->respond(id, document("main", this->documents["config"].at("main")));
            return;
        }
        ++this->lists;
        const std::string list = this->page_of(kind, target);
        if (this->list_delay == core::duration{0})
            this->respond(id, list);
        else
            this->event_loop.after(this->list_delay, [this, id, list] { this->respond(id, list); });
    }
    [[nodiscard]] std::string page_of(const std::string& kind, const std::string& target)
    {
        static constexpr std::string_view after_key = "after=";
        const std::size_t key = target.find(after_key);
        const bool is_first = key == std::string::npos || kind == this->repeating_kind;
        const std::string after = is_first ? "" : target.substr(key + after_key.size());
        const std::map<std::string, std::uint64_t>& all = this->documents[kind];
        std::string entries;
        std::size_t count = 0;
        auto next = all.upper_bound(after);
        for (; next != all.end() && count < this->page_size; ++next, ++count)
            entries += (entries.empty() ? "" : ",") + document(next->first, next->second);
        return R"({"entries":[)" + entries + R"(],"has_more":)" +
               (next == all.end() && kind != this->endless_kind ? "false" : "true") +
               R"(,"current_rev":)" + std::to_string(this->revision) + "}";
    }
    /// Changes a document and notifies the open watches of its kind.
    void put(const std::string& kind, const std::string& name)
    {
        this->documents[kind][name] = ++this->revision;
        this->notify_watches(kind, R"({"removed":false,"object":)" +
                                       document(name, this->revision) + "}");
    }
    /// Changes a document without notifying any watch.
    void put_unannounced(const std::string& kind, const std::string& name)
    {
        this->documents[kind][name] = ++this->revision;
        this->unannounced[kind] =
            R"({"removed":false,"object":)" + document(name, this->revision) + "}";
    }
    void remove(const std::string& kind, const std::string& name)
    {
        this->documents[kind].erase(name);
        ++this->revision;
        this->notify_watches(kind,
                             R"({"removed":true,"object":)" + document(name, this->revision) + "}");
    }
    /// Ends the watches that wait: in order and without a response, or with an unreadable one.
    void cut_watches(bool responds = false)
    {
        const auto waiting = std::exchange(this->open_watches, {});
        for (const auto& [id, kind] : waiting) {
            if (responds)
                this->respond(id, "{");
            else
                this->server->abort(id);
        }
    }
    void notify_watches(const std::string& kind, const std::string& event)
    {
        const auto watches_to_notify = this->open_watches;
        for (const auto& [id, watched_kind] : watches_to_notify) {
            if (watched_kind != kind)
                continue;
            std::erase_if(this->open_watches,
                          [id = id](const auto& each) { return each.first == id; });
            this->respond(id, R"({"events":[)" + event + R"(],"current_rev":)" +
                                  std::to_string(this->revision) + "}");
        }
    }
};

struct feed_fixture {
    http::loop event_loop;
    fake_store store{event_loop};
    http::outbound_client connections{event_loop, std::chrono::seconds(5)};
    adapter::store_client client{event_loop, connections, {{"127.0.0.1", store.server->port()}}};
    std::vector<document_update> updates;
    /// Outages of the store: false while one is under way, true at its end.
    std::vector<bool> outages;
    int eras_begun = 0;
    std::vector<document_delta> announced;
    bool is_reader = true;
    std::unique_ptr<document_feed> feed;

    void start()
    {
        document_feed_handlers handlers;
        handlers.updated = [this](const document_update& update) {
            this->updates.push_back(update);
        };
        handlers.outage_observed = [this](bool has_ended) { this->outages.push_back(has_ended); };
        handlers.era_began = [this] { ++this->eras_begun; };
        handlers.announce = [this](const document_delta& delta) {
            this->announced.push_back(delta);
        };
        this->feed =
            std::make_unique<document_feed>(this->event_loop, this->client, 7, std::move(handlers));
        this->feed->set_reading(this->is_reader);
    }
    bool run_until_true(const std::function<bool()>& done)
    {
        return http::test::run_until(this->event_loop, done, std::chrono::seconds(5));
    }
    bool is_watching() const { return this->store.open_watches.size() == kind_count; }
    void pass(std::chrono::milliseconds time)
    {
        static_cast<void>(http::test::run_until(
            this->event_loop, [] { return false; }, time));
    }
};

} // namespace ragwortcove::gateway::test
