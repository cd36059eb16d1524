#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dragonflymill::standins {

/// How a plain service's stand-in runs.
struct service_standin_settings
{
    std::string name = "service"; ///< Shown in its ledger and answers.
    std::uint16_t port = 0;       ///< 0 takes a free one.
    duration latency = 5ms;       ///< From the request to the execution and its answer.
};

/// A plain service, say for bookings. Each call that reaches it is executed, also with a key that it has
/// seen: `GET /_ledger` tells how often, so that a doubled booking shows.
class service_standin
{
public:
    /// Starts listening.
    explicit service_standin(const service_standin_settings& settings);
    service_standin(const service_standin&) = delete;
    auto operator=(const service_standin&) -> service_standin& = delete;
    ~service_standin();

    /// Port on 127.0.0.1.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::standins
