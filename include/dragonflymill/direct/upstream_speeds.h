#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/limit/rate_limit_beliefs.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// What a gateway has observed itself of an upstream's speed, as it reports it to the other gateways.
struct slowdown_report
{
    upstream_run upstream = 0; ///< Run of the upstream.
    double slowdown = 1.0;     ///< Factor by which it runs slower than its profile; 1: recovered.
    duration age{};            ///< Time since the observation.

    friend auto operator==(const slowdown_report&, const slowdown_report&) -> bool = default;
};

/// Source of the newest belief about an upstream's speed.
enum class speed_source
{
    none,     ///< Nothing is known.
    observed, ///< This gateway measured it.
    stated,   ///< The upstream stated it to this gateway.
    peer,     ///< Another gateway reported it.
};

/// Returns the text of a source for the log.
[[nodiscard]] auto to_string(speed_source source) -> const char*;

/// Knows how much slower than its profile each upstream runs, and owns this knowledge.
///
/// Combines three sources: intervals between events of streams that this gateway measures, what an upstream
/// states about itself, and reports of other gateways. The newest evidence counts. It fades with its age, so
/// that an upstream that is avoided is tried again, and it ends with the run of the upstream.
class upstream_speeds
{
public:
    /// Records an interval that ended now, lasted `measured` and should have lasted `expected` at the speed
    /// of the profile. A single long interval has other causes, such as a lost packet, and is no evidence
    /// yet; of two in a row the smaller excess counts. The first normal one ends what was observed.
    void observe_interval(upstream_run upstream, duration measured, duration expected, instant now);
    /// Records that an interval which should have lasted `expected` has lasted `elapsed` so far. It counts as
    /// the second long interval, or as two of half its length if there was no first.
    void observe_silence(upstream_run upstream, duration elapsed, duration expected, instant now);
    /// Records the slowdown that an upstream stated about itself as of `as_of`. Values below 1 or that are
    /// not finite count as 1.
    void observe_stated(upstream_run upstream, double slowdown, instant as_of);
    /// Applies another gateway's report; returns whether the slowdown that is believed changed: between slow
    /// and not slow, or by over a quarter. Ages that are negative or above `max_age` are ignored.
    auto apply_report(const std::string& gateway, const slowdown_report& report, instant now) -> bool;
    /// Removes the reports of a gateway that no longer runs.
    void remove_gateway(const std::string& gateway);
    /// Removes what is known of upstreams that no longer run, and evidence that has faded.
    void expire(const std::set<upstream_run>& running, instant now);

    /// Returns the factor, at least 1, by which an upstream is believed to run slower than its profile.
    [[nodiscard]] auto slowdown(upstream_run upstream, instant now) const -> double;
    /// Returns whether an upstream is believed to be slow: `slowdown` reaches `slow_threshold`.
    [[nodiscard]] auto is_slow(upstream_run upstream, instant now) const -> bool;
    /// Returns the source of the newest evidence about an upstream.
    [[nodiscard]] auto source_of(upstream_run upstream, instant now) const -> speed_source;
    /// Returns when the newest evidence about an upstream was observed by any gateway; nothing if there is
    /// none.
    [[nodiscard]] auto newest_evidence(upstream_run upstream) const -> std::optional<instant>;
    /// Returns whether this gateway has a doubt about an upstream that a statement of it would settle: a
    /// first long interval, or a silence that lasts.
    [[nodiscard]] auto has_doubt(upstream_run upstream, instant now) const -> bool;
    /// Returns this gateway's own evidence for a report: about all upstreams that are slow or have recovered
    /// lately, or only the changes after version `since`. At most `max_reports`, the newest ones.
    /// Evidence that another gateway has reported anew isn't repeated.
    [[nodiscard]] auto reports(instant now, std::optional<std::uint64_t> since = std::nullopt) const
        -> std::vector<slowdown_report>;
    /// Increases when other gateways should learn of a change.
    [[nodiscard]] auto version() const -> std::uint64_t { return version_; }
    /// Returns the upstreams that are believed to be slow.
    [[nodiscard]] auto slow_upstreams(instant now) const -> std::vector<upstream_run>;

