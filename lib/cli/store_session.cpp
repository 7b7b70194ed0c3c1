#include "ragwortcove/cli/store_session.hpp"

#include <random>

namespace ragwortcove::cli {

static constexpr std::chrono::milliseconds idle_timeout{3000};
static constexpr std::chrono::milliseconds response_timeout{1500};

store_session::store_session(const core::endpoint& address, std::chrono::microseconds patience)
    : connections(this->loop, idle_timeout),
      store(this->loop, this->connections,
            {{address.address, address.port}, response_timeout, [](std::string_view) {}}),
      delays(std::random_device{}()), give_up_at(this->loop.now() + patience)
{
}

bool store_session::wait_to_retry()
{
    const auto delay = this->delays.next();
    if (this->loop.now() + delay >= this->give_up_at)
        return false;
    this->loop.after(delay, [this] { this->loop.stop(); });
    this->wait();
    return true;
}

store_session::list_result store_session::list(adapter::document_kind kind)
{
    list_result result;
    this->store.list(kind,
                     [&](const adapter::document_list* read, const adapter::store_error& error) {
                         if (read != nullptr)
                             result.documents = *read;
                         result.error = error;
                         this->loop.stop();
                     });
    this->wait();
    return result;
}

store_session::document_result store_session::call(const adapter::store_call& wanted)
{
    document_result result;
    this->store.send(
        wanted, [&](const adapter::store_document* document, const adapter::store_error& error) {
            if (document != nullptr)
                result.document = *document;
            result.error = error;
            this->loop.stop();
        });
    this->wait();
    return result;
}

} // namespace ragwortcove::cli
