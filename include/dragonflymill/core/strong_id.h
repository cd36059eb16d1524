#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dragonflymill {

/// Strongly typed string identifier; identifiers with different tags don't convert to each other.
template <typename Tag>
class name_id
{
public:
    name_id() = default;
    /// Wraps the text of the name.
    explicit name_id(std::string text)
        : text_(std::move(text))
    {
    }

    /// The text of the name.
    [[nodiscard]] auto text() const -> const std::string& { return text_; }
    /// Whether the name is empty.
    [[nodiscard]] auto empty() const -> bool { return text_.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const name_id&, const name_id&) -> std::strong_ordering = default;

private:
    std::string text_;
};

/// Strongly typed integer identifier; identifiers with different tags don't convert to each other.
template <typename Tag>
class number_id
{
public:
    constexpr number_id() = default;
    /// Wraps the number.
    constexpr explicit number_id(std::uint64_t value)
        : value_(value)
    {
    }

    /// The underlying number.
    [[nodiscard]] constexpr auto value() const -> std::uint64_t { return value_; }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend constexpr auto operator<=>(const number_id&, const number_id&) -> std::strong_ordering = default;

private:
    std::uint64_t value_ = 0;
};

} // namespace dragonflymill

template <typename Tag>
struct std::hash<dragonflymill::name_id<Tag>>
{
    auto operator()(const dragonflymill::name_id<Tag>& id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.text());
    }
};

template <typename Tag>
struct std::hash<dragonflymill::number_id<Tag>>
{
    auto operator()(const dragonflymill::number_id<Tag>& id) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t>{}(id.value());
    }
};
