#pragma once

#include "control/peer_service.h"
#include "dragonflymill/limit/share_lease.h"
#include "rpc/call_tracker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::control {

/// gRPC client for other processes. Callbacks run on gRPC threads, never after the client's destruction. A
/// call ends within its deadline and is not retried by the transport.
class peer_client
{
public:
    /// `deadline` is the timeout of each call.
    explicit peer_client(duration deadline)
        : deadline_(deadline)
    {
    }

    /// Fetches the signed manifest; `done` receives `nullopt` if the call fails or the peer has none.
    void fetch_manifest(const std::string& address,
                        std::function<void(std::optional<std::string>)> done) const;
    /// Fetches sections: `each` receives every text, `done` whether the stream completed. Sections that the
    /// peer does not have are omitted.
    void fetch_sections(const std::string& address, const std::vector<sha256_digest>& digests,
                        std::function<void(std::string)> each, std::function<void(bool)> done) const;
    /// Requests shares of accounts' limits; `done` receives no grants if the call fails.
    void ask_shares(const std::string& address, const std::vector<share_request>& requests,
                    share_answer done) const;
    /// Pushes a bundle and blocks until the reply.
    [[nodiscard]] auto push(const std::string& address, const pushed_bundle& bundle) const -> result<void>;
    /// Sends an operator's drain request and blocks until the reply.
    [[nodiscard]] auto drain(const std::string& address, const sealed_drain& word) const -> result<void>;

private:
    duration deadline_;
    mutable rpc::call_tracker calls_; // last member: its destructor waits for pending calls
};

} // namespace dragonflymill::control
