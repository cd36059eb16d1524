#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

namespace dragonflymill::sidecar {

/// Logs what a sidecar orders of its engine and whether it may act.
class order_log
{
public:
    /// Notes an input of the core.
    static void note(const sidecar_event& input);
    /// Notes an output of the core.
    static void note(const sidecar_action& action);
    /// Notes whether the sidecar acts, and whether a later one gives orders to its engine.
    void note(bool acts, bool superseded);

private:
    bool acts_ = false;
    bool superseded_ = false;
};

} // namespace dragonflymill::sidecar
