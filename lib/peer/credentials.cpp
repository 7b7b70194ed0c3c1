#include "credentials.hpp"

#include <fstream>
#include <iterator>
#include <optional>

namespace ragwortcove::peer {

/// Largest envelope that is read; a snapshot of the whole configuration is the largest.
static constexpr int most_envelope_bytes = 64 << 20;

namespace {

struct certificate_texts {
    std::string certificate;
    std::string private_key;
    std::string authority;
};

} // namespace

static std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

static std::optional<certificate_texts> read_certificates(const tls_files& files)
{
    certificate_texts texts{read_file(files.certificate_file), read_file(files.private_key_file),
                            read_file(files.authority_file)};
    if (texts.certificate.empty() || texts.private_key.empty() || texts.authority.empty())
        return std::nullopt;
    return texts;
}

std::shared_ptr<grpc::ServerCredentials> server_credentials(const tls_files& files)
{
    if (!files.enabled())
        return grpc::InsecureServerCredentials();
    const auto texts = read_certificates(files);
    if (!texts)
        return nullptr;
    grpc::SslServerCredentialsOptions options(
        GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = texts->authority;
    options.pem_key_cert_pairs.push_back({texts->private_key, texts->certificate});
    return grpc::SslServerCredentials(options);
}

// Files are read for each channel, so that a renewed certificate is used from the next stream on.
static std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const tls_files& files)
{
    if (!files.enabled())
        return grpc::InsecureChannelCredentials();
    const auto texts = read_certificates(files);
    if (!texts)
        return nullptr;
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = texts->authority;
    options.pem_private_key = texts->private_key;
    options.pem_cert_chain = texts->certificate;
    return grpc::SslCredentials(options);
}

static bool is_version_6(const core::endpoint& value)
{
    return value.address.find(':') != std::string::npos;
}

std::string format_listen_address(const core::endpoint& value)
{
    const std::string address = is_version_6(value) ? "[" + value.address + "]" : value.address;
    return address + ":" + std::to_string(value.port);
}

// With its scheme, the address is taken as it stands and no resolver is asked.
static std::string format_target(const core::endpoint& value)
{
    return (is_version_6(value) ? "ipv6:" : "ipv4:") + format_listen_address(value);
}

std::vector<std::pair<std::string, int>> keepalive_arguments(const transport_settings& settings)
{
    const int ping_after = static_cast<int>(settings.ping_after.count());
    const int pong_within = static_cast<int>(settings.pong_within.count());
    return {
        {GRPC_ARG_KEEPALIVE_TIME_MS, ping_after},
        {GRPC_ARG_KEEPALIVE_TIMEOUT_MS, pong_within},
        {GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0},
        {GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0},
        {GRPC_ARG_HTTP2_MIN_SENT_PING_INTERVAL_WITHOUT_DATA_MS, ping_after / 2},
        {GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, ping_after / 4},
        {GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0},
        {GRPC_ARG_HTTP2_BDP_PROBE, 0},
        {GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, most_envelope_bytes},
    };
}

// Each channel has a connection of its own: gRPC would otherwise share one between channels, and a
// new stream could run into the silent connection that it is to replace.
std::shared_ptr<grpc::Channel> open_channel(const core::endpoint& to,
                                            const transport_settings& settings)
{
    const auto credentials = channel_credentials(settings.tls);
    if (!credentials)
        return nullptr;
    grpc::ChannelArguments arguments;
    for (const auto& [key, value] : keepalive_arguments(settings))
        arguments.SetInt(key, value);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    return grpc::CreateCustomChannel(format_target(to), credentials, arguments);
}

} // namespace ragwortcove::peer
