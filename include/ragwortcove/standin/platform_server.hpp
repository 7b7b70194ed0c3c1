/// \file
/// Serves a platform model over HTTP.
#pragma once

#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/server.hpp"
#include "ragwortcove/standin/platform_model.hpp"

#include <cstdint>
#include <memory>

namespace ragwortcove::standin {

struct platform_server_settings {
    platform_settings platform;
    std::uint64_t seed = 1;
    http::server_settings listen;
};

/// The object API of `platform/codec.hpp` over a platform model.
///
/// Paths: `GET /objects`, `GET|PUT|DELETE /objects/<kind>/<name>`, `GET /watch?after=N`,
/// `GET /counts`, `GET /healthz`, `POST /fault`.
class platform_server {
public:
    platform_server(http::loop& on, const platform_server_settings& settings);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::standin
