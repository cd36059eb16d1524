#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

#include <cstdint>
#include <set>
#include <string>

namespace dragonflymill::sidecar {

/// Logs what an upstream and its calls go through, from what the sidecar's core takes in and wants done. Used
/// by the deciding thread alone.
class sidecar_log
{
public:
    /// Logs what is about to be taken in.
    void log(const sidecar_event& input);
    /// Logs what is about to be done.
    void log(const sidecar_action& action);
    /// Logs how the upstream's state changed since the last call.
    void log(const upstream_load& load);

    /// An engine whose last report is older does not answer.
    static constexpr duration max_silence = 5s;

    /// Cancels without confirmation that are kept track of; further ones are logged once each.
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
