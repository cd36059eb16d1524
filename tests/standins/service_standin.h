#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dragonflymill::standins {

/// Settings of a service stand-in.
struct service_standin_settings
{
    std::string name = "service"; ///< Name in its ledger and answers.
    std::uint16_t port = 0;       ///< Listening port; 0 picks a free one.
    duration latency = 5ms;       ///< Time from receiving a request to executing and answering it.
};

/// Stand-in of a plain HTTP service, such as a booking service. It doesn't deduplicate: every request is
/// executed, also one with a known idempotency key. `GET /_ledger` reports the executions by key, which
/// reveals doubled bookings.
class service_standin
{
public:
    /// Starts listening on 127.0.0.1.
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
