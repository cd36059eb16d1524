#include "dragonflymill/direct/peer_message.h"

#include <algorithm>

namespace dragonflymill::direct {

auto split_into_datagrams(const std::vector<peer_message>& messages, const std::string& relay,
                          bool for_relays) -> std::vector<peer_datagram>
{
    std::vector<peer_datagram> datagrams;
    for (std::size_t begin = 0; begin < messages.size(); begin += max_digests_per_datagram) {
        const std::size_t end = std::min(begin + max_digests_per_datagram, messages.size());
        datagrams.push_back({relay,
                             for_relays,
                             {messages.begin() + static_cast<std::ptrdiff_t>(begin),
                              messages.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
    return datagrams;
}

} // namespace dragonflymill::direct
