#pragma once

#include "dragonflymill/serve/gateway_messages.h"
#include "gateway/exchange.h"

#include <map>
#include <string>

namespace dragonflymill::gateway {

/// Logs the life of each request from the core's inputs and outputs. Used only by the core thread.
class gateway_log
{
public:
    /// Looks up request ids in `exchanges`, which must outlive the log.
    explicit gateway_log(const std::map<exchange_number, exchange>& exchanges)
        : exchanges_(exchanges)
    {
    }

    /// Logs an input before the core processes it.
    void log(const gateway_event& input) const;
    /// Logs an action before it is executed.
    void log(const gateway_action& action) const;

private:
    [[nodiscard]] auto request_text(exchange_number exchange) const -> std::string;

    const std::map<exchange_number, exchange>& exchanges_;
};

} // namespace dragonflymill::gateway
