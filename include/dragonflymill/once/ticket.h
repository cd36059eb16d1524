#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/strong_id.h"
#include "dragonflymill/core/time.h"

#include <string>
#include <string_view>

namespace dragonflymill {

/// Number of a call in the ledger of one sidecar incarnation, which never reuses it.
using call_serial = number_id<struct call_serial_tag>;

/// Permission to run one non-repeatable call, valid only at the sidecar incarnation that minted it.
struct ticket
{
    upstream_id upstream;      ///< Upstream whose sidecar minted it and to which it must be submitted.
    route_id route;            ///< Route that it is valid for.
    client_account_id account; ///< Client account that it is valid for.
    incarnation issuer;        ///< The only sidecar incarnation that may run it.
    call_serial serial;        ///< Number of the call at the issuer.
    instant submit_by;         ///< Last time to submit it, on the issuer's clock; meaningless elsewhere.

    friend auto operator==(const ticket&, const ticket&) -> bool = default;
};

/// Encodes and decodes tickets as text, authenticated by an HMAC-SHA256 with a key from the settings. Clients
/// can neither forge a ticket nor change its route, account or issuer.
class ticket_codec
{
public:
    /// `key` must be the same in every process of the system.
    explicit ticket_codec(std::string key);

    /// Returns the ticket as text that is safe in headers and paths.
    [[nodiscard]] auto encode(const ticket& value) const -> std::string;
    /// Returns the ticket encoded in `text`; fails with `corrupt` if it is malformed or not authentic.
    [[nodiscard]] auto decode(std::string_view text) const -> result<ticket>;

private:
    [[nodiscard]] auto compute_mac(std::string_view payload) const -> std::string;

    std::string key_;
};

} // namespace dragonflymill
