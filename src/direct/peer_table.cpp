#include "dragonflymill/direct/peer_table.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace dragonflymill::direct {

namespace {

/// Returns a rank whose lowest value selects a peer with a probability proportional to its weight.
auto weighted_rank(std::uint64_t draw, int weight) -> double
{
    constexpr auto most = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double share = (static_cast<double>(draw) + 1.0) / (most + 1.0);
    return -std::log(share) / std::max(weight, 1);
}

} // namespace

peer_table::peer_table(std::string self, std::string address, std::vector<std::string> seeds, int millicores)
    : self_(std::move(self))
    , address_(std::move(address))
    , millicores_(millicores)
    , seeds_(std::move(seeds))
{
}

auto peer_table::set_cells(const fleet_cells& cells) -> std::vector<std::string>
{
    cells_ = cells;
    std::vector<std::string> removed;
    std::erase_if(peers_, [&](const auto& peer) {
        const bool other_cell = !in_cell(peer.second.digest.address);
        if (other_cell) {
            removed.push_back(peer.first);
        }
        return other_cell;
    });
    std::erase_if(lost_peers_, [&](const auto& lost) { return !in_cell(lost.first); });
    std::erase_if(learned_addresses_, [&](const auto& learned) { return !in_cell(learned.first); });
    return removed;
}

auto peer_table::in_cell(const std::string& address) const -> bool
{
    return !cells_ || cells_->is_own(address);
}

auto peer_table::take(const peer_digest& digest, instant now) -> bool
{
    if (digest.gateway == self_ || digest.gateway.empty() || !in_cell(digest.address)) {
        return false;
    }
    const auto known = peers_.find(digest.gateway);
    if (known == peers_.end() && peers_.size() >= max_peers) {
        return false;
    }
    if (known != peers_.end() && digest.sequence <= known->second.digest.sequence) {
        return false;
    }
    const bool is_new = known == peers_.end();
    if (is_new) {
        // A restarted gateway replaces the old process at the same address.
        std::erase_if(peers_, [&](const auto& peer) {
            const bool is_replaced = peer.second.digest.address == digest.address;
            if (is_replaced) {
                replaced_peers_.push_back(peer.first);
            }
            return is_replaced;
        });
    }
    peers_[digest.gateway] = known_peer{digest, now};
    newest_revision_ = std::max(newest_revision_, digest.revision);
    lost_peers_.erase(digest.address);
    learn(digest.peers, now);
    return is_new;
}

void peer_table::learn(const std::vector<std::string>& addresses, instant now)
{
    for (const std::string& address : addresses) {
        if (address != address_ && in_cell(address) && learned_addresses_.size() < max_peers) {
            learned_addresses_.emplace(address, now);
        }
    }
}

auto peer_table::expire_peers(instant now) -> std::vector<std::string>
{
    std::vector<std::string> gone = std::exchange(replaced_peers_, {});
    std::erase_if(peers_, [&](const auto& peer) {
        const bool silent = now - peer.second.last_received_at > peer_timeout;
        if (silent) {
            gone.push_back(peer.first);
        }
        if (silent && !peer.second.digest.leaving && lost_peers_.size() < max_peers) {
            lost_peers_[peer.second.digest.address] = now;
        }
        return silent;
    });
    std::erase_if(lost_peers_, [&](const auto& lost) { return now - lost.second > lost_peer_retention; });
    std::erase_if(learned_addresses_,
                  [&](const auto& learned) { return now - learned.second > learned_address_timeout; });
    return gone;
}

auto peer_table::known_addresses() const -> std::set<std::string>
{
    std::set<std::string> found;
    for (const auto& [address, since] : learned_addresses_) {
        found.insert(address);
    }
    std::copy_if(seeds_.begin(), seeds_.end(), std::inserter(found, found.end()),
                 [&](const std::string& seed) { return in_cell(seed); });
    found.erase(address_);
    return found;
}

auto peer_table::targets() const -> std::vector<std::string>
{
    std::set<std::string> all = known_addresses();
    for (const auto& [name, peer] : peers_) {
        all.insert(peer.digest.address);
    }
    std::vector<std::string> found(all.begin(), all.end());
    if (!cells_ || cells_->known()) {
        return found;
    }
    const auto is_seed = [&](const std::string& address) {
        return std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
    };
    const auto others = std::stable_partition(found.begin(), found.end(), is_seed);
    std::sort(others, found.end(), [&](const std::string& a, const std::string& b) {
        return rendezvous_score(stable_hash(self_), a) > rendezvous_score(stable_hash(self_), b);
    });
    const auto kept = static_cast<std::size_t>(others - found.begin()) + max_targets_without_cells;
    found.resize(std::min(found.size(), kept));
    return found;
}

