#pragma once

#include "dragonflymill/admission/first_token_model.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflymill {

/// Settings of a stream_stall_detector.
struct stream_stall_options
{
    duration floor = 2s;             ///< No silence shorter than this counts.
    double first_token_multiple = 8; ///< Multiple of the predicted first token from which a stream is silent.
    double token_multiple = 20;      ///< Multiple of the usual time between tokens, likewise.
    double cold_factor = 4;          ///< Stretches both while the engine calls itself cold.
    duration pause_threshold = 1s;   ///< A gap between two calls that tells this process was paused.
};

/// Tells streams at the engine that make no progress from those that wait their turn.
///
/// Guarded failure: something between sidecar and engine loses track of a connection; it stays open and says
/// nothing, and the caller waits until the transport's own bound or its limit. It holds because a stream's
/// first token can't take longer than the engine needs for all that was ahead of it and all that was put to
/// it since, at the speed of the first-token line: each prompt counts whole, whatever a cache may spare. A
/// pause of this process doesn't count: what the engine sent meanwhile is still unread.
class stream_stall_detector
{
public:
    /// Watches nothing yet.
    explicit stream_stall_detector(stream_stall_options options);

    /// A stream with a prompt of so many tokens is put to the engine.
    void began(instant now, call_number call, token_count prompt);
    /// Tokens of it came.
    void progressed(instant now, call_number call);
    /// It is over, or given up.
    void ended(call_number call);
    /// The engine's word about itself.
    void reported(token_count queued_prefill, bool cold);
    /// The streams that are silent for longer than `line` explains; without a line only those past their
    /// first token can be told.
    [[nodiscard]] auto silent(instant now, const std::optional<first_token_line>& line)
        -> std::vector<call_number>;

private:
    struct watched
    {
        instant last;
        token_count prompt = 0;
        token_count work_until = 0;
        bool decoding = false;
    };

    void account_for_process_pause(instant now);
    [[nodiscard]] auto bound(const watched& stream, const std::optional<first_token_line>& line) const
        -> std::optional<duration>;

    stream_stall_options options_;
    std::map<call_number, watched> streams_;
    std::optional<instant> last_call_;
    duration usual_gap_{0};
    token_count put_ = 0;
    token_count waiting_ = 0;
    token_count reported_queue_ = 0;
    bool cold_ = false;
};

} // namespace dragonflymill
