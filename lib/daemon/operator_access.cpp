#include "ragwortcove/daemon/operator_access.hpp"

#include <openssl/crypto.h>

#include <string_view>

namespace ragwortcove::daemon {

operator_proof read_operator_proof(const http::request& message)
{
    static constexpr std::string_view scheme = "Bearer ";
    operator_proof proof;
    proof.certificate_name = message.peer_common_name;
    const std::string_view stated =
        http::find_header(message.headers, "authorization").value_or("");
    if (stated.starts_with(scheme))
        proof.bearer_token = std::string{stated.substr(scheme.size())};
    return proof;
}

/// Compares in a time that does not depend on where the texts differ.
static bool equals_in_constant_time(std::string_view one, std::string_view other)
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

bool admits_operator(const daemon_settings& settings, const operator_proof& proof)
{
    const bool asks_certificate = !settings.tls.client_authority_file.empty();
    if (asks_certificate && !proof.certificate_name.empty())
        return true;
    if (!settings.admin_token.empty())
        return equals_in_constant_time(proof.bearer_token, settings.admin_token);
    const bool open_mode = !settings.tls.enabled() && is_loopback(settings.node.callers);
    return open_mode;
}

} // namespace ragwortcove::daemon
