/// \file
/// Serves an engine model over HTTP.
#pragma once

#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/server.hpp"
#include "ragwortcove/standin/engine_model.hpp"

#include <cstdint>
#include <memory>

namespace ragwortcove::standin {

struct engine_server_settings {
    engine_settings engine;
    std::uint64_t seed = 1;
    http::server_settings listen;
};

/// An engine model behind an OpenAI-style interface, on one loop's time.
///
/// Paths: `POST /v1/chat/completions`, `/v1/resume`, `/v1/cancel`, `/v1/kv/export`,
/// `/v1/kv/import`, `/v1/orders`, `/fault`; `GET /v1/requests/<id>`, `/v1/load`,
/// `/v1/cache/events?after=N`, `/counts`, `/healthz`.
class engine_server {
public:
    engine_server(http::loop& on, const engine_server_settings& settings);
    ~engine_server();
    engine_server(const engine_server&) = delete;
    engine_server& operator=(const engine_server&) = delete;

    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::standin
