#include "dragonflymill/serve/own_lease_renewer.h"

#include <utility>

namespace dragonflymill {

namespace {

/// A lease lasts for three quarters of what a successor waits; the rest is for clocks that run unlike.
constexpr int term_numerator = 3;
constexpr int term_denominator = 4;
/// Calls to the own address in the time that a successor waits: a lost one or two do no harm.
constexpr int asks_a_lease = 5;

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
    next_ask_ = now;
}

void own_lease_renewer::bundle_confirmed(instant asked)
{
    if (lease_) {
        lease_->bundle_confirmed(asked);
    }
}

void own_lease_renewer::answered(const sidecar_input::sidecar_answered& answer)
{
    // Another upstream's sidecar at this address is a mistake in the bundle, and no successor.
    if (lease_ && answer.upstream == options_.upstream) {
        lease_->confirmed(answer.asked, answer.holder);
    }
}

void own_lease_renewer::tick(instant now, std::vector<sidecar_action>& actions)
{
    if (!lease_ || address_.empty() || now < next_ask_) {
        return;
    }
    next_ask_ = now + options_.predecessor / asks_a_lease;
    actions.push_back(sidecar_output::ask_sidecar{{options_.upstream, address_}});
}

auto own_lease_renewer::until(instant now) -> instant
{
    if (!lease_) {
        return instant::min();
    }
    if (!peers_) {
        lease_->bundle_confirmed(now);
    }
    return lease_->live(now) ? lease_->until() : instant::min();
}

} // namespace dragonflymill