auto peer_table::view_age(instant now) const -> duration
{
    duration oldest{};
    for (const auto& [name, peer] : peers_) {
        const duration age = now - peer.last_received_at;
        if (age <= reachable_timeout) {
            oldest = std::max(oldest, age);
        }
    }
    return oldest;
}

auto peer_table::reachable(instant now) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : peers_) {
        if (!peer.digest.leaving && now - peer.last_received_at <= reachable_timeout) {
            names.push_back(name);
        }
    }
    return names;
}

auto peer_table::reach(instant now, bool count_seeds) const -> gateway_reach
{
    const auto heard = std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return now - peer.second.last_received_at <= reachable_timeout;
    });
    std::size_t known = 1 + peers_.size() + lost_peers_.size();
    if (count_seeds) {
        const auto others =
            seeds_.size() - static_cast<std::size_t>(std::count(seeds_.begin(), seeds_.end(), address_));
        known = std::max(known, 1 + others);
    }
    const auto order = [](const std::string& gateway) {
        return std::pair(stable_hash(gateway), std::string_view(gateway));
    };
    const auto before = std::count_if(peers_.begin(), peers_.end(),
                                      [&](const auto& peer) { return order(peer.first) < order(self_); });
    return {1 + static_cast<int>(heard), static_cast<int>(known), static_cast<int>(before)};
}

auto peer_table::unknown_addresses() const -> std::vector<std::string>
{
    std::set<std::string> found = known_addresses();
    for (const auto& [name, peer] : peers_) {
        found.erase(peer.digest.address);
    }
    return {found.begin(), found.end()};
}

auto peer_table::select_newer_peer(std::uint64_t revision, std::uint64_t attempt)
    -> std::optional<peer_digest>
{
    const std::uint64_t round = mix_bits(revision) + attempt;
    const peer_digest* best = nullptr;
    double best_rank = 0.0;
    newest_revision_ = 0;
    for (const auto& [name, peer] : peers_) {
        const peer_digest& digest = peer.digest;
        newest_revision_ = std::max(newest_revision_, digest.revision);
        if (digest.revision <= revision) {
            continue;
        }
        const double rank = weighted_rank(stable_hash(self_ + digest.gateway, round), digest.millicores);
        if (best == nullptr || rank < best_rank) {
            best = &digest;
            best_rank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

auto peer_table::must_read_source(instant now) -> bool
{
    const auto rank = [](const std::string& gateway, int millicores) {
        return std::tuple(-millicores, stable_hash(gateway), gateway);
    };
    const auto own = rank(self_, millicores_);
    int readers = 0;
    int candidates = 0;
    for (const auto& [name, peer] : peers_) {
        const bool reachable = !peer.digest.leaving && now - peer.last_received_at <= source_reader_timeout;
        if (reachable && rank(name, peer.digest.millicores) < own) {
            ++(peer.digest.reads_source ? readers : candidates);
        }
    }
    if (readers >= max_readers()) {
        readers_missing_since_.reset();
        return false;
    }
    if (!readers_missing_since_) {
        readers_missing_since_ = now;
    }
    return now - *readers_missing_since_ >= takeover_interval * (candidates / takeover_batch);
}

auto peer_table::max_readers() const -> int
{
    const int cells = cells_ ? static_cast<int>(cells_->count()) : 1;
    return (source_readers + cells - 1) / cells;
}

auto peer_table::address_sample(std::uint64_t round) const -> std::vector<std::string>
{
    std::vector<std::string> all;
    all.reserve(peers_.size());
    for (const auto& [name, peer] : peers_) {
        all.push_back(peer.digest.address);
    }
    if (all.size() <= max_listed_peers) {
        return all;
    }
    const auto first = static_cast<std::ptrdiff_t>((round * max_listed_peers) % all.size());
    std::rotate(all.begin(), all.begin() + first, all.end());
    all.resize(max_listed_peers);
    return all;
}

} // namespace dragonflymill::direct
