#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace dragonflymill {

/// An upstream that may hold a part of a prompt.
struct gang_candidate
{
    upstream_id upstream;             ///< Id of the upstream.
    failure_domain_id failure_domain; ///< Its failure domain.
    token_count capacity = 0;         ///< Tokens that gangs may hold there in total.
    token_count free = 0; ///< Free part of the capacity by the last report; 0 if it accepts no work.

    friend auto operator==(const gang_candidate&, const gang_candidate&) -> bool = default;
};

/// A request whose prompt no single engine can hold.
struct gang_request
{
    request_id request;            ///< The request.
    token_count prompt_tokens = 0; ///< Length of the prompt in tokens.
    token_count max_tokens = 0;    ///< Maximum length of the answer, which the decode engine holds as well.

    friend auto operator==(const gang_request&, const gang_request&) -> bool = default;
};

/// Identifies one round of reservations for a request; rounds are numbered in ascending order.
struct gang_key
{
    request_id request;   ///< The request.
    attempt_number round; ///< The round.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const gang_key&, const gang_key&) -> std::strong_ordering = default;
};

/// A sidecar granted a share or renewed it.
struct share_granted
{
    gang_key gang;         ///< The round.
    upstream_id upstream;  ///< Upstream of the share.
    lease_id lease;        ///< Lease of the share.
    std::uint64_t ask = 0; ///< Number that the answer repeats, to detect late grants.

    friend auto operator==(const share_granted&, const share_granted&) -> bool = default;
};

/// A sidecar refused a share for lack of capacity, or ended it.
struct share_refused
{
    gang_key gang;           ///< The round.
    upstream_id upstream;    ///< Upstream of the share.
    duration retry_after{0}; ///< Time after which capacity may be free.

    /// Whether the sidecar reserves its next free memory for this share, and admits no other long prompt, as
    /// long as the request is repeated within each `hold`.
    bool in_line = false;

    friend auto operator==(const share_refused&, const share_refused&) -> bool = default;
};

/// A sidecar confirmed that it holds nothing for the round.
struct share_released
{
    gang_key gang;        ///< The round.
    upstream_id upstream; ///< Upstream of the share.

    friend auto operator==(const share_released&, const share_released&) -> bool = default;
};

/// Requests a share from a sidecar. The reservation must be idempotent there and must expire after `hold`.
struct reserve_share
{
    gang_key gang;          ///< The round.
    upstream_id upstream;   ///< Upstream of the share.
    token_count tokens = 0; ///< Size of the share in tokens.
    duration hold{0};       ///< Term of the share unless renewed.
    std::uint64_t ask = 0;  ///< Number that the answer repeats, to detect late grants.

    friend auto operator==(const reserve_share&, const reserve_share&) -> bool = default;
};

/// Requests another term of `hold` for a share. The sidecar answers `share_granted`, or `share_refused` if
/// the share has ended.
struct renew_share
{
    gang_key gang;         ///< The round.
    upstream_id upstream;  ///< Upstream of the share.
    lease_id lease;        ///< Lease of the share.
    duration hold{0};      ///< Term of the share unless renewed again.
    std::uint64_t ask = 0; ///< Number that the answer repeats, to detect late grants.

    friend auto operator==(const renew_share&, const renew_share&) -> bool = default;
};

/// Releases a share, which may never have been granted. Repeated until it is confirmed or the share must have
/// expired.
struct release_share
{
    gang_key gang;        ///< The round.
    upstream_id upstream; ///< Upstream of the share.

    friend auto operator==(const release_share&, const release_share&) -> bool = default;
};

/// A part of a prompt's KV cache and the engine that holds it.
struct kv_span
{
    upstream_id upstream;  ///< The engine.
    lease_id lease;        ///< Lease of its share.
    token_count begin = 0; ///< First token of the span.
    token_count end = 0;   ///< One past the last token of the span.

    friend auto operator==(const kv_span&, const kv_span&) -> bool = default;
};

/// Every share is held: the spans are to be exported and imported in order, and the answer is decoded at the
/// upstream of the last one.
struct gang_ready
{
    gang_key gang;              ///< The round.
    std::vector<kv_span> spans; ///< The prompt's spans, in order and without gaps.

    friend auto operator==(const gang_ready&, const gang_ready&) -> bool = default;
};

/// The gang could not be reserved or was lost; every share was released.
struct gang_failed
{
    gang_key gang; ///< The round.
    refusal why;   ///< The refusal; `ran` is `no` if the gang was never ready.

    friend auto operator==(const gang_failed&, const gang_failed&) -> bool = default;
};

/// Any output of a gang_planner.
using gang_output = std::variant<reserve_share, renew_share, release_share, gang_ready, gang_failed>;

} // namespace dragonflymill
