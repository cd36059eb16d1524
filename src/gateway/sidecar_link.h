#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "gateway/lane_connection.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace dragonflymill::gateway {

/// Everything between this gateway and one upstream's sidecar: a connection for each length class, opened
/// when first needed. Used by the deciding thread alone.
class sidecar_link
{
public:
    /// Connects to the sidecar of `upstream`.
    sidecar_link(instant now, const upstream_entry& upstream, process_id self, heartbeat_times times,
                 link_sink sink, rpc::call_tracker& calls);

    /// Address that it connects to.
    [[nodiscard]] auto address() const -> const std::string& { return address_; }
    /// The connection of a class; opened if there is none.
    [[nodiscard]] auto lane(instant now, length_class size) -> lane_connection&;
    /// Hands a try's prompt or cancel to the connection it was opened on.
    void send_prompt(length_class size, const attempt_key& key);
    /// Ends a try.
    void cancel_attempt(length_class size, const attempt_key& key);

    /// A heartbeat's answer has come.
    void heard(instant now, const heartbeat_answered& answer);
    /// Sends heartbeats and replaces silent connections; gives the upstream's new state if it changed.
    [[nodiscard]] auto tick(instant now) -> std::optional<upstream_state>;
    /// Connections replaced so far because they were silent.
    [[nodiscard]] auto replaced() const -> std::uint64_t { return replaced_; }

private:
    void open_lane(instant now, length_class size);

    upstream_id upstream_;
    std::string address_;
    process_id self_;
    heartbeat_times times_;
    link_sink sink_;
    rpc::call_tracker& calls_;
    std::array<std::unique_ptr<lane_connection>, length_class_count> lanes_;
    upstream_state state_ = upstream_state::suspect;
    instant heard_at_;
    std::uint64_t connections_ = 0;
    std::uint64_t replaced_ = 0;
};

} // namespace dragonflymill::gateway
