#include "../http/certificates.hpp"
#include "cluster.hpp"

using namespace ragwortcove;
using namespace ragwortcove::daemon;
using namespace ragwortcove::daemon::test;
using http::test::certificate_authority;
using http::test::certificate_files;
using http::test::temporary_folder;

static http::client_settings trusting(const certificate_authority& authority)
{
    http::client_settings made;
    made.tls = true;
    made.authority_file = authority.authority_file();
    return made;
}

/// Status of a call over a connection of its own; zero when there was no answer.
static int status_of(cluster& here, const http::client_settings& settings, std::string path,
                     std::vector<http::header> headers = {})
{
    http::client client{here.loop, settings};
    int status = 0;
    bool over = false;
    http::client_request request;
    request.address = "127.0.0.1";
    request.port = here.port;
    request.message = cluster::make_message("GET", std::move(path), {}, std::move(headers));
    http::client_handlers handlers;
    handlers.headed = [&](const http::response_head& head) { status = head.status; };
    handlers.ended = [&] { over = true; };
    handlers.failed = [&](http::client_error) { over = true; };
    client.start(std::move(request), std::move(handlers));
    run_until(here.loop, [&] { return over; });
    return status;
}

TEST_CASE("callers and operators are served over TLS")
{
    const temporary_folder folder;
    const certificate_authority authority{folder, "authority"};
    const certificate_authority successor{folder, "successor"};
    const certificate_files own = authority.issue(folder, "server", "entry-1");
    cluster here{{own.certificate, own.private_key, authority.authority_file()}};
    http::client_settings caller = trusting(authority);

    SUBCASE("a caller without a certificate is served, but is no operator")
    {
        CHECK(status_of(here, caller, "/healthz") == 200);
        CHECK(status_of(here, caller, "/v1/status") == 401);
    }
    SUBCASE("an operator shows a certificate or the token")
    {
        CHECK(status_of(here, caller, "/v1/status",
                        {{"authorization", "Bearer an-operators-token"}}) == 200);
        CHECK(status_of(here, caller, "/v1/status",
                        {{"authorization", "Bearer another-token-12"}}) == 401);
        const certificate_files shown = authority.issue(folder, "operator", "operator-7");
        caller.certificate_file = shown.certificate;
        caller.private_key_file = shown.private_key;
        CHECK(status_of(here, caller, "/v1/status") == 200);
    }
    SUBCASE("a renewed certificate is used by new connections, without a restart")
    {
        CHECK(status_of(here, trusting(successor), "/healthz") == 0);
        (void)successor.issue(folder, "server", "entry-1");
        here.daemon->reload(here.settings);
        CHECK(status_of(here, trusting(successor), "/healthz") == 200);
    }
    SUBCASE("files that do not fit together leave the old certificate in force")
    {
        std::filesystem::copy_file(successor.issue(folder, "other", "entry-1").private_key,
                                   own.private_key,
                                   std::filesystem::copy_options::overwrite_existing);
        here.daemon->reload(here.settings);
        CHECK(status_of(here, caller, "/healthz") == 200);
    }
}
