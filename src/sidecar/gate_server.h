#pragma once

#include "sidecar/gate_service.h"

#include <grpcpp/server.h>
#include <memory>
#include <string>

namespace dragonflymill::sidecar {

/// Offers `service` at `address`, which no other process may hold at the same time; `port` becomes the port.
/// Null if the address can't be had.
[[nodiscard]] auto start_gate_server(const std::string& address, gate_service& service, int& port)
    -> std::unique_ptr<grpc::Server>;

} // namespace dragonflymill::sidecar
