#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

#include <cstdint>
#include <set>
#include <string>

namespace dragonflymill::sidecar {

/// Logs changes of the upstream's state and of its calls, derived from the inputs and outputs of the
/// sidecar's core. Used on the decision thread only.
class sidecar_log
{
public:
    /// Logs an input that the core is about to handle.
    void log(const sidecar_event& input);
    /// Logs an action that is about to be applied.
    void log(const sidecar_action& action);
    /// Logs changes of the upstream's state since the last call: unreachable or answering, cold or warm.
    void log(const upstream_load& load);

    /// An engine is logged as unreachable when its last report is older than this.
    static constexpr duration max_silence = 5s;

    /// Maximum number of unconfirmed cancels that are tracked. Repetitions of further ones are not
    /// recognized.
    static constexpr std::size_t max_tracked_cancels = 4'096;

private:
    void log_report(const sidecar_input::engine_reported& report);
    void log_cancel(const sidecar_output::cancel_stream& cancel);

    incarnation start_;
    std::set<std::string> unconfirmed_cancels_;
    bool was_cold_ = false;
    bool was_silent_ = false;
};

} // namespace dragonflymill::sidecar
