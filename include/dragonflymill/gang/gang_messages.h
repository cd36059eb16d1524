#pragma once

#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/core/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace dragonflymill {

/// An upstream that could hold a part of a prompt.
struct gang_candidate
{
    upstream_id upstream;             ///< Its name.
    failure_domain_id failure_domain; ///< Where it is.
    token_count capacity = 0;         ///< Tokens that gangs may take there in all.
    token_count free = 0; ///< The part of these that is free, as far as is known; 0 if it takes nothing.

    friend auto operator==(const gang_candidate&, const gang_candidate&) -> bool = default;
};

/// A prompt that is larger than any one engine.
struct gang_request
{
    request_id request;            ///< The request.
    token_count prompt_tokens = 0; ///< Length of the prompt.
    token_count max_tokens = 0;    ///< Most tokens of the answer; the decoding engine holds them too.

    friend auto operator==(const gang_request&, const gang_request&) -> bool = default;
};

/// Names one round of reservations for a request; a later round has a higher number.
struct gang_key
{
    request_id request;   ///< The request.
    attempt_number round; ///< The round.

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const gang_key&, const gang_key&) -> std::strong_ordering = default;
};

/// A sidecar reserved a share, or renewed it.
struct share_granted
{
    gang_key gang;         ///< The round.
    upstream_id upstream;  ///< Where.
    lease_id lease;        ///< The share's lease.
    std::uint64_t ask = 0; ///< Number of the reservation or renewal that it answers.

    friend auto operator==(const share_granted&, const share_granted&) -> bool = default;
};

/// A sidecar has no room for a share, or ended it.
struct share_refused
{
    gang_key gang;           ///< The round.
    upstream_id upstream;    ///< Where.
    duration retry_after{0}; ///< When there may be room.

    /// Whether the sidecar keeps its next free memory for this share, and takes no other long prompt, as long
    /// as it is asked again within each `hold`.
    bool in_line = false;

    friend auto operator==(const share_refused&, const share_refused&) -> bool = default;
};

/// A sidecar confirms that it holds nothing for the round.
struct share_released
{
    gang_key gang;        ///< The round.
    upstream_id upstream; ///< Where.

    friend auto operator==(const share_released&, const share_released&) -> bool = default;
};

/// Ask a sidecar to reserve a share. It must be idempotent there, and must end by itself after `hold`.
struct reserve_share
{
    gang_key gang;          ///< The round.
    upstream_id upstream;   ///< Where.
    token_count tokens = 0; ///< How much.
    duration hold{0};       ///< How long it may stand without renewal.
    std::uint64_t ask = 0;  ///< Number that the answer repeats: a late grant must not pass for a renewal.

    friend auto operator==(const reserve_share&, const reserve_share&) -> bool = default;
};

/// Ask a sidecar to keep a share for another `hold`; it answers `share_granted`, or `share_refused` if it
/// ended.
struct renew_share
{
    gang_key gang;         ///< The round.
    upstream_id upstream;  ///< Where.
    lease_id lease;        ///< The share's lease.
    duration hold{0};      ///< How long it may stand without another renewal.
    std::uint64_t ask = 0; ///< Number that the answer repeats.

    friend auto operator==(const renew_share&, const renew_share&) -> bool = default;
};

/// Give a share back, also one that may never have been granted. Repeated until it is confirmed or must have
/// ended.
struct release_share
{
    gang_key gang;        ///< The round.
    upstream_id upstream; ///< Where.

    friend auto operator==(const release_share&, const release_share&) -> bool = default;
};

/// A part of a prompt's KV cache and the engine that holds it.
struct kv_span
{
    upstream_id upstream;  ///< The engine.
    lease_id lease;        ///< Lease of its share.
    token_count begin = 0; ///< First token of the span.
    token_count end = 0;   ///< One behind its last token.

    friend auto operator==(const kv_span&, const kv_span&) -> bool = default;
};

/// Every share is held: export and import the spans in order, and decode at the upstream of the last one.
struct gang_ready
{
    gang_key gang;              ///< The round.
    std::vector<kv_span> spans; ///< The prompt's spans, in order and without gaps.

    friend auto operator==(const gang_ready&, const gang_ready&) -> bool = default;
};

/// The gang can't be had, or is lost; every share was given back.
struct gang_failed
{
    gang_key gang; ///< The round.
    refusal why;   ///< `ran` is `no` if the gang was never ready.

    friend auto operator==(const gang_failed&, const gang_failed&) -> bool = default;
};

/// What a planner wants done.
using gang_output = std::variant<reserve_share, renew_share, release_share, gang_ready, gang_failed>;

} // namespace dragonflymill