    /// From this factor on an upstream counts as slow. An interval exceeds its forecast by half if a prompt
    /// arrived that this gateway hasn't been told of yet.
    static constexpr double slow_threshold = 2.0;
    /// Time in which the excess of a slowdown over 1 fades to a half without new evidence.
    static constexpr duration half_life = 2s;
    /// Evidence older than this doesn't count.
    static constexpr duration max_age = 10s;
    /// Interval after which a slowdown that persists is reported again, so that it doesn't fade at peers.
    static constexpr duration refresh_interval = 500ms;
    /// Intervals shorter than this share of their forecast are the end of a delayed delivery and no evidence.
    static constexpr double min_interval_share = 0.6;
    /// Share of the upstreams observed lately above which their slowness has a common cause: this gateway or
    /// its network path. Its intervals are then no evidence about single upstreams.
    static constexpr double max_slow_share = 0.5;
    /// Upstreams that must have been observed lately for that share to be computed.
    static constexpr std::size_t min_observed_for_share = 4;
    /// An interval below this multiple of its forecast is normal. Intervals between it and `slow_threshold`
    /// say nothing, so that noise around a single bound doesn't turn the belief over.
    static constexpr double normal_threshold = 1.5;
    /// Time within which two intervals count as being in a row, and after which a doubt ends.
    static constexpr duration observation_window = 2 * half_life;
    /// Time by which a peer's evidence must be newer than this gateway's own to replace it. The time that a
    /// digest needs isn't part of a reported age, so a peer's evidence appears newer than it is.
    static constexpr duration transfer_tolerance = 200ms;
    /// Highest slowdown that is believed; larger ones are a silence that may never end, or a fault.
    static constexpr double max_slowdown = 100.0;
    /// Maximum number of reports in a digest; keeps a relay's batch of digests within a datagram.
    static constexpr std::size_t max_reports = 64;

private:
    /// A slowdown and when it was observed.
    struct evidence
    {
        double slowdown = 1.0;
        instant at{};

        /// Returns the slowdown that it still supports.
        [[nodiscard]] auto faded(instant now) const -> double;
    };
    struct sourced_evidence
    {
        speed_source source = speed_source::none;
        evidence newest;
    };
    /// An interval compared with its forecast.
    struct interval
    {
        double ratio = 1.0;
        instant ended{};
    };
    /// What is known of one upstream.
    struct knowledge
    {
        std::optional<evidence> observed;
        std::optional<evidence> stated;
        std::optional<evidence> reported;           // the newest of `by_gateway`
        std::map<std::string, evidence> by_gateway; // at most one a gateway
        std::optional<interval> last_interval;      // long ones; later views of the same pause left out
        std::optional<instant> normal_at;           // last normal interval
        std::optional<instant> doubted_at;          // unsettled long interval or silence
        std::optional<instant> seen_at;             // last interval or silence
        std::optional<evidence> announced;          // last evidence for which version_ increased
        std::uint64_t announced_version = 0;
    };

    [[nodiscard]] auto newest_own(const knowledge& known) const -> sourced_evidence;
    [[nodiscard]] auto newest(const knowledge& known) const -> sourced_evidence;
    [[nodiscard]] auto slowdown_of(const knowledge& known, instant now) const -> double;
    void set_observed(knowledge& known, double slowdown, instant now);
    void announce_if_news(knowledge& known, instant now);
    void update_common_cause(instant now);
    static void select_newest_report(knowledge& known);

    std::unordered_map<upstream_run, knowledge> known_;
    bool common_cause_ = false; // so many are slow that intervals are no evidence
    std::uint64_t version_ = 0;
};

} // namespace dragonflymill::direct
