#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/attempt_rules.h"

#include <string>
#include <unordered_map>

namespace dragonflymill::direct {

/// Which upstreams had better be avoided, by how calls to them ended.
///
/// A health check can pass while calls fail, and fail while calls succeed, so that only the outcome of calls
/// counts. An upstream that failed is left alone for a time that doubles with each further failure; then one
/// call at a time tries it until one succeeds.
class upstream_health
{
public:
    /// An attempt ended that this upstream is at fault for.
    void record_end(const std::string& upstream, attempt_end end, instant now);
    /// No connection, silence, or an answer that can't be used.
    void lost(const std::string& upstream, instant now);
    /// The upstream itself answered a failure. Some failures are the call's own fault, so that only a share
    /// of them well above the usual makes an upstream suspect.
    void failed(const std::string& upstream, instant now);
    /// The upstream refused a call for want of room. It is sound, but what fills it isn't on our board.
    void full(const std::string& upstream, instant now);
    /// A whole answer came.
    void record_success(const std::string& upstream);
    /// Whether calls should go elsewhere; `own_calls` of this gateway are in hand there.
    [[nodiscard]] auto suspect(const std::string& upstream, int own_calls, instant now) const -> bool;
    /// The upstream is gone.
    void forget(const std::string& upstream) { records_.erase(upstream); }

    static constexpr duration first_pause = 400ms; ///< After a first failure; over the usual blip of a link.
    static constexpr duration full_pause = 300ms;  ///< After a refusal; some calls end in this time.
    static constexpr duration longest_pause = 3s;  ///< A crashed upstream is back within seconds.
    static constexpr double failure_weight = 0.15; ///< Of the newest call in the share of failures.
    static constexpr double loss_weight = 0.3;     ///< The same for a call that was lost.
    static constexpr double sound_share = 0.15;  ///< An upstream that fails more often keeps its long pauses:
                                                 ///< one that fails now and then would else be back at once.
    static constexpr double suspect_share = 0.3; ///< Failures above this share: twice that of services that
                                                 ///< refuse one call in seven for reasons of their own.

private:
    struct record
    {
        int losses = 0;
        double failure_share = 0.0;
        bool on_trial = false;
        instant suspect_until{};
        instant full_until{};
    };

    void suspect_for(record& found, instant now);

    std::unordered_map<std::string, record> records_;
};

} // namespace dragonflymill::direct
