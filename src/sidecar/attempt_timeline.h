#pragma once

#include "dragonflymill/serve/sidecar_messages.h"
#include "timeline/timeline_recorder.h"

#include <cstddef>
#include <map>
#include <string_view>

namespace dragonflymill::sidecar {

/// Puts the messages of tries into the sidecar's time line, under the names that the gateway gives them too,
/// so that the two hosts' clocks can be set against each other. Used by the deciding thread alone.
class attempt_timeline
{
public:
    /// Records into `timeline`, which outlives it.
    explicit attempt_timeline(timeline_recorder& timeline)
        : timeline_(timeline)
    {
    }

    /// Notes what came from a gateway.
    void note(const sidecar_event& event);
    /// Notes what is about to go to a gateway.
    void note(const sidecar_action& action);

    /// Tries that are noted at the same time; the messages of further ones are left out.
    static constexpr std::size_t most_tries = 8'192;

private:
    /// The try that a call carries.
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
