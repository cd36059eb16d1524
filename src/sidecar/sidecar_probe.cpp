#include "sidecar/sidecar_probe.h"

#include "gate.grpc.pb.h"
#include "rpc/transport_lifetime.h"
#include "runtime/clock.h"

#include <chrono>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/client_callback.h>
#include <memory>
#include <utility>

namespace dragonflymill::sidecar {

namespace {

constexpr duration answer_timeout = 1500ms;

auto stub_for(const std::string& address) -> std::unique_ptr<wire::sidecar_gate::Stub>
{
    rpc::keep_transport_alive();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // Without a local subchannel pool, a channel would reuse the connection of an earlier channel.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return wire::sidecar_gate::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

template <typename Names>
auto models_of(const Names& names) -> std::vector<model_id>
{
    std::vector<model_id> models;
    for (const auto& name : names) {
        models.emplace_back(name);
    }
    return models;
}

/// One probe and its answer; deletes itself when the call is done.
class probe_call final : public grpc::ClientBidiReactor<wire::heartbeat_ping, wire::heartbeat_pong>
{
public:
    probe_call(const std::string& address, const process_id& self, sidecar_probe::sink events,
               rpc::call_tracker& calls)
        : stub_(stub_for(address))
        , events_(std::move(events))
        , calls_(calls)
        , sent_at_(runtime::now())
    {
        ping_.set_number(1);
        ping_.set_sender(self.text());
        ping_.set_from_sidecar(true);
        context_.set_deadline(std::chrono::system_clock::now() + answer_timeout);
        calls_.begin(context_);
        stub_->async()->heartbeat(&context_, this);
        StartRead(&pong_);
        StartWrite(&ping_);
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (ok) {
            events_(sidecar_input::sidecar_answered{upstream_id(pong_.upstream()), sent_at_,
                                                    incarnation(pong_.holder()), models_of(pong_.models()),
                                                    models_of(pong_.loading()), pong_.load().draining()});
            context_.TryCancel();
        }
    }
    void OnDone(const grpc::Status& /*status*/) override
    {
        calls_.end(context_);
        delete this; // NOLINT(cppcoreguidelines-owning-memory): gRPC reactors own themselves until OnDone
    }

private:
    std::unique_ptr<wire::sidecar_gate::Stub> stub_;
    sidecar_probe::sink events_;
    rpc::call_tracker& calls_;
    instant sent_at_;
    grpc::ClientContext context_;
    wire::heartbeat_ping ping_;
    wire::heartbeat_pong pong_;
};

} // namespace

sidecar_probe::sidecar_probe(process_id self, sink events)
    : self_(std::move(self))
    , events_(std::move(events))
{
}

void sidecar_probe::probe(const std::string& address)
{
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): gRPC reactors own themselves until OnDone
    new probe_call(address, self_, events_, calls_);
}

} // namespace dragonflymill::sidecar
