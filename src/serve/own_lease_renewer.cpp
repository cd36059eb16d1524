#include "dragonflymill/serve/own_lease_renewer.h"

#include <utility>

namespace dragonflymill {

namespace {

/// A lease lasts for three quarters of a successor's wait; the rest is a margin for clock rate differences.
constexpr int term_numerator = 3;
constexpr int term_denominator = 4;
/// Calls to the own address during a successor's wait, so that one or two may be lost.
constexpr int renewals_per_lease = 5;

} // namespace

own_lease_renewer::own_lease_renewer(own_lease_renewer_options options)
    : options_(std::move(options))
{
}

void own_lease_renewer::listening(instant now)
{
    own_lease_options lease;
    lease.self = options_.self;
    lease.term = options_.predecessor * term_numerator / term_denominator;
    lease.predecessor = options_.predecessor;
    lease_.emplace(now, lease);
    next_renewal_ = now;
}

void own_lease_renewer::bundle_confirmed(instant asked)
{
    if (lease_) {
        lease_->bundle_confirmed(asked);
    }
}

void own_lease_renewer::answered(const sidecar_input::sidecar_answered& answer)
{
    // The sidecar of another upstream at this address is an error in the bundle and not a successor.
    if (lease_ && answer.upstream == options_.upstream) {
        lease_->confirmed(answer.asked, answer.holder);
    }
}

void own_lease_renewer::tick(instant now, std::vector<sidecar_action>& actions)
{
    if (!lease_ || address_.empty() || now < next_renewal_) {
        return;
    }
    next_renewal_ = now + options_.predecessor / renewals_per_lease;
    actions.push_back(sidecar_output::ask_sidecar{{options_.upstream, address_}});
}

auto own_lease_renewer::valid_until(instant now) -> instant
{
    if (!lease_) {
        return instant::min();
    }
    if (!has_peers_) {
        lease_->bundle_confirmed(now);
    }
    return lease_->live(now) ? lease_->until() : instant::min();
}

} // namespace dragonflymill
