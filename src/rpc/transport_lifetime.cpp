#include "rpc/transport_lifetime.h"

#include "gate.grpc.pb.h"

#include <chrono>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <memory>

namespace dragonflymill::rpc {

namespace {

/// A channel without a server and one call on it that has failed. A channel acquires the callback queue with
/// its first call.
struct permanent_queue_user
{
    permanent_queue_user()
    {
        // The deadline has passed, so the call fails without sending anything.
        context.set_deadline(std::chrono::system_clock::now() - std::chrono::seconds(1));
        stub->async()->call_status(&context, &request, &reply, [](const grpc::Status& /*status*/) {});
    }

    std::shared_ptr<grpc::Channel> channel =
        grpc::CreateChannel("ipv4:127.0.0.1:1", grpc::InsecureChannelCredentials());
    std::unique_ptr<wire::sidecar_gate::Stub> stub = wire::sidecar_gate::NewStub(channel);
    grpc::ClientContext context;
    wire::service_call request;
    wire::service_reply reply;
};

} // namespace

void keep_transport_alive()
{
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): never deleted, see the header
    static const auto* const user = new permanent_queue_user();
    static_cast<void>(user);
}

} // namespace dragonflymill::rpc
