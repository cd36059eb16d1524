#include "sidecar/order_log.h"

#include "log/logger.h"

#include <utility>

namespace dragonflymill::sidecar {

namespace {

auto describe_order(const engine_order& order) -> std::string
{
    switch (order.kind) {
    case order_kind::load_model:
        return "load_model " + order.model.text();
    case order_kind::unload_model:
        return "unload_model " + order.model.text();
    case order_kind::load_adapter:
        return "load_adapter " + order.adapter.text();
    case order_kind::set_role:
        return "set_role";
    }
    return {};
}

} // namespace

void order_log::log(const sidecar_event& input)
{
    const auto* answer = std::get_if<sidecar_input::order_answered>(&input);
    if (answer == nullptr || answer->how == order_result::done) {
        return;
    }
    const bool fenced = answer->how == order_result::fenced;
    log_event(fenced ? event::order_refused : event::order_failed, field("number", answer->number));
}

void order_log::log(const sidecar_action& action)
{
    if (const auto* sent = std::get_if<sidecar_output::send_order>(&action)) {
        log_event(event::order_sent, field("number", sent->number),
                  field("order", describe_order(sent->order)), field("fence", sent->order.fence.value()));
    }
}

void order_log::log(bool holds_lease, bool superseded)
{
    if (holds_lease != std::exchange(holds_lease_, holds_lease)) {
        log_event(holds_lease ? event::own_lease_held : event::own_lease_ended);
    }
    if (superseded && !std::exchange(superseded_, superseded)) {
        log_event(event::orders_stopped);
    }
}

} // namespace dragonflymill::sidecar
