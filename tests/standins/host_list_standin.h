#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <memory>

namespace dragonflymill::standins {

/// Settings of the host list stand-in.
struct host_list_standin_settings
{
    std::uint16_t port = 0; ///< Listening port; 0 picks a free one.
    duration lag = 1s;      ///< Delay until a change is visible.
};

/// Stand-in of the platform's list of live and draining hosts; changes become visible after a lag. Operators
/// change one host by `POST /_operator/hosts`; the state "gone" removes it from the list.
class host_list_standin
{
public:
    /// Starts listening on 127.0.0.1.
    explicit host_list_standin(const host_list_standin_settings& settings);
    host_list_standin(const host_list_standin&) = delete;
    auto operator=(const host_list_standin&) -> host_list_standin& = delete;
    ~host_list_standin();

    /// Port on 127.0.0.1.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::standins
