#pragma once

#include "dragonflymill/admission/first_token_model.h"
#include "dragonflymill/serve/sidecar_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflymill {

/// Settings of `stream_stall_detector`.
struct stream_stall_options
{
    duration floor = 2s;           ///< A shorter silence is never a stall.
    double first_token_factor = 8; ///< Multiple of the predicted time to first token that is a stall.
    double token_factor = 20;      ///< Multiple of the mean time between tokens that is a stall.
    double cold_factor = 4;        ///< Further factor on both while the engine reports that it is cold.
    duration pause_threshold = 1s; ///< A longer gap between two calls means that this process was paused.
};

/// Distinguishes streams at the engine that make no progress from those that wait in its queue.
///
/// Guards against a connection between sidecar and engine that stays open but delivers nothing: without it
/// the caller waits for the transport's timeout or its own time limit. The bound holds because a first token
/// can't take longer than the engine needs for all work queued before the stream and all work submitted
/// since, at the speed of the first-token line. Each prompt counts in full, even if a cache may shorten it. A
/// pause of this process doesn't count, since what the engine sent meanwhile is still unread.
class stream_stall_detector
{
public:
    /// Creates a detector without streams.
    explicit stream_stall_detector(stream_stall_options options);

    /// Adds a stream with a prompt of `prompt` tokens that was submitted to the engine.
    void began(instant now, call_number call, token_count prompt);
    /// Notes that tokens of the stream arrived.
    void progressed(instant now, call_number call);
    /// Removes a stream that ended or was given up.
    void ended(call_number call);
    /// Applies the engine's own report.
    void reported(token_count queued_prefill, bool cold);
    /// Returns the streams that are silent for longer than `line` explains. Without a line only streams past
    /// their first token are judged.
    [[nodiscard]] auto silent(instant now, const std::optional<first_token_line>& line)
        -> std::vector<call_number>;

private:
    struct watched_stream
    {
        instant last_progress_at;
        token_count prompt = 0;
        token_count work_until = 0;
        bool decoding = false;
    };

    void account_for_process_pause(instant now);
    [[nodiscard]] auto bound(const watched_stream& stream, const std::optional<first_token_line>& line) const
        -> std::optional<duration>;

    stream_stall_options options_;
    std::map<call_number, watched_stream> streams_;
    std::optional<instant> last_called_at_;
    duration mean_token_gap_{0};
    token_count submitted_tokens_ = 0;
    token_count waiting_tokens_ = 0;
    token_count reported_queue_tokens_ = 0;
    bool cold_ = false;
};

} // namespace dragonflymill
