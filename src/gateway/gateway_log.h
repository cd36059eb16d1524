#pragma once

#include "dragonflymill/serve/gateway_messages.h"
#include "gateway/exchange.h"

#include <map>
#include <string>

namespace dragonflymill::gateway {

/// Logs what a gateway's requests go through, from what its core takes in and wants done. Used by the
/// deciding thread alone.
class gateway_log
{
public:
    /// Finds the requests' names in `exchanges`, which outlives it.
    explicit gateway_log(const std::map<exchange_number, exchange>& exchanges)
        : exchanges_(exchanges)
    {
    }

    /// Logs what is about to be taken in.
    void log(const gateway_event& input) const;
    /// Logs what is about to be done.
    void log(const gateway_action& action) const;

private:
    [[nodiscard]] auto request_text(exchange_number exchange) const -> std::string;

    const std::map<exchange_number, exchange>& exchanges_;
};

} // namespace dragonflymill::gateway
