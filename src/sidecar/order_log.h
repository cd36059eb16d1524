#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

namespace dragonflymill::sidecar {

/// Logs what a sidecar orders of its engine and whether it may act.
class order_log
{
public:
    /// Notes an input of the core.
    static void log(const sidecar_event& input);
    /// Notes an output of the core.
    static void log(const sidecar_action& action);
    /// Notes whether the sidecar acts, and whether a later one gives orders to its engine.
    void log(bool holds_lease, bool superseded);

private:
    bool holds_lease_ = false;
    bool superseded_ = false;
};

} // namespace dragonflymill::sidecar
