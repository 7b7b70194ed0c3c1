/// \file
/// Serves a model of the users' object store over HTTP.
#pragma once

#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/server.hpp"
#include "ragwortcove/standin/store_model.hpp"

#include <cstdint>
#include <memory>

namespace ragwortcove::standin {

struct platform_server_settings {
    store_model_settings store;
    std::uint64_t seed = 1;
    http::server_settings listen;
};

/// The store's published calls, and besides them `GET /counts`, `GET /healthz` and `POST /fault`.
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
