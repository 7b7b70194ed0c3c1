/// \file
/// Tells when the other side of a connection has closed while its request is being served.
#pragma once

#include "ragwortcove/http/loop.hpp"

#include <libwebsockets.h>

#include <functional>

namespace ragwortcove::http {

/// Watches connections for the end of the other side's stream.
class hangup_watch {
public:
    using hangup_handler = std::function<void(lws*)>;

    hangup_watch(loop& on, hangup_handler hung_up);

    /// Once a connection; the watch ends when its descriptor is closed.
    void add(lws* connection) const;

private:
    void dispatch() const;

    int descriptor;
    hangup_handler hung_up;
};

} // namespace ragwortcove::http
