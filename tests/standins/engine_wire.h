#pragma once

#include "standins/engine_model.h"

#include <boost/json/object.hpp>
#include <string>

namespace dragonflymill::standins {

/// A completion as it stands in a request's body.
[[nodiscard]] auto completion_of(const boost::json::object& body) -> completion_order;
/// An order as it stands in a request's body.
[[nodiscard]] auto control_of(const boost::json::object& body) -> control_order;
/// A token or an end as an event of a completion's stream.
[[nodiscard]] auto stream_event(const engine_event& event, const std::string& request_id,
                                std::uint64_t attempt) -> std::string;
/// Answer of `GET /v1/state`; ages are given in real time.
[[nodiscard]] auto state_of(const engine_model& model, double time_scale) -> boost::json::object;
/// Answer of `GET /v1/cache_events`.
[[nodiscard]] auto events_of(const engine_model& model, const std::string& after) -> boost::json::object;
/// Answer of `GET /_ledger`.
[[nodiscard]] auto ledger_of(const engine_model& model, const std::string& name) -> boost::json::object;

} // namespace dragonflymill::standins
