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

/// The bundle in force as peers fetch it.
struct served_bundle
{
    std::string manifest;                                                 ///< Signed manifest.
    std::map<sha256_digest, std::shared_ptr<const std::string>> sections; ///< Sections by digest.
};

/// An operator's bundle as it was pushed.
struct pushed_bundle
{
    std::string manifest;              ///< Signed manifest.
    std::vector<std::string> sections; ///< Sections, in any order.
};

/// An operator's word as it was sent, its seal not yet checked.
struct sealed_drain
{
    drain_subject subject;     ///< What it is about.
    bool back = false;         ///< In service again.
    std::uint64_t time_ms = 0; ///< Civil time when it was sent.
    std::string seal;          ///< Seal over all of it.
};

/// Told what the home of some accounts granted; nothing if there was no answer.
using share_answer = std::function<void(std::vector<share_grant>)>;

/// Told how a request ended.
using peer_answer = std::function<void(result<void>)>;

/// What the service hands on; called on gRPC's threads.
struct peer_service_handlers
{
    std::function<void(pushed_bundle, peer_answer)> on_push; ///< An operator pushed a bundle.
    std::function<void(sealed_drain, peer_answer)> on_drain; ///< An operator's word arrived.
    std::function<std::vector<share_grant>(const std::vector<share_request>&)>
        on_shares_asked; ///< A gateway asks for shares.
};

/// What this process offers to peers and operators over gRPC.
///
/// Bounds: a push of at most 9 MiB in 100 parts, a fetch of at most as many sections as a bundle has; more is
/// refused.
class peer_service final : public wire::peer_exchange::CallbackService
{
public:
    /// Hands requests to `handlers`.
    explicit peer_service(peer_service_handlers handlers);

    /// Serves this bundle from now on.
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
