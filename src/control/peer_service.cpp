#include "control/peer_service.h"

#include "dragonflymill/bundle/bundle_codec.h"
#include "dragonflymill/bundle/bundle_source.h"

#include <algorithm>

namespace dragonflymill::control {

namespace {

constexpr std::size_t max_push_bytes = max_bundle_text + max_section_bytes;
constexpr std::size_t max_push_parts = 100;

template <typename Reply>
void write_outcome(const result<void>& outcome, Reply& reply)
{
    reply.set_accepted(outcome.has_value());
    if (outcome.has_error()) {
        reply.set_problem(outcome.error().message());
        reply.set_remedy(outcome.error().remedy());
    }
}

auto to_digest(const std::string& bytes) -> sha256_digest
{
    sha256_digest::bytes_type raw{};
    std::copy_n(bytes.begin(), std::min(bytes.size(), raw.size()), raw.begin());
    return sha256_digest(raw);
}

// Streams the sections; starts each write when the previous one has completed.
class section_writer final : public grpc::ServerWriteReactor<wire::section_reply>
{
public:
    explicit section_writer(std::vector<std::shared_ptr<const std::string>> texts)
        : texts_(std::move(texts))
    {
        next();
    }

    void OnWriteDone(bool ok) override
    {
        if (ok) {
            next();
        }
        else {
            Finish(grpc::Status::CANCELLED);
        }
    }
    void OnDone() override
    {
        delete this;
    } // NOLINT(cppcoreguidelines-owning-memory): required by gRPC reactors

private:
    void next()
    {
        if (sent_ == texts_.size()) {
            Finish(grpc::Status::OK);
            return;
        }
        reply_.set_text(*texts_[sent_++]);
        StartWrite(&reply_);
    }

    std::vector<std::shared_ptr<const std::string>> texts_;
    std::size_t sent_ = 0;
    wire::section_reply reply_;
};

// Collects the parts of a pushed bundle within its bounds and passes it on once complete.
class push_reader final : public grpc::ServerReadReactor<wire::push_part>
{
public:
    push_reader(wire::push_reply* reply, std::function<void(pushed_bundle, peer_answer)> on_push)
        : reply_(reply)
        , on_push_(std::move(on_push))
    {
        StartRead(&part_);
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            finish_push();
            return;
        }
        bytes_ += part_.ByteSizeLong();
        if (bytes_ > max_push_bytes || ++parts_ > max_push_parts) {
            Finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "the bundle is too large"});
            return;
        }
        if (part_.has_manifest()) {
            pushed_.manifest = part_.manifest();
        }
        else {
            pushed_.sections.push_back(part_.section());
        }
        StartRead(&part_);
    }
    void OnDone() override
    {
        delete this;
    } // NOLINT(cppcoreguidelines-owning-memory): required by gRPC reactors

private:
    void finish_push()
    {
        on_push_(std::move(pushed_), [this](const result<void>& outcome) {
            write_outcome(outcome, *reply_);
            Finish(grpc::Status::OK);
        });
    }

    wire::push_reply* reply_;
    std::function<void(pushed_bundle, peer_answer)> on_push_;
    wire::push_part part_;
    pushed_bundle pushed_;
    std::size_t bytes_ = 0;
    std::size_t parts_ = 0;
};

} // namespace

peer_service::peer_service(peer_service_handlers handlers)
    : handlers_(std::move(handlers))
{
}

void peer_service::serve(std::shared_ptr<const served_bundle> bundle)
{
    const std::lock_guard lock(mutex_);
    bundle_ = std::move(bundle);
}

auto peer_service::served() const -> std::shared_ptr<const served_bundle>
{
    const std::lock_guard lock(mutex_);
    return bundle_;
}

auto peer_service::fetch_manifest(grpc::CallbackServerContext* context,
                                  const wire::manifest_request* /*request*/, wire::manifest_reply* reply)
    -> grpc::ServerUnaryReactor*
{
    if (const auto bundle = served()) {
        reply->set_manifest(bundle->manifest);
    }
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

auto peer_service::fetch_sections(grpc::CallbackServerContext* /*context*/,
                                  const wire::sections_request* request)
    -> grpc::ServerWriteReactor<wire::section_reply>*
{
    std::vector<std::shared_ptr<const std::string>> texts;
    const auto bundle = served();
    const auto requested = std::min(static_cast<std::size_t>(request->digests_size()), max_sections);
    for (std::size_t at = 0; bundle != nullptr && at < requested; ++at) {
        const auto found = bundle->sections.find(to_digest(request->digests(static_cast<int>(at))));
        if (found != bundle->sections.end()) {
            texts.push_back(found->second);
        }
    }
    return new section_writer(
        std::move(texts)); // NOLINT(cppcoreguidelines-owning-memory): required by gRPC reactors
}

auto peer_service::push_bundle(grpc::CallbackServerContext* /*context*/, wire::push_reply* reply)
    -> grpc::ServerReadReactor<wire::push_part>*
{
    return new push_reader(
        reply, handlers_.on_push); // NOLINT(cppcoreguidelines-owning-memory): required by gRPC reactors
}

auto peer_service::drain(grpc::CallbackServerContext* context, const wire::drain_request* request,
                         wire::drain_reply* reply) -> grpc::ServerUnaryReactor*
{
    auto* reactor = context->DefaultReactor();
    sealed_drain word;
    word.subject = failure_domain_id(request->failure_domain());
    if (!request->host().empty()) {
        word.subject = host_id(request->host());
    }
    word.back = request->back();
    word.time_ms = request->time_ms();
    word.seal = request->seal();
    handlers_.on_drain(std::move(word), [reactor, reply](const result<void>& outcome) {
        write_outcome(outcome, *reply);
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

auto peer_service::ask_shares(grpc::CallbackServerContext* context, const wire::shares_ask* request,
                              wire::shares_reply* reply) -> grpc::ServerUnaryReactor*
{
    auto* reactor = context->DefaultReactor();
    if (!handlers_.on_shares_asked) {
        reactor->Finish({grpc::StatusCode::FAILED_PRECONDITION, "not a gateway"});
        return reactor;
    }
    std::vector<share_request> asked;
    for (const auto& account : request->accounts()) {
        asked.push_back({client_account_id(account.client_account()), process_id(request->gateway()),
                         account.demand(), account.held()});
    }
    for (const auto& grant : handlers_.on_shares_asked(asked)) {
        if (grant.is_home) {
            reply->set_home(grant.home.text());
        }
        auto& reply_grant = *reply->add_grants();
        reply_grant.set_is_home(grant.is_home);
        reply_grant.set_part(grant.part);
        reply_grant.set_lease_us(grant.lease.count());
    }
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

} // namespace dragonflymill::control
