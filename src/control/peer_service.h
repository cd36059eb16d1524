#pragma once

#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/core/error.h"
#include "dragonflymill/drain/drain_state.h"
#include "dragonflymill/limit/share_lease.h"
#include "peer.grpc.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dragonflymill::control {

/// The bundle in force, in the form that peers fetch.
struct served_bundle
{
    std::string manifest;                                                 ///< Signed manifest.
    std::map<sha256_digest, std::shared_ptr<const std::string>> sections; ///< Sections by digest.
};

/// A bundle as pushed by an operator, not yet verified.
struct pushed_bundle
{
    std::string manifest;              ///< Signed manifest.
    std::vector<std::string> sections; ///< Sections, in any order.
};

/// An operator's drain request as received, its seal not yet verified.
struct sealed_drain
{
    drain_subject subject;     ///< The host or failure domain.
    bool back = false;         ///< Whether it returns to service.
    std::uint64_t time_ms = 0; ///< Wall time of sending.
    std::string seal;          ///< Seal over all other fields.
};

/// Receives the grants of the accounts' owner; empty if there was no reply.
using share_answer = std::function<void(std::vector<share_grant>)>;

/// Receives the result of a request.
using peer_answer = std::function<void(result<void>)>;

/// Handlers of the requests; called on gRPC threads.
struct peer_service_handlers
{
    std::function<void(pushed_bundle, peer_answer)> on_push; ///< An operator pushed a bundle.
    std::function<void(sealed_drain, peer_answer)> on_drain; ///< An operator sent a drain request.
    std::function<std::vector<share_grant>(const std::vector<share_request>&)>
        on_shares_asked; ///< A gateway requests shares.
};

/// gRPC service for peers and operators.
///
/// Bounds: rejects a push of more than 9 MiB or 100 parts; serves at most `max_sections` sections per fetch
/// and ignores further digests.
class peer_service final : public wire::peer_exchange::CallbackService
{
public:
    /// Passes requests to `handlers`.
    explicit peer_service(peer_service_handlers handlers);

    /// Replaces the bundle to serve.
    void serve(std::shared_ptr<const served_bundle> bundle);

    auto fetch_manifest(grpc::CallbackServerContext* context, const wire::manifest_request* request,
                        wire::manifest_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto fetch_sections(grpc::CallbackServerContext* context, const wire::sections_request* request)
        -> grpc::ServerWriteReactor<wire::section_reply>* override;
    auto push_bundle(grpc::CallbackServerContext* context, wire::push_reply* reply)
        -> grpc::ServerReadReactor<wire::push_part>* override;
    auto drain(grpc::CallbackServerContext* context, const wire::drain_request* request,
               wire::drain_reply* reply) -> grpc::ServerUnaryReactor* override;
    auto ask_shares(grpc::CallbackServerContext* context, const wire::shares_ask* request,
                    wire::shares_reply* reply) -> grpc::ServerUnaryReactor* override;

private:
    [[nodiscard]] auto served() const -> std::shared_ptr<const served_bundle>;

    peer_service_handlers handlers_;
    mutable std::mutex mutex_;
    std::shared_ptr<const served_bundle> bundle_;
};

} // namespace dragonflymill::control
