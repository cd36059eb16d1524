#pragma once

#include "control/control_plane.h"
#include "settings/common_settings.h"

#include <functional>
#include <memory>

namespace dragonflymill::control {

/// What a daemon's settings say about the state that processes share.
struct daemon_control_settings
{
    process_role role = process_role::gateway; ///< Gateway or sidecar.
    process_settings process;                  ///< [process]
    bundle_settings bundle;                    ///< [bundle]
    control_settings control;                  ///< [control]
};

/// A daemon's part in the state that processes share: the bundle in force, who is there, what is drained.
/// Without a gossip address in the settings it is a process on its own that runs by its bundle file for good.
class daemon_control
{
public:
    /// Reads the bundle file, if one is set, and opens the sockets, if they are set.
    [[nodiscard]] static auto open(const daemon_control_settings& settings, control_plane_handlers handlers)
        -> result<std::unique_ptr<daemon_control>>;

    /// Hands out what is known at once and begins to listen.
    void start();
    /// Tells the others that this process is stopping.
    void leave();
    /// Closes the sockets.
    void stop();
    /// Takes over a signed bundle that an operator pushed; `done` may come on another thread.
    void push(pushed_bundle pushed, const peer_answer& done);
    /// Asks the home of an account for a share; `done` comes on another thread, with nothing if there is no
    /// answer.
    void request_shares(ask_shares asked, share_answer done);
    /// Address of its gossip; empty without one.
    [[nodiscard]] auto gossip_address() const -> std::string;

private:
    daemon_control(control_plane_handlers handlers, std::shared_ptr<const bundle> from_file);

    control_plane_handlers handlers_;
    std::shared_ptr<const bundle> from_file_; // unsigned, for a process on its own
    std::optional<pushed_bundle> signed_file_;
    std::unique_ptr<control_plane> plane_;
};

} // namespace dragonflymill::control
