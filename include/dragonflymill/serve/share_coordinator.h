#pragma once

#include "dragonflymill/lease/lease_table.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// Manages the gang shares that one sidecar has granted, and the spans of KV cache that its engine holds for
/// them.
///
/// Guards against spans that stay at the engine for good: a gateway dies between two steps of a gang, a
/// release is lost, or this process's predecessor died. Every share has a permit and a lease of its gateway.
/// When the lease ends, the release of the span is repeated until the engine confirms it, and only then is
/// the permit freed.
///
/// Bound: the permits of the gate and the holdings of the lease table.
class share_coordinator
{
public:
    /// Keeps a reference to `gate`, which must outlive it. `self` is the upstream of the engine beside this
    /// sidecar.
    share_coordinator(permit_controller& gate, upstream_id self, std::uint64_t seed);

    /// Handles a gateway's request for a share. It is granted, refused, or refused with a place in the queue.
    void asked(instant now, const sidecar_input::share_requested& input,
               std::vector<sidecar_action>& actions);
    /// Renews a share for its gateway.
    void renewal_asked(instant now, const sidecar_input::share_renewal_requested& input,
                       std::vector<sidecar_action>& actions);
    /// Releases a share for its gateway.
    void returned(instant now, const sidecar_input::share_release_requested& input,
                  std::vector<sidecar_action>& actions);
    /// Returns the permit of the share under which an attempt is to run; nothing if the share has ended,
    /// belongs to another gateway or was used before. The permit of a decoding attempt belongs to that
    /// attempt from then on.
    [[nodiscard]] auto use(instant now, const attempt_spec& spec) -> std::optional<lease_id>;
    /// Notes that the engine has computed the share's span.
    void exported(const std::string& span);
    /// Handles the engine's confirmation that it no longer holds a span.
    void span_released(instant now, const std::string& span);
    /// Handles a permit that ended without its holder's request.
    void permit_ended(instant now, const ended_permit& ended);
    /// Compares the leases with the engine's list; spans without an owner here are released after a grace
    /// period.
    void reconcile(instant now, const sidecar_input::engine_reported& report);
    /// Ends shares that were not renewed, and repeats releases.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Returns whether the next free memory is reserved for a queued share and `spec` must not use it.
    [[nodiscard]] auto admits_only_reserved(instant now, const attempt_spec& spec) const -> bool;
    /// Returns and clears the permits of shares that ended while an attempt ran, or may have run, under them.
    [[nodiscard]] auto take_ended_permits() -> std::vector<lease_id> { return std::exchange(ended_, {}); }
    /// Returns the number of shares plus the releases that the engine has not confirmed.
    [[nodiscard]] auto size() const -> std::size_t { return shares_.size() + leases_.cancelling(); }

private:
    enum class share_use
    {
        nothing,
        computing_span,
        span,
        answer,
    };

    struct share
    {
        process_id gateway;
        lease_id lease;
        lease_id permit;
        std::string span;
        token_count tokens = 0;
        share_use used_for = share_use::nothing;
        std::vector<lease_id> imports{};
        std::vector<std::string> imported_spans{};
    };
    using shares = std::map<gang_key, share>;

    struct queued_gang
    {
        gang_key gang;
        instant until;
    };

    void reserve(instant now, const sidecar_input::share_requested& input,
                 std::vector<sidecar_action>& actions);
    void refuse(instant now, const sidecar_input::share_requested& input, refusal why,
                std::vector<sidecar_action>& actions);
    [[nodiscard]] auto queued_for_other_gang(instant now, const gang_key& gang) const -> bool;
    [[nodiscard]] auto may_queue(const reserve_share& wanted, const refusal& why) const -> bool;
    [[nodiscard]] auto renew(instant now, const share& held) -> bool;
    void end_share(instant now, shares::iterator found);
    void end_share_of(instant now, lease_id lease);

    permit_controller& gate_;
    upstream_id self_;
    lease_table leases_;
    shares shares_;
    std::map<std::string, lease_id> releasing_permits_; // by span whose release is not yet confirmed
    std::optional<queued_gang> queued_;
    std::vector<lease_id> ended_;
};

/// Returns the name by which engines know the span that `upstream` computes in a round of a gang.
[[nodiscard]] auto span_name(const gang_key& gang, const upstream_id& upstream) -> std::string;

} // namespace dragonflymill
