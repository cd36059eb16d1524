#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/upstream_speeds.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::direct {

/// An upstream that may be asked for its state.
struct reportable_upstream
{
    std::string id;       ///< Upstream.
    upstream_run run = 0; ///< Its run.

    friend auto operator==(const reportable_upstream&, const reportable_upstream&) -> bool = default;
};

/// Decides which upstreams this gateway asks for their state, and when.
///
/// The gateways of a cell divide the upstreams of their part among them, so that each is asked by one gateway
/// and the others learn of its slowness from that gateway's digests. Each gateway also asks an upstream that
/// it doubts itself, as a digest may come too late for its own calls. Without known peers it asks all.
class report_schedule
{
public:
    /// `self` is this gateway's name; `interval` the time between two requests to an upstream.
    report_schedule(std::string self, duration interval);

    /// Sets the names of the other gateways of the cell that are reachable.
    void set_peers(std::vector<std::string> peers);
    /// Returns the upstreams to ask now, those in doubt first, at most `max_in_flight` less the requests in
    /// flight. Counts them as asked.
    [[nodiscard]] auto due(std::span<const reportable_upstream> upstreams, const upstream_speeds& speeds,
                           instant now) -> std::vector<std::string>;
    /// Records the end of a request, with or without an answer.
    void finished(const std::string& upstream);

    /// Maximum number of requests in flight. An upstream that doesn't answer must not stop the others.
    static constexpr std::size_t max_in_flight = 16;
    /// Time after which an upstream in doubt is asked again.
    static constexpr duration doubt_interval = 250ms;

private:
    struct known_upstream
    {
        upstream_run run = 0;
        bool is_own = false;                      // asked by this gateway in its turn
        bool in_flight = false;                   // a request to this run
        bool ended = false;                       // a request has ended whose effect isn't judged yet
        instant first_turn{};                     // earliest request other than in doubt
        std::optional<instant> asked_at;          // last request
        std::optional<instant> evidence_at_start; // newest evidence at that request
        int unanswered = 0;                       // requests in a row without new evidence
        instant listed_at{};                      // when it last might be asked
    };
    struct candidate
    {
        const reportable_upstream* upstream;
        known_upstream* state;
        bool in_doubt;
    };

    [[nodiscard]] auto owns(upstream_run run) const -> bool;
    [[nodiscard]] auto phase(upstream_run run) const -> duration;
    auto update(const reportable_upstream& upstream, std::optional<instant> evidence, instant now)
        -> known_upstream&;
    void update_owners(instant now);
    [[nodiscard]] auto takes_turn(const known_upstream& state, std::optional<instant> evidence,
                                  instant now) const -> bool;

    /// Requests in a row without an answer after which the interval stays the same.
    static constexpr int max_backoff_doublings = 3;

    std::string self_;
    duration interval_;
    std::vector<std::string> peers_; // sorted
    bool peers_changed_ = false;
    std::optional<instant> may_take_turns_at_;                  // set at the first call of `due`
    std::unordered_map<std::string, known_upstream> upstreams_; // by id
    std::size_t in_flight_ = 0;
};

} // namespace dragonflymill::direct
