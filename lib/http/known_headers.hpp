/// \file
/// Headers read from libwebsockets, which keeps unknown ones only under their name.
#pragma once

#include "ragwortcove/http/message.hpp"

#include <libwebsockets.h>

namespace ragwortcove::http {

/// All headers of this library's list that the message on `wsi` carries.
[[nodiscard]] std::vector<header> read_headers(lws* wsi);

} // namespace ragwortcove::http
