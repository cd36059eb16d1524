#include "dragonflymill/direct/cell_directory.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflymill::direct {

cell_directory::cell_directory(std::string address, std::vector<std::string> seeds)
    : address_(std::move(address))
    , seeds_(std::move(seeds))
{
}

void cell_directory::take(const peer_digest& digest, instant now)
{
    if (digest.address == address_ ||
        (gateways_.size() >= max_gateways && !gateways_.contains(digest.address))) {
        return;
    }
    gateways_[digest.address] = {digest.revision, now, false};
    newest_revision_ = std::max(newest_revision_, digest.revision);
}

void cell_directory::learn(const fleet_cells& cells, const std::vector<std::string>& addresses, instant now)
{
    for (const std::string& address : addresses) {
        if (address != address_ && !cells.is_own(address) && gateways_.size() < max_gateways) {
            gateways_.try_emplace(address, known_gateway{0, now, true});
        }
    }
}

auto cell_directory::is_seed(const std::string& address) const -> bool
{
    return std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
}

void cell_directory::expire(const fleet_cells& cells, instant now)
{
    const duration timeout = round_length * (rounds_until_expiry * cells.count());
    newest_revision_ = 0;
    std::erase_if(gateways_, [&](const auto& item) {
        const bool expired = now - item.second.last_received_at > timeout || cells.is_own(item.first);
        const bool reachable = now - item.second.last_received_at <= peer_table::peer_timeout;
        if (!expired && reachable) {
            newest_revision_ = std::max(newest_revision_, item.second.revision);
        }
        return expired;
    });
}

auto cell_directory::targets(const fleet_cells& cells, std::uint64_t round, bool is_alone) const
    -> std::vector<std::string>
{
    std::set<std::string> found;
    std::vector<const std::string*> contacts;
    for (const auto& [address, known] : gateways_) {
        if (!is_seed(address)) {
            contacts.push_back(&address);
        }
    }
    if (!contacts.empty()) {
        found.insert(*contacts[stable_hash(address_, round) % contacts.size()]);
    }
    // Gateways that started at the same time ask in different rounds.
    const std::uint64_t turn = round + stable_hash(address_) % turn_spread;
    if (is_alone) {
        found.insert(seeds_.begin(), seeds_.end());
    }
    else if (!seeds_.empty() && turn % cells.count() == 0) {
        found.insert(seeds_[(turn / cells.count()) % seeds_.size()]);
    }
    // Gateways of the own cell get its digests in any case.
    std::erase_if(found, [&](const std::string& address) { return cells.known() && cells.is_own(address); });
    found.erase(address_);
    return {found.begin(), found.end()};
}

auto cell_directory::introductions(const fleet_cells& cells, cell_id cell, std::uint64_t round) const
    -> std::vector<std::string>
{
    std::vector<std::string> members;
    std::vector<std::string> others;
    for (const auto& [address, known] : gateways_) {
        if (!known.learned) {
            (cells.cell_of(address) == cell ? members : others).push_back(address);
        }
    }
    const auto reduce = [&](std::vector<std::string>& addresses, std::size_t most) {
        if (addresses.size() > most) {
            const auto first = static_cast<std::ptrdiff_t>((round * most) % addresses.size());
            std::rotate(addresses.begin(), addresses.begin() + first, addresses.end());
            addresses.resize(most);
        }
    };
    reduce(members, max_members);
    reduce(others, further_contacts);
    members.insert(members.end(), others.begin(), others.end());
    return members;
}

auto cell_directory::select_newer(std::uint64_t revision, std::uint64_t attempt, instant now) const
    -> std::optional<std::string>
{
    std::vector<const std::string*> newer;
    for (const auto& [address, known] : gateways_) {
        if (known.revision > revision && now - known.last_received_at <= peer_table::peer_timeout) {
            newer.push_back(&address);
        }
    }
    if (newer.empty()) {
        return std::nullopt;
    }
    return *newer[stable_hash(address_, mix_bits(revision) + attempt) % newer.size()];
}

} // namespace dragonflymill::direct
