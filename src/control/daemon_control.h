#pragma once

#include "control/control_plane.h"
#include "settings/common_settings.h"

#include <functional>
#include <memory>

namespace dragonflymill::control {

/// Settings of `daemon_control`.
struct daemon_control_settings
{
    process_role role = process_role::gateway; ///< Gateway or sidecar.
    process_settings process;                  ///< [process]
    bundle_settings bundle;                    ///< [bundle]
    control_settings control;                  ///< [control]
};

/// A daemon's connection to the replicated state of the fleet: bundle in force, membership and drains.
/// Without a gossip address in the settings, the process runs standalone with the bundle of its bundle file.
class daemon_control
{
public:
    /// Reads the bundle file and opens the sockets, as far as configured.
    [[nodiscard]] static auto open(const daemon_control_settings& settings, control_plane_handlers handlers)
        -> result<std::unique_ptr<daemon_control>>;

    /// Starts the control plane; a standalone process publishes its only snapshot immediately.
    void start();
    /// Announces to peers that this process is leaving.
    void leave();
    /// Closes the sockets.
    void stop();
    /// Adopts a signed bundle that an operator pushed; may call `done` on another thread.
    void push(pushed_bundle pushed, const peer_answer& done);
    /// Requests shares from the owner of an account; may call `done` on another thread, without grants if
    /// there is no reply.
    void request_shares(ask_shares asked, share_answer done);
    /// Gossip address of this process; empty if standalone.
    [[nodiscard]] auto gossip_address() const -> std::string;

private:
    daemon_control(control_plane_handlers handlers, std::shared_ptr<const bundle> from_file);

    control_plane_handlers handlers_;
    std::shared_ptr<const bundle> from_file_; // bundle of the file, signed or not; served as is if standalone
    std::optional<pushed_bundle> signed_file_;
    std::unique_ptr<control_plane> plane_;
};

} // namespace dragonflymill::control
