#include "dragonflymill/membership/member.h"

#include <algorithm>

namespace dragonflymill {

namespace {

auto is_printable(const std::string& text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

// Encoded size of the tags, lengths and numbers of an update, without its strings.
constexpr std::size_t fixed_update_bytes = 48;

} // namespace

auto to_string(member_state state) -> const char*
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::leaving:
        return "leaving";
    }
    return "dead";
}

// Guards against new work for a stopping process: an older "alive" that arrives late, or that a resumed peer
// repeats, must not revive it. The process itself announced "leaving", so no update about the same
// incarnation overrides it.
auto overrides(const member_update& news, const member_update& known) -> bool
{
    if (news.number.start != known.number.start) {
        return news.number.start > known.number.start;
    }
    if (news.state == member_state::leaving || known.state == member_state::leaving) {
        return known.state != member_state::leaving;
    }
    if (news.number.refutation != known.number.refutation) {
        return news.number.refutation > known.number.refutation;
    }
    return news.state > known.state;
}

auto fits_datagram(const member_info& info) -> bool
{
    const auto fits = [](const std::string& text, std::size_t bound) {
        return text.size() <= bound && is_printable(text);
    };
    const bool named = !info.id.empty() && !info.gossip_address.empty();
    const bool names = fits(info.id.text(), max_member_name) && fits(info.region.text(), max_member_name) &&
                       fits(info.domain.text(), max_member_name) && fits(info.host.text(), max_member_name);
    return named && names && fits(info.gossip_address, max_member_address) &&
           fits(info.peer_address, max_member_address);
}

auto size_bound(const member_update& update) -> std::size_t
{
    const auto& info = update.info;
    return fixed_update_bytes + info.id.text().size() + info.region.text().size() +
           info.domain.text().size() + info.host.text().size() + info.gossip_address.size() +
           info.peer_address.size();
}

} // namespace dragonflymill
