#include "control/peer_client.h"

#include "rpc/transport_lifetime.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <memory>
#include <utility>

namespace dragonflymill::control {

namespace {

constexpr int max_response_bytes = 2 * 1024 * 1024;

auto make_stub(const std::string& address) -> std::unique_ptr<wire::peer_exchange::Stub>
{
    rpc::keep_transport_alive();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetMaxReceiveMessageSize(max_response_bytes);
    return wire::peer_exchange::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void set_deadline(grpc::ClientContext& context, duration deadline)
{
    context.set_deadline(std::chrono::system_clock::now() + deadline);
}

auto unavailable_error(const grpc::Status& status) -> error
{
    return {error_kind::unavailable, "the process did not answer: " + status.error_message(),
            "check its address, or ask another process"};
}

// State of one unary call, owned by its completion callback.
template <typename Request, typename Reply>
struct unary_call
{
    std::unique_ptr<wire::peer_exchange::Stub> stub;
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

class section_stream_call final : public grpc::ClientReadReactor<wire::section_reply>
{
public:
    section_stream_call(const std::string& address, const std::vector<sha256_digest>& digests,
                        std::function<void(std::string)> each, std::function<void(bool)> done,
                        duration deadline, rpc::call_tracker& calls)
        : stub_(make_stub(address))
        , calls_(calls)
        , each_(std::move(each))
        , done_(std::move(done))
    {
        for (const auto& digest : digests) {
            request_.add_digests(std::string(digest.bytes().begin(), digest.bytes().end()));
        }
        set_deadline(context_, deadline);
        calls_.begin(context_);
        stub_->async()->fetch_sections(&context_, &request_, this);
        StartRead(&reply_);
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (ok) {
            each_(std::move(*reply_.mutable_text()));
            StartRead(&reply_);
        }
    }
    void OnDone(const grpc::Status& status) override
    {
        done_(status.ok());
        calls_.end(context_);
        delete this; // NOLINT(cppcoreguidelines-owning-memory): required by gRPC reactors
    }

private:
    std::unique_ptr<wire::peer_exchange::Stub> stub_;
    rpc::call_tracker& calls_;
    grpc::ClientContext context_;
    wire::sections_request request_;
    wire::section_reply reply_;
    std::function<void(std::string)> each_;
    std::function<void(bool)> done_;
};

auto to_result(bool accepted, const std::string& problem, const std::string& remedy) -> result<void>
{
    if (accepted) {
        return success();
    }
    return error(error_kind::conflict, problem, remedy);
}

/// Converts the grants of a reply; empty if their number does not match the request.
auto to_grants(const wire::shares_ask& asked, const wire::shares_reply& reply) -> std::vector<share_grant>
{
    std::vector<share_grant> grants;
    if (reply.grants_size() != asked.accounts_size()) {
        return grants;
    }
    for (int at = 0; at < reply.grants_size(); ++at) {
        const auto& grant = reply.grants(at);
        grants.push_back({client_account_id(asked.accounts(at).client_account()), process_id(reply.home()),
                          grant.is_home(), grant.part(), duration(grant.lease_us())});
    }
    return grants;
}

} // namespace

void peer_client::fetch_manifest(const std::string& address,
                                 std::function<void(std::optional<std::string>)> done) const
{
    auto call = std::make_shared<unary_call<wire::manifest_request, wire::manifest_reply>>();
    call->stub = make_stub(address);
    set_deadline(call->context, deadline_);
    calls_.begin(call->context);
    auto* raw = call.get();
    raw->stub->async()->fetch_manifest(
        &raw->context, &raw->request, &raw->reply,
        [this, call = std::move(call), done = std::move(done)](const grpc::Status& status) {
            const bool has = status.ok() && !call->reply.manifest().empty();
            done(has ? std::optional(call->reply.manifest()) : std::nullopt);
            calls_.end(call->context);
        });
}

void peer_client::fetch_sections(const std::string& address, const std::vector<sha256_digest>& digests,
                                 std::function<void(std::string)> each, std::function<void(bool)> done) const
{
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): the reactor deletes itself in OnDone
    new section_stream_call(address, digests, std::move(each), std::move(done), deadline_, calls_);
}

void peer_client::ask_shares(const std::string& address, const std::vector<share_request>& requests,
                             share_answer done) const
{
    auto call = std::make_shared<unary_call<wire::shares_ask, wire::shares_reply>>();
    call->stub = make_stub(address);
    for (const auto& request : requests) {
        call->request.set_gateway(request.gateway.text()); // identical in all requests
        auto& asked = *call->request.add_accounts();
        asked.set_client_account(request.account.text());
        asked.set_demand(request.demand);
        asked.set_held(request.held);
    }
    set_deadline(call->context, deadline_);
    calls_.begin(call->context);
    auto* raw = call.get();
    raw->stub->async()->ask_shares(
        &raw->context, &raw->request, &raw->reply,
        [this, call = std::move(call), done = std::move(done)](const grpc::Status& status) {
            done(status.ok() ? to_grants(call->request, call->reply) : std::vector<share_grant>());
            calls_.end(call->context);
        });
}

auto peer_client::push(const std::string& address, const pushed_bundle& bundle) const -> result<void>
{
    const auto stub = make_stub(address);
    grpc::ClientContext context;
    set_deadline(context, deadline_);
    wire::push_reply reply;
    const auto writer = stub->push_bundle(&context, &reply);
    wire::push_part part;
    part.set_manifest(bundle.manifest);
    bool open = writer->Write(part);
    for (std::size_t at = 0; open && at < bundle.sections.size(); ++at) {
        part.set_section(bundle.sections[at]);
        open = writer->Write(part);
    }
    writer->WritesDone();
    const auto status = writer->Finish();
    if (!status.ok()) {
        return unavailable_error(status);
    }
    return to_result(reply.accepted(), reply.problem(), reply.remedy());
}

auto peer_client::drain(const std::string& address, const sealed_drain& word) const -> result<void>
{
    const auto stub = make_stub(address);
    grpc::ClientContext context;
    set_deadline(context, deadline_);
    wire::drain_request request;
    if (const auto* domain = std::get_if<failure_domain_id>(&word.subject)) {
        request.set_failure_domain(domain->text());
    }
    else {
        request.set_host(std::get<host_id>(word.subject).text());
    }
    request.set_back(word.back);
    request.set_time_ms(word.time_ms);
    request.set_seal(word.seal);
    wire::drain_reply reply;
    const auto status = stub->drain(&context, request, &reply);
    if (!status.ok()) {
        return unavailable_error(status);
    }
    return to_result(reply.accepted(), reply.problem(), reply.remedy());
}

} // namespace dragonflymill::control
