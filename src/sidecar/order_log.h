#pragma once

#include "dragonflymill/serve/sidecar_messages.h"

namespace dragonflymill::sidecar {

/// Logs the orders that a sidecar sends to its engine, and whether it holds the lease that permits them.
class order_log
{
public:
    /// Logs an order that the engine refused or failed to carry out.
    static void log(const sidecar_event& input);
    /// Logs an order that is about to be sent.
    static void log(const sidecar_action& action);
    /// Logs changes of the sidecar's own lease, and the first time that a later sidecar has superseded it as
    /// sender of orders.
    void log(bool holds_lease, bool superseded);

private:
    bool holds_lease_ = false;
    bool superseded_ = false;
};

} // namespace dragonflymill::sidecar
