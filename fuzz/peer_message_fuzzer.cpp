// Any bytes are decoded or refused, and what is decoded is encoded and decoded again unchanged.
#include "ragwortcove/peer/codec.hpp"

#include <cstdlib>

using namespace ragwortcove;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto message = peer::decode_datagram(bytes);
    if (!message)
        return 0;
    const auto again = peer::decode_datagram(peer::encode_datagram(*message));
    if (!again || !(*again == *message))
        std::abort();
    return 0;
}
