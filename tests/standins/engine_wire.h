#pragma once

#include "standins/engine_model.h"

#include <boost/json/object.hpp>
#include <string>

namespace dragonflymill::standins {

/// Parses the body of a completion request.
[[nodiscard]] auto completion_of(const boost::json::object& body) -> completion_order;
/// Parses the body of a control order.
[[nodiscard]] auto control_of(const boost::json::object& body) -> control_order;
/// Formats a token or end event as a server-sent event.
[[nodiscard]] auto stream_event(const engine_event& event, const std::string& request_id,
                                std::uint64_t attempt) -> std::string;
/// Body of the response to `GET /v1/state`; ages are in real time.
[[nodiscard]] auto state_of(const engine_model& model, double time_scale) -> boost::json::object;
/// Body of the response to `GET /v1/cache_events`.
[[nodiscard]] auto events_of(const engine_model& model, const std::string& after) -> boost::json::object;
/// Body of the response to `GET /_ledger`.
[[nodiscard]] auto ledger_of(const engine_model& model, const std::string& name) -> boost::json::object;

} // namespace dragonflymill::standins
