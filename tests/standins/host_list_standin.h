#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <memory>

namespace dragonflymill::standins {

/// How the host list's stand-in runs.
struct host_list_standin_settings
{
    std::uint16_t port = 0; ///< 0 takes a free one.
    duration lag = 1s;      ///< How late a change shows.
};

/// The platform's list of live and leaving hosts, which lags. The operator's side writes it by `POST
/// /_operator/hosts` with one host; the state "gone" takes the host off the list.
class host_list_standin
{
public:
    /// Starts listening.
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
