#pragma once

#include "sidecar/gate_service.h"

#include <grpcpp/server.h>
#include <memory>
#include <string>

namespace dragonflymill::sidecar {

/// Starts a gRPC server for `service` at `address`, without sharing the port with other processes. Stores the
/// bound port in `port`. Returns null if the address can't be bound.
[[nodiscard]] auto start_gate_server(const std::string& address, gate_service& service, int& port)
    -> std::unique_ptr<grpc::Server>;

} // namespace dragonflymill::sidecar
