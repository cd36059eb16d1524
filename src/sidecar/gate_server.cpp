#include "sidecar/gate_server.h"

#include "rpc/stream_window.h"
#include "rpc/transport_lifetime.h"

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

namespace dragonflymill::sidecar {

namespace {

constexpr int max_message_bytes = 8 * 1024 * 1024;

} // namespace

auto start_gate_server(const std::string& address, gate_service& service, int& port)
    -> std::unique_ptr<grpc::Server>
{
    rpc::keep_transport_alive();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    // Prevents two sidecars of one upstream from receiving calls at the same time: gRPC sets SO_REUSEPORT by
    // default, and the kernel would distribute connections between an old sidecar and its successor.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, rpc::stream_window_bytes);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.RegisterService(&service);
    return builder.BuildAndStart();
}

} // namespace dragonflymill::sidecar
