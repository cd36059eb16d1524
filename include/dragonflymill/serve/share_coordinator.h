#pragma once

#include "dragonflymill/lease/lease_table.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill {

/// The shares of gangs that one sidecar has promised, and the spans of KV cache that stand at its engine for
/// them.
///
/// Guarded failure: a gateway dies between two steps of a gang, a release is lost, or this process's
/// predecessor died, and the engine keeps a span that nobody will ever ask for. Invariant: every share has a
/// permit of the gate and a lease of its gateway; when the lease ends the span is released at the engine,
/// again and again until the engine confirms, and only then is its permit free. Bound: the gate's permits and
/// the lease table's holdings.
class share_coordinator
{
public:
    /// Works under `gate`, which the owner keeps alive, beside the engine `self`.
    share_coordinator(permit_controller& gate, upstream_id self, std::uint64_t seed);

    /// A gateway asks for a share: granted, refused, or refused with a place in line.
    void asked(instant now, const sidecar_input::share_requested& input,
               std::vector<sidecar_action>& actions);
    /// A gateway wants to keep a share.
    void renewal_asked(instant now, const sidecar_input::share_renewal_requested& input,
                       std::vector<sidecar_action>& actions);
    /// A gateway gives a share back.
    void returned(instant now, const sidecar_input::share_release_requested& input,
                  std::vector<sidecar_action>& actions);
    /// Hands out the permit of the share under which a try is to run; nothing if the share has ended, is
    /// another gateway's or was used before. The permit of an answer belongs to the try from then on.
    [[nodiscard]] auto use(instant now, const attempt_spec& spec) -> std::optional<lease_id>;
    /// The engine has computed the share's span.
    void exported(const std::string& span);
    /// The engine confirmed that it no longer holds a span.
    void span_released(instant now, const std::string& span);
    /// A permit ended without its holder's word.
    void permit_ended(instant now, const ended_permit& ended);
    /// Takes in what the engine holds: spans that nobody here knows are released after a time of grace.
    void reconcile(instant now, const sidecar_input::engine_reported& report);
    /// Ends what was not renewed and repeats releases.
    void tick(instant now, std::vector<sidecar_action>& actions);

    /// Whether the next free memory is kept for a share, so that `spec` may not have it.
    [[nodiscard]] auto admits_only_reserved(instant now, const attempt_spec& spec) const -> bool;
    /// Permits of shares that have ended since the last call while a try ran, or may run, under them.
    [[nodiscard]] auto take_ended_permits() -> std::vector<lease_id> { return std::exchange(ended_, {}); }
    /// Shares, and releases that the engine has not confirmed.
    [[nodiscard]] auto size() const -> std::size_t { return shares_.size() + leases_.cancelling(); }

private:
    enum class use_of
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
        use_of used_for = use_of::nothing;
        std::vector<lease_id> imports{};
        std::vector<std::string> imported_spans{};
    };
    using shares = std::map<gang_key, share>;

    struct place_in_line
    {
        gang_key gang;
        instant until;
    };

    void reserve(instant now, const sidecar_input::share_requested& input,
                 std::vector<sidecar_action>& actions);
    void refuse(instant now, const sidecar_input::share_requested& input, refusal why,
                std::vector<sidecar_action>& actions);
    [[nodiscard]] auto line_for_another(instant now, const gang_key& gang) const -> bool;
    [[nodiscard]] auto may_wait(const reserve_share& wanted, const refusal& why) const -> bool;
    [[nodiscard]] auto renew(instant now, const share& held) -> bool;
    void close(instant now, shares::iterator held);
    void close_owner_of(instant now, lease_id lease);

    permit_controller& gate_;
    upstream_id self_;
    lease_table leases_;
    shares shares_;
    std::map<std::string, lease_id> freeing_; // permits of ended shares whose span is not confirmed released
    std::optional<place_in_line> line_;
    std::vector<lease_id> ended_;
};

/// The engines' name for the span that `upstream` computes in a round of a gang.
[[nodiscard]] auto span_name(const gang_key& gang, const upstream_id& upstream) -> std::string;

} // namespace dragonflymill
