#pragma once

#include "control/peer_service.h"
#include "dragonflymill/limit/share_lease.h"
#include "rpc/call_tracker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::control {

/// Asks other processes over gRPC; answers come on gRPC's threads, none after the client's destruction. A
/// call ends within its deadline and is never repeated by the transport.
class peer_client
{
public:
    /// Calls end after `deadline`.
    explicit peer_client(duration deadline)
        : deadline_(deadline)
    {
    }

    /// Asks for the signed manifest; `done` gets nothing if it can't be had.
    void fetch_manifest(const std::string& address,
                        std::function<void(std::optional<std::string>)> done) const;
    /// Asks for sections: `each` gets every text, `done` whether all that the peer has came.
    void fetch_sections(const std::string& address, const std::vector<sha256_digest>& digests,
                        std::function<void(std::string)> each, std::function<void(bool)> done) const;
    /// Asks for parts of accounts' limits; `done` gets nothing if there was no answer.
    void ask_shares(const std::string& address, const std::vector<share_request>& requests,
                    share_answer done) const;
    /// Pushes a bundle and waits for the answer.
    [[nodiscard]] auto push(const std::string& address, const pushed_bundle& bundle) const -> result<void>;
    /// Sends an operator's word and waits for the answer.
    [[nodiscard]] auto drain(const std::string& address, const sealed_drain& word) const -> result<void>;

private:
    duration deadline_;
    mutable rpc::call_tracker calls_; // last, so that its calls end before anything else goes
};

} // namespace dragonflymill::control
