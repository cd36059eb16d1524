#pragma once

#include "control/admin_endpoint.h"
#include "control/daemon_control.h"
#include "http/http_server.h"
#include "runtime/latest.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace dragonflymill::control {

/// Serves a daemon's admin address on the daemon's main thread.
class admin_server
{
public:
    /// `status` returns the status maintained by the daemon's threads, `control` receives pushed bundles and
    /// `drain` starts a planned stop.
    admin_server(boost::asio::io_context& context, daemon_control& control,
                 std::function<process_status()> status, std::function<void()> drain);

    /// Listens on `address`; does nothing if `address` is empty.
    [[nodiscard]] auto listen(const socket_address& address) -> result<void>;
    /// Updates the status from a new snapshot; may be called on the control thread.
    void note(const control_snapshot& snapshot);

private:
    [[nodiscard]] auto current_status() const -> process_status;
    [[nodiscard]] auto take(const bundle_package& package) -> result<void>;

    daemon_control& control_;
    std::function<process_status()> status_;
    std::function<void()> drain_;
    runtime::latest<process_status> fleet_; // status fields from the control plane
    admin_handlers handlers_;
    http::http_server server_;
};

} // namespace dragonflymill::control
