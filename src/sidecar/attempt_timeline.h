#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "timeline/timeline_recorder.h"

#include <cstddef>
#include <map>
#include <string_view>

namespace dragonflymill::sidecar {

/// Records the messages of attempts in the sidecar's timeline. Gateway and sidecar use the same message
/// names, which allows the offset between the clocks of their hosts to be estimated. Used on the decision
/// thread only.
class attempt_timeline
{
public:
    /// Records into `timeline`, which must outlive this object.
    explicit attempt_timeline(timeline_recorder& timeline)
        : timeline_(timeline)
    {
    }

    /// Records an event received from a gateway.
    void note(const sidecar_event& event);
    /// Records an action that is about to be sent to a gateway.
    void note(const sidecar_action& action);

    /// Maximum number of attempts tracked at the same time; messages of further attempts are not recorded.
    static constexpr std::size_t most_tries = 8'192;

private:
    /// Attempt that belongs to an open call.
    struct open_attempt
    {
        request_id request;
        attempt_number attempt;
    };

    void record_open(call_number call, const attempt_spec& spec);
    void record_grant(call_number call, std::string_view step);
    void record_end(call_number call, std::string_view step, std::string_view detail);

    timeline_recorder& timeline_;
    std::map<call_number, open_attempt> attempts_;
};

} // namespace dragonflymill::sidecar
