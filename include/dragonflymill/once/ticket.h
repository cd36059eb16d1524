#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/strong_id.h"
#include "dragonflymill/core/time.h"

#include <string>
#include <string_view>

namespace dragonflymill {

/// Number of a call in the ledger of one sidecar incarnation; never used twice by it.
using call_serial = number_id<struct call_serial_tag>;

/// Leave to run one call that may not be repeated: pinned to the one sidecar incarnation that minted it.
struct ticket
{
    upstream_id upstream;      ///< The upstream whose sidecar minted it, and where it has to be submitted.
    route_id route;            ///< The route it is good for.
    client_account_id account; ///< The client account it is good for.
    incarnation issuer;        ///< The one incarnation of the sidecar that may run it.
    call_serial serial;        ///< Its number there.
    instant submit_by; ///< Last moment to submit it, on the issuer's own clock; means nothing elsewhere.

    friend auto operator==(const ticket&, const ticket&) -> bool = default;
};

/// Writes tickets as text and reads them back, under an HMAC-SHA256 with a key out of the settings, so that
/// nobody outside can make one or change its route, account or issuer.
class ticket_codec
{
public:
    /// Works with `key`, which is the same at every process of the system.
    explicit ticket_codec(std::string key);

    /// The ticket as text that is safe in headers and paths.
    [[nodiscard]] auto encode(const ticket& value) const -> std::string;
    /// The ticket that `text` stands for; `corrupt` when it is not one of ours.
    [[nodiscard]] auto decode(std::string_view text) const -> result<ticket>;

private:
    [[nodiscard]] auto seal_of(std::string_view payload) const -> std::string;

    std::string key_;
};

} // namespace dragonflymill
