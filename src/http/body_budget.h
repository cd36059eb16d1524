#pragma once

#include <cstddef>
#include <memory>

namespace dragonflymill::http {

/// Bytes that the bodies of all requests in hand may take together. Used on the server's thread alone.
///
/// Guarded failure: many callers at once send bodies that are each within their limit, and the process is
/// ended for its memory. It holds because a body's bytes are claimed before the first of them is read, and
/// given back when the request is over; without room the request is refused.
class body_budget
{
public:
    /// Allows `size` bytes together.
    explicit body_budget(std::size_t size)
        : size_(size)
    {
    }

    /// Takes bytes; false if there is no room for them.
    [[nodiscard]] auto take(std::size_t bytes) -> bool
    {
        if (bytes > size_ - taken_) {
            return false;
        }
        taken_ += bytes;
        return true;
    }
    /// Gives bytes back.
    void give_back(std::size_t bytes) { taken_ -= bytes; }

private:
    std::size_t size_;
    std::size_t taken_ = 0;
};

/// What one request has claimed; given back at its end.
class body_claim
{
public:
    /// Claims from `budget`, which may be null: then there is no bound.
    explicit body_claim(std::shared_ptr<body_budget> budget)
        : budget_(std::move(budget))
    {
    }
    ~body_claim() { release(); }
    body_claim(const body_claim&) = delete;
    auto operator=(const body_claim&) -> body_claim& = delete;

    /// Claims bytes; false if there is no room for them.
    [[nodiscard]] auto claim(std::size_t bytes) -> bool
    {
        if (budget_ && !budget_->take(bytes)) {
            return false;
        }
        held_ += bytes;
        return true;
    }
    /// Keeps only so many of the claimed bytes.
    void shrink(std::size_t bytes)
    {
        if (budget_ && bytes < held_) {
            budget_->give_back(held_ - bytes);
            held_ = bytes;
        }
    }
    /// Gives all back.
    void release() { shrink(0); }

private:
    std::shared_ptr<body_budget> budget_;
    std::size_t held_ = 0;
};

} // namespace dragonflymill::http
