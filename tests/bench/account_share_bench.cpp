// Account rate limits shared by many gateways, on a virtual clock, so all figures are reproducible exactly.
// Measures the error of the enforced rate with 2, 8 and 32 gateways: without faults, in a partition and after
// the death of a gateway. Also measures the share requests, and their bytes, that one gateway of 2, 8, 32 and
// 410 sends for 1,500 accounts.

#include "limit/limiter_simulation.h"
#include "peer.pb.h"

#include <cstdio>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

constexpr double limit = limiter_simulation::limit;
/// Bytes of gRPC and HTTP/2 framing and repeated header fields, and of TCP and IP headers of two segments in
/// each direction.
constexpr std::size_t call_overhead = 350;

auto percent(double rate) -> double
{
    return 100 * rate / limit;
}

void measure_error(std::size_t size)
{
    limiter_simulation even(size, 1);
    std::fill(even.demand.begin(), even.demand.end(), 3 * limit / static_cast<double>(size));
    even.run(20s);
    const auto undisturbed = even.run(60s);
    const auto cut = size * 2 / 5;
    std::fill_n(even.side.begin(), cut, 1);
    even.spread_membership();
    const auto partition_onset = even.run(8s);
    const auto partitioned = even.run(60s);
    std::fill_n(even.side.begin(), cut, 0);
    even.spread_membership();
    even.run(20s);
    const auto failed_owner = even.home(0);
    even.paused[failed_owner] = true;
    even.spread_membership();
    const auto after_death = even.run(8s);
    const auto minute_later = even.run(60s);
    limiter_simulation one(size, 2);
    one.demand[0] = 3 * limit;
    one.run(20s);
    const auto one_requesting = one.run(60s);
    std::printf("| %zu | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", size, percent(undisturbed),
                percent(one_requesting), percent(partition_onset), percent(partitioned), percent(after_death),
                percent(minute_later));
}

/// Measures one of `size` gateways that spreads its requests over `accounts` accounts; the owners grant equal
/// shares.
void measure_share_requests(std::size_t size, std::size_t accounts, double requests_per_second)
{
    bundle value;
    for (std::size_t at = 0; at < accounts; ++at) {
        value.accounts.push_back(limiter_simulation::sample(14).accounts.front());
        value.accounts.back().id = client_account_id("account-" + std::to_string(at));
    }
    std::vector<process_id> gateways;
    for (std::size_t at = 0; at < size; ++at) {
        gateways.push_back(process_id("gateway-entry-" + std::to_string(at)));
    }
    account_limiter limiter({.self = gateways.front()}, instant{});
    limiter.bundle_adopted(instant{}, value);
    limiter.gateways_changed(instant{}, gateways, size);
    random_source random(7);
    std::uint64_t messages = 0;
    std::uint64_t asked = 0;
    std::uint64_t bytes = 0;
    constexpr duration measured = 120s;
    for (instant now{}; now < instant{} + measured; now += 10ms) {
        if (random.chance(requests_per_second / 100)) {
            const auto& account = value.accounts[random.below(accounts)].id;
            if (!limiter.admit(now, account, 100)) {
                limiter.done(now, account, 0);
            }
        }
        for (const auto& ask : limiter.tick(now)) {
            wire::shares_ask message;
            message.set_gateway(gateways.front().text());
            for (const auto& request : ask.requests) {
                auto& made = *message.add_accounts();
                made.set_client_account(request.account.text());
                made.set_demand(request.demand);
                made.set_held(request.held);
                const share_grant grant{request.account, ask.home, true, 0.9 / static_cast<double>(size), 6s};
                limiter.share_granted(now, grant, ask.asked);
            }
            if (ask.home != gateways.front()) {
                ++messages;
                asked += ask.requests.size();
                bytes += message.ByteSizeLong() + call_overhead;
            }
        }
    }
    const auto seconds = static_cast<double>(measured.count()) / 1e6;
    std::printf("| %zu | %zu | %.0f | %.1f | %.1f | %.0f |\n", size, accounts, requests_per_second,
                static_cast<double>(messages) / seconds, static_cast<double>(asked) / seconds,
                static_cast<double>(bytes) / seconds);
}

} // namespace

auto main() -> int
{
    std::puts("Admitted, in percent of the limit; three times the limit is asked for\n");
    std::puts("| gateways | all ask | one asks | 8 s after two fifths are cut off | a minute apart | 8 s "
              "after the home "
              "died | a minute later |\n|--:|--:|--:|--:|--:|--:|--:|");
    for (const std::size_t size : {2, 8, 32}) {
        measure_error(size);
    }
    std::puts("\nAsks of one gateway\n");
    std::puts("| gateways | accounts | requests/s | messages/s | accounts asked about/s | bytes/s |\n"
              "|--:|--:|--:|--:|--:|--:|");
    for (const std::size_t size : {2, 8, 32, 410}) {
        measure_share_requests(size, 1'500, 24);
    }
    measure_share_requests(410, 30, 24);
    return 0;
}
