/// \file
/// Serves a service model over HTTP.
#pragma once

#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/server.hpp"
#include "ragwortcove/standin/service_model.hpp"

#include <cstdint>
#include <memory>

namespace ragwortcove::standin {

struct service_server_settings {
    service_settings service;
    std::uint64_t seed = 1;
    http::server_settings listen;
};

/// A service model that answers any path; `Idempotency-Key` names a call that may not be repeated.
///
/// Paths of its own: `GET /counts`, `GET /healthz`, `POST /fault`.
class service_server {
public:
    service_server(http::loop& on, const service_server_settings& settings);
    ~service_server();
    service_server(const service_server&) = delete;
    service_server& operator=(const service_server&) = delete;

    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::standin
