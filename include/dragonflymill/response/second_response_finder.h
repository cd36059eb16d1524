#pragma once

#include "dragonflymill/core/units.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::response {

/// Finds the head of another response in a body that ends with its connection, where nothing else separates
/// the two. A head is a status line and header fields, among them the one in which upstreams echo a request's
/// id; text that merely quotes a status line is none.
class second_response_finder
{
public:
    /// `id_field` is the name of the field with the request's id. If it is empty, nothing is found.
    explicit second_response_finder(const std::string& id_field)
        : id_field_(to_lower(id_field))
    {
    }

    /// Searches the next bytes of the body, together with those before them; returns whether a head was
    /// found.
    [[nodiscard]] auto find_in(std::string_view bytes) -> bool;
    /// The head that was found, as received so far.
    [[nodiscard]] auto found() const -> std::string_view { return found_ ? window_ : std::string_view(); }

    /// Bytes that are kept, as a head may have begun among them.
    [[nodiscard]] auto kept_bytes() const -> std::size_t { return window_.size(); }

    /// A head that is longer is not found. Bounds the bytes that are kept and searched again.
    static constexpr std::size_t max_head_bytes = 8'192;

private:
    /// Returns whether a text starts with such a head; nothing if that takes more bytes.
    [[nodiscard]] auto is_head(std::string_view text) const -> std::optional<bool>;

    std::string id_field_;
    std::string window_;
    bool found_ = false;
};

} // namespace dragonflymill::response
