#include "certificates.hpp"
#include "loopback.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::http::test {

static heard get_over_tls(loop& on, std::uint16_t port, const client_settings& settings)
{
    heard result;
    client calling(on, settings);
    calling.start(request_to(port, "POST", "/tls", std::string(100000, 'b')),
                  handlers_into(result, [] {}));
    REQUIRE(run_until(on, [&] { return result.over(); }));
    return result;
}

TEST_CASE("server and client talk over TLS")
{
    const temporary_folder folder;
    const certificate_authority authority(folder, "authority");
    const certificate_authority stranger(folder, "stranger");
    const certificate_files own = authority.issue(folder, "server", "entry-1");
    loop on;
    server_settings settings;
    settings.tls = {own.certificate, own.private_key, authority.authority_file()};
    std::vector<std::string> names;
    server serving(
        on, settings,
        [&](server_exchange exchange, request&& message) {
            names.push_back(message.peer_common_name);
            serving.respond(exchange, 200, "text/plain", message.body);
        },
        [](server_exchange) {});
    REQUIRE(serving.listening());
    client_settings trusting;
    trusting.tls = true;
    trusting.authority_file = authority.authority_file();

    SUBCASE("a client without a certificate has no name")
    {
        const heard result = get_over_tls(on, serving.port(), trusting);
        CHECK(result.ended);
        CHECK(result.body.size() == 100000);
        CHECK(names == std::vector<std::string>{""});
    }

    SUBCASE("exchanges in turn, long ones too, are answered over kept connections")
    {
        client calling(on, trusting);
        for (const std::size_t length : {std::size_t{1}, std::size_t{3} << 20U, std::size_t{0}}) {
            heard result;
            calling.start(request_to(serving.port(), "POST", "/", std::string(length, 'b')),
                          handlers_into(result, [] {}));
            REQUIRE(run_until(on, [&] { return result.over(); }));
            CHECK(result.ended);
            CHECK(result.body == std::string(length, 'b'));
        }
    }

    SUBCASE("a client whose authority can't be read sends nothing")
    {
        trusting.authority_file = folder.file("none.pem");
        CHECK(get_over_tls(on, serving.port(), trusting).error == client_error::not_sent);
        CHECK(names.empty());
    }

    SUBCASE("a server of another address gets no byte of the request")
    {
        // Its certificate states 127.0.0.1.
        settings.address = "127.0.0.2";
        const server elsewhere(
            on, settings, [&](server_exchange, request&&) { names.emplace_back("elsewhere"); },
            [](server_exchange) {});
        REQUIRE(elsewhere.listening());
        heard result;
        client calling(on, trusting);
        client_request wanted = request_to(elsewhere.port(), "GET", "/");
        wanted.address = settings.address;
        calling.start(std::move(wanted), handlers_into(result, [] {}));
        REQUIRE(run_until(on, [&] { return result.over(); }));
        CHECK(result.error == client_error::not_sent);
        CHECK(names.empty());
    }

    SUBCASE("a client's certificate names it")
    {
        const certificate_files operator_files = authority.issue(folder, "operator", "operator-7");
        trusting.certificate_file = operator_files.certificate;
        trusting.private_key_file = operator_files.private_key;
        const heard result = get_over_tls(on, serving.port(), trusting);
        CHECK(result.ended);
        CHECK(names == std::vector<std::string>{"operator-7"});
    }

    SUBCASE("a client's certificate of another authority is refused")
    {
        const certificate_files foreign = stranger.issue(folder, "foreign", "operator-7");
        trusting.certificate_file = foreign.certificate;
        trusting.private_key_file = foreign.private_key;
        const heard result = get_over_tls(on, serving.port(), trusting);
        CHECK_FALSE(result.ended);
        CHECK(names.empty());
    }

    SUBCASE("a server of another authority gets no byte of the request")
    {
        trusting.authority_file = stranger.authority_file();
        const heard result = get_over_tls(on, serving.port(), trusting);
        CHECK(result.error == client_error::not_sent);
        CHECK(names.empty());
    }

    SUBCASE("plain HTTP is not served")
    {
        heard result;
        client plain(on, {});
        plain.start(request_to(serving.port(), "GET", "/"), handlers_into(result, [] {}));
        REQUIRE(run_until(on, [&] { return result.over(); }));
        CHECK_FALSE(result.ended);
        CHECK(names.empty());
    }

    SUBCASE("a renewed certificate is taken without a restart")
    {
        static_cast<void>(stranger.issue(folder, "server", "entry-1"));
        CHECK(get_over_tls(on, serving.port(), trusting).ended);
        REQUIRE(serving.reload_tls());
        CHECK(get_over_tls(on, serving.port(), trusting).error == client_error::not_sent);
        trusting.authority_file = stranger.authority_file();
        CHECK(get_over_tls(on, serving.port(), trusting).ended);
    }

    SUBCASE("a renewed certificate that can't be read leaves the old one in force")
    {
        static_cast<void>(stranger.issue(folder, "server", "entry-1"));
        std::filesystem::remove(own.private_key);
        CHECK_FALSE(serving.reload_tls());
        CHECK(get_over_tls(on, serving.port(), trusting).ended);
    }
}

TEST_CASE("a server whose certificate can't be read doesn't listen")
{
    loop on;
    server_settings settings;
    settings.tls = {"/nonexistent/server.pem", "/nonexistent/server.key", ""};
    const server serving(
        on, settings, [](server_exchange, request&&) {}, [](server_exchange) {});
    CHECK_FALSE(serving.listening());
}

} // namespace ragwortcove::http::test
